#pragma once

#include "sardinerill/base/clock.h"

#include <optional>

/// \file
/// Decides when a holder without a connection of its own to the table offers
/// its lease, and which daemons may take the offer.
///
/// A holder that is cut off from the table can renew its lease through other
/// daemons. It then follows new jobs seconds late, and so starts them late or
/// not at all, for as long as the cut lasts, although a daemon as strong that
/// relays its calls would be a better holder. A weak one would not: it may need
/// seconds to load the jobs of a large site, and nothing starts meanwhile.

namespace sardinerill::site {

/// What a daemon that may claim the lease knows of itself.
struct Claimant {
  double Capacity = 0; ///< As SiteSettings::Capacity.
  /// Its calls to the table are not relayed by other daemons.
  bool HasOwnConnection = false;
  friend bool operator==(const Claimant &, const Claimant &) = default;
};

/// \returns whether \p Daemon may claim a lease that a holder with
/// \p OfferingCapacity offers. That holder works on, so there is no hurry.
bool mayTakeOffer(double OfferingCapacity, const Claimant &Daemon);

struct VoluntaryHandoverTimings {
  /// Calls have to be relayed for this long. Above the interval of the probes
  /// of the direct connection (0.5 s) and the timeout of a renewal, so that a
  /// single lost answer causes no handover.
  Duration RelayedFor = milliseconds(1000);
  /// The holder goes on if no other daemon has claimed the lease by then.
  /// Covers a poll of the row (0.5 s) and the delay of a claim that is left to
  /// stronger daemons (0.9 s, up to the next poll).
  Duration OfferedFor = milliseconds(2000);
  /// Time after an offer that nobody took, or after a claim, until the next
  /// offer. Limits how often the lease passes between daemons that are cut off
  /// in turn.
  Duration RetryAfter = milliseconds(5000);
  friend bool operator==(const VoluntaryHandoverTimings &,
                         const VoluntaryHandoverTimings &) = default;
};

class VoluntaryHandover {
public:
  explicit VoluntaryHandover(VoluntaryHandoverTimings Timings = {})
      : Timings(Timings) {}

  /// Begins a term of this daemon with its claim. Earlier offers are void.
  /// \param FollowsAnother false for the first term of the site. A first holder
  /// takes the lease from nobody, so that it may offer it at once.
  /// \param Relayed whether the calls of this daemon are relayed.
  void beginTerm(bool FollowsAnother, bool Relayed, Instant ClaimedAt);
  /// Records whether the calls of the holder are relayed at \p Now.
  /// \returns whether the lease is offered to other daemons.
  bool update(bool Relayed, Instant Now);

private:
  VoluntaryHandoverTimings Timings;
  std::optional<Instant> RelayedSince;
  std::optional<Instant> OfferedSince;
  Instant NextOfferFrom{};
};

} // namespace sardinerill::site
