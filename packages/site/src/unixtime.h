#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/site/istore.h"

/// \file
/// Time of day, and the rows of ownership.

namespace sardinerill::site {

/// \returns milliseconds since 1970. Follows the clock that counts suspension
/// from the process's start, so that jumps of the time of day don't show.
std::int64_t unixMillis();

/// Row that only a claim writes: its version is the fencing token. Ownership
/// has a partition of its own: transactions of one are carried out one by one,
/// and a renewal must not wait behind progress while the table is slow.
RowKey epochKey();
/// Row that every transaction on progress rewrites: one that is carried out
/// late can't undo a newer one.
RowKey progressHeadKey();
/// Row that names the holder and changes with each renewal.
RowKey ownershipKey();

} // namespace sardinerill::site
