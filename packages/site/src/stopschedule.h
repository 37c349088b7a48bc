#pragma once

#include "sardinerill/base/clock.h"

/// \file
/// Times of a planned stop. The process is killed at the end of the grace
/// period, so that each phase ends in time whatever does not answer.

namespace sardinerill::site {

struct StopSchedule {
  /// Until then a leaving holder waits for another daemon to claim ownership.
  Instant HandoverUntil{};
  /// Until then a holder that nobody has followed stores what it knows.
  Instant StoreUntil{};
  /// Until then new requests are accepted: the load balancer takes up to two
  /// seconds to notice that a daemon is not ready.
  Instant AcceptUntil{};
  /// The process exits at the latest.
  Instant ExitAt{};
  friend bool operator==(const StopSchedule &, const StopSchedule &) = default;

  /// \param GracePeriod time from the stop signal until the process is killed.
  static StopSchedule of(Instant StartedAt, Duration GracePeriod);
};

} // namespace sardinerill::site
