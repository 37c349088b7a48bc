#pragma once

#include "schedulermodel.h"

/// \file
/// Throttling of best-effort tasks that run beside serving tasks.
///
/// Best-effort tasks increase the tail latency of serving tasks on the same
/// upstream, by amounts that differ by image and change within seconds.
/// Best-effort tasks are throttled at once when a tail latency approaches its
/// target, and return to full speed in small steps.

namespace sardinerill::site {

/// \param Current the current pace in percent.
/// \param MaxTailLatencyRatio the highest ratio of a tail latency on the
/// upstream to its target.
/// \returns the new pace of best-effort tasks in percent.
int nextPace(int Current, double MaxTailLatencyRatio);

} // namespace sardinerill::site
