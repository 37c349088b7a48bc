#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Lease of one life of an upstream, reckoned on the upstream's own clock.

namespace sardinerill::site {

/// Runs of an upstream end when its lease does, heard or not. A holder that
/// no longer hears it may start them elsewhere once every lease that any
/// holder sent has certainly run out.
class UpstreamLease {
public:
  /// \param InheritedUntil when the last lease of earlier holders has run out.
  /// \param Now orders may have been sent another way until then.
  UpstreamLease(const SiteBounds &Bounds, Instant InheritedUntil, Instant Now);

  /// \returns the longest time from an order until its lease has run out.
  static Duration longestLapse(const SiteBounds &Bounds);

  bool clockKnown() const { return this->ClockKnown; }
  /// Takes in the upstream's clock from an answer that came at \p Now.
  void answered(std::int64_t ClockMs, Instant Now);
  /// \returns until when a lease sent at \p Now reaches, on the upstream's
  /// clock; counts as sent.
  std::int64_t extend(Instant Now);
  /// \returns whether every lease that was ever sent has run out.
  bool hasRunOut(Instant Now) const;

private:
  Duration Length;
  Instant NotBefore; ///< Earliest end of what this object has not sent.
  bool ClockKnown = false;
  std::int64_t ClockMs = 0; ///< Of the upstream, as of ClockReadAt.
  Instant ClockReadAt{};
  std::int64_t LongestMs = 0; ///< Sent so far, on the upstream's clock.
};

} // namespace sardinerill::site
