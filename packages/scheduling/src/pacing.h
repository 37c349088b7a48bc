#pragma once

#include "schedulermodel.h"

/// \file
/// Pace of tasks that fill beside tasks that serve.
///
/// Load pattern: what fills raises the tail of what serves, by amounts that
/// differ by image and change within seconds. Fill is cut at once when a tail
/// comes near its target and comes back in small steps.

namespace sardinerill::site {

/// \param WorstTail the highest tail on the upstream, as a share of its target.
/// \returns the percentage for tasks that fill there.
int nextPace(int Current, double WorstTail);

} // namespace sardinerill::site
