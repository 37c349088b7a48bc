#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Lease of one incarnation of an upstream, measured on the upstream's clock.

namespace sardinerill::site {

/// An upstream ends its runs when its lease expires, even if it is unreachable.
/// A holder that gets no answers from it may restart the runs elsewhere once
/// every lease sent by any holder has certainly expired.
class UpstreamLease {
public:
  /// \param InheritedLeasesExpireAt latest expiry of previous holders' leases.
  /// \param Now current time. Leases sent until then through an earlier link to
  /// the same incarnation are taken into account.
  UpstreamLease(const SiteBounds &Bounds, Instant InheritedLeasesExpireAt,
                Instant Now);

  /// \returns an upper bound, on the local clock, of the time from sending a
  /// lease until it has expired.
  static Duration maxTimeToExpiry(const SiteBounds &Bounds);

  /// As maxTimeToExpiry(), for a process that starts again under the same id:
  /// calls that were sent to the old one may reach it late, and their expiry is
  /// on the clock of the old one.
  static Duration maxTimeToExpiryAfterRestart(const SiteBounds &Bounds);

  bool clockKnown() const { return this->ClockKnown; }
  /// Records the upstream's clock from an answer that arrived at \p Now.
  void recordClock(std::int64_t ClockMs, Instant Now);
  /// \returns whether an answer to a call sent at \p SentAt, with \p ClockMs,
  /// is certainly not from the process whose clock is known.
  bool isOtherClock(std::int64_t ClockMs, Instant SentAt) const;
  /// Extends the lease. \returns its new expiry on the upstream's clock, which
  /// must be sent at \p Now.
  std::int64_t extend(Instant Now);
  /// \returns whether every lease that was ever sent has expired.
  bool hasExpired(Instant Now) const;

private:
  Duration LeaseDuration;
  Instant OtherLeasesUntil; ///< When leases sent by others have expired.
  bool ClockKnown = false;
  std::int64_t ClockMs = 0; ///< Clock of the upstream at ClockReadAt.
  Instant ClockReadAt{};
  /// Latest expiry sent, on the upstream's clock.
  std::int64_t LatestExpiryMs = 0;
};

} // namespace sardinerill::site
