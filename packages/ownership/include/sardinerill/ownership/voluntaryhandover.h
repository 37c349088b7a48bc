#pragma once

#include "sardinerill/base/clock.h"

#include <optional>

/// \file
/// Decides when a holder without a connection of its own to the table hands
/// over.
///
/// A holder that is cut off from the table can renew its lease through other
/// daemons. It then follows new jobs seconds late, and so starts them late or
/// not at all, for as long as the cut lasts, although each daemon that relays
/// its calls would be a better holder.

namespace sardinerill::site {

struct VoluntaryHandoverTimings {
  /// Calls have to be relayed for this long. Above the interval of the probes
  /// of the direct connection (0.5 s) and the timeout of a renewal, so that a
  /// single lost answer causes no handover.
  Duration RelayedFor = milliseconds(1000);
  /// The holder goes on if no other daemon has claimed the lease by then.
  Duration OfferedFor = milliseconds(2000);
  /// Time after an offer that nobody took until the next one.
  Duration RetryAfter = milliseconds(5000);
  friend bool operator==(const VoluntaryHandoverTimings &,
                         const VoluntaryHandoverTimings &) = default;
};

class VoluntaryHandover {
public:
  explicit VoluntaryHandover(VoluntaryHandoverTimings Timings = {})
      : Timings(Timings) {}

  /// Records whether the calls of the holder are relayed at \p Now.
  /// \returns whether the lease is offered to other daemons.
  bool update(bool Relayed, Instant Now);
  /// Forgets the offer and the connection, as another daemon is the holder.
  void reset() { *this = VoluntaryHandover(this->Timings); }

private:
  VoluntaryHandoverTimings Timings;
  std::optional<Instant> RelayedSince;
  std::optional<Instant> OfferedSince;
  Instant NextOfferFrom{};
};

} // namespace sardinerill::site
