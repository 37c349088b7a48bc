#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Order of waiting work.
///
/// Load pattern: a queue asks about five times its mean for some seconds, more
/// than its pool holds, so some work will be late whatever is done. Work that
/// can still be in time goes first, and of it the work that needs least of the
/// pool for its worth; work that is late anyway fills what is left.

namespace sardinerill::site {

struct WaitingWork {
  int Priority = 0;
  bool CanBeInTime = true;
  bool OverShare = false; ///< Its organisation has more than its share.
  double RemainingCpuSeconds = 0;
  Instant Objective{};
  Instant AcceptedAt{};
  friend bool operator==(const WaitingWork &, const WaitingWork &) = default;
};

/// \returns whether \p Left is placed before \p Right.
bool goesBefore(const WaitingWork &Left, const WaitingWork &Right);

} // namespace sardinerill::site
