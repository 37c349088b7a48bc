#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/site/istore.h"

/// \file
/// Wall-clock time, and the keys of the ownership rows.

namespace sardinerill::site {

/// \returns milliseconds since 1970. The wall clock is read once, at the first
/// call; after that the boot clock, which includes suspension, is added. Later
/// jumps of the wall clock have no effect.
std::int64_t unixMillis();

/// Row that is written only by a claim; its version is the fencing token.
/// Ownership has its own partition: the transactions of a partition are
/// executed one by one, and a renewal must not wait behind progress while the
/// table is slow.
RowKey epochKey();
/// Row that every progress transaction expects and rewrites, so that a delayed
/// transaction can't overwrite newer progress.
RowKey progressHeadKey();
/// Row with what the holder has learned about run times; in the partition of
/// the epoch row, which is a precondition of its writes.
RowKey runTimesKey();
/// Row that names the holder; rewritten by each renewal.
RowKey ownershipKey();

} // namespace sardinerill::site
