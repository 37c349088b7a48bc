#include "pacing.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Tail latency relative to its target above which the pace is halved, and
/// below which it is raised. In between it is kept.
constexpr double HalveAbove = 0.9;
constexpr double RaiseBelow = 0.7;
/// Percentage points per PaceInterval, about once a second.
constexpr int RaiseBy = 20;

} // namespace

int nextPace(int Current, double MaxTailLatencyRatio) {
  if (MaxTailLatencyRatio > 1.0)
    return 0;
  if (MaxTailLatencyRatio > HalveAbove)
    return Current / 2;
  if (MaxTailLatencyRatio < RaiseBelow)
    return std::min(100, Current + RaiseBy);
  return Current;
}

} // namespace sardinerill::site
