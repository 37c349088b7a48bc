#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Placement order of waiting work.
///
/// Ordered by priority, then work within the share of its organisation, then
/// work that can still meet its objective, least remaining CPU time first; late
/// work follows by time of acceptance. At a peak a queue needs about five times
/// its mean, more than the capacity of its pool, so that some work will miss
/// its objective.

namespace sardinerill::site {

struct WaitingWork {
  int Priority = 0;
  bool CanMeetObjective = true; ///< Within the tolerance for started jobs.
  /// Can end while its result has some value. Not part of isPlacedBefore().
  bool HasValue = true;
  bool OverShare = false; ///< Beyond the share of its organisation.
  double RemainingCpuSeconds = 0;
  Instant Objective{};
  Instant AcceptedAt{};
  friend bool operator==(const WaitingWork &, const WaitingWork &) = default;
};

/// \returns whether \p Left is placed before \p Right.
bool isPlacedBefore(const WaitingWork &Left, const WaitingWork &Right);

} // namespace sardinerill::site
