#include "pacing.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

constexpr double CutAbove = 0.9;   ///< Relative to the target.
constexpr double RaiseBelow = 0.7; ///< Relative to the target.
constexpr int RaiseBy = 20;        ///< Percent per poll, about once a second.

} // namespace

int nextPace(int Current, double WorstTail) {
  if (WorstTail > 1.0)
    return 0;
  if (WorstTail > CutAbove)
    return Current / 2;
  if (WorstTail < RaiseBelow)
    return std::min(100, Current + RaiseBy);
  return Current;
}

} // namespace sardinerill::site
