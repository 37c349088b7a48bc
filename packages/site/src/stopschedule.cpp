#include "stopschedule.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Part of the grace period reserved for the exit of the process, and its
/// largest share of a short period.
constexpr milliseconds ExitReserve{700};
constexpr int MaxReserveDivisor = 4;
constexpr milliseconds MaxHandover{2500};
constexpr milliseconds MaxStoring{1200};
constexpr milliseconds MaxAccepting{3500};

} // namespace

StopSchedule StopSchedule::of(Instant StartedAt, Duration GracePeriod) {
  const Duration Reserve =
      std::min<Duration>(ExitReserve, GracePeriod / MaxReserveDivisor);
  const Duration Available = GracePeriod - Reserve;
  const Duration Handover = std::min<Duration>(MaxHandover, Available / 2);
  // The rest is for the release of the ownership row.
  const Duration Storing =
      std::min<Duration>(MaxStoring, (Available - Handover) / 2);
  return {.HandoverUntil = StartedAt + Handover,
          .StoreUntil = StartedAt + Handover + Storing,
          .AcceptUntil =
              StartedAt + std::min<Duration>(MaxAccepting, Available),
          .ExitAt = StartedAt + Available};
}

} // namespace sardinerill::site
