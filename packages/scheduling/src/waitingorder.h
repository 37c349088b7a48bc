#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Placement order of waiting work.
///
/// Load pattern: for some seconds a queue needs about five times its mean, more
/// than the capacity of its pool, so that some work will miss its objective.
/// Work that can still meet its objective is placed first, least remaining CPU
/// time first; late work gets the capacity that is left.

namespace sardinerill::site {

struct WaitingWork {
  int Priority = 0;
  bool CanMeetObjective = true;
  bool OverShare = false; ///< Beyond the share of its organisation.
  double RemainingCpuSeconds = 0;
  Instant Objective{};
  Instant AcceptedAt{};
  friend bool operator==(const WaitingWork &, const WaitingWork &) = default;
};

/// \returns whether \p Left is placed before \p Right.
bool isPlacedBefore(const WaitingWork &Left, const WaitingWork &Right);

} // namespace sardinerill::site
