#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/site/istore.h"

/// \file
/// Time of day, and the rows of ownership.

namespace sardinerill::site {

/// \returns milliseconds since 1970. Follows the clock that counts suspension
/// from the process's start, so that jumps of the time of day don't show.
std::int64_t unixMillis();

/// Row that a claim writes; stored progress depends on its version.
RowKey epochKey();
/// Row that names the holder and changes with each renewal.
RowKey ownershipKey();

} // namespace sardinerill::site
