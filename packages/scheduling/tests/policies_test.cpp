#include "pacing.h"
#include "shares.h"
#include "waitingorder.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

} // namespace

TEST_CASE("the estimate covers the rate expected when requested VMs arrive") {
  // Simulates a rise to 140 jobs a second of 63 CPU seconds each within 2 s. If
  // VMs are requested for the current rate, the pool lags 2 to 3 s behind
  // during the whole rise.
  constexpr double Work = 63;
  constexpr double PeakRate = 140;
  constexpr double LeadSeconds = 2.2;
  ArrivalRateEstimator Estimator;
  double Shortfall = 0; // Against the rate after the lead time, in CPU seconds.
  double ShortfallWithoutTrend = 0;
  double Overshoot = 0;
  double PendingJobs = 0; // Jobs due, including fractions.
  for (int Ms = 0; Ms < 4000; ++Ms) {
    const double Rate = PeakRate * std::min(1.0, Ms / 2000.0);
    for (PendingJobs += Rate / 1000; PendingJobs >= 1; --PendingJobs)
      Estimator.add(Work, at(Ms));
    // The rate after the lead time; divided by the 2 s of the rise.
    const double FutureRate =
        Work * PeakRate * std::min(1.0, Ms / 2000.0 + LeadSeconds / 2);
    const auto Missing = [&](double Requested) {
      return std::max(0.0, FutureRate - Requested) / 1000;
    };
    Shortfall += Missing(Estimator.expected(at(Ms), LeadSeconds));
    ShortfallWithoutTrend += Missing(Estimator.rate(at(Ms)));
    Overshoot = std::max(Overshoot, Estimator.expected(at(Ms), LeadSeconds));
  }
  CHECK(Shortfall < 0.6 * ShortfallWithoutTrend);
  CHECK(Overshoot < 2.5 * Work * PeakRate);
  // The estimate does not exceed the rate for long once the rate is constant,
  // and falls quickly once no more jobs arrive.
  CHECK(Estimator.expected(at(4000), LeadSeconds) < 1.35 * Work * PeakRate);
  CHECK(Estimator.expected(at(4500), LeadSeconds) < 0.2 * Work * PeakRate);
}

TEST_CASE("a few large jobs do not count as a trend") {
  // Five large jobs arrive a second, some of them in clusters. If the trend of
  // a cluster is extrapolated, the pool requests far more VMs than it needs
  // (985 in one case) and keeps VMs that others need.
  constexpr double Work = 350;
  ArrivalRateEstimator Estimator;
  double MaxEstimate = 0;
  for (int Ms = 0; Ms < 10000; Ms += 10) {
    if (Ms % 200 == 0 || (Ms > 5000 && Ms < 5030))
      Estimator.add(Work, at(Ms));
    MaxEstimate = std::max(MaxEstimate, Estimator.expected(at(Ms), 2.2));
  }
  CHECK(MaxEstimate < 2.5 * 5 * Work);
}

TEST_CASE("best-effort tasks are throttled at once and return in steps") {
  CHECK(nextPace(100, 1.1) == 0);
  CHECK(nextPace(100, 0.95) == 50);
  CHECK(nextPace(50, 0.8) == 50);
  CHECK(nextPace(50, 0.5) == 70);
  CHECK(nextPace(95, 0.0) == 100);
}

TEST_CASE("work that can meet its objective is placed before late work") {
  const WaitingWork Timely{.RemainingCpuSeconds = 50, .AcceptedAt = at(5)};
  const WaitingWork Late{.CanMeetObjective = false, .AcceptedAt = at(1)};
  CHECK(isPlacedBefore(Timely, Late));
  CHECK_FALSE(isPlacedBefore(Late, Timely));
  // A smaller number is a higher priority, which is compared first.
  const WaitingWork HigherPriority{.Priority = -1, .CanMeetObjective = false};
  CHECK(isPlacedBefore(HigherPriority, Timely));
}
