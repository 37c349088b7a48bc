#include "pacing.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

constexpr double CutAbove = 0.9;   ///< Share of the target.
constexpr double RaiseBelow = 0.7; ///< Share of the target.
constexpr int RaiseBy = 20;        ///< Percent a look, about a second apart.

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
