#pragma once

#include <span>
#include <vector>

/// \file
/// Division of the VMs among the pools while they are too few for all of them.
///
/// Two queues may peak at the same time, in a wave of maintenance, or after
/// racks were lost. If the pool with the largest shortage were served first, it
/// would take all VMs that can be moved, and the callers of the others would
/// wait for its peak to end.

namespace sardinerill::site {

/// The VMs that one pool asks for.
struct PoolNeed {
  int Minimum = 0; ///< Needed independently of the demand.
  int Wanted = 0;  ///< Needed for the demand; at least Minimum.
  friend bool operator==(const PoolNeed &, const PoolNeed &) = default;
};

/// Divides \p Available VMs: each pool receives its minimum and, of what it
/// wants beyond that, the same fraction as the others. If the minimums exceed
/// the VMs, each pool receives the same fraction of its minimum.
/// \returns the VMs of each pool, in the order of \p Needs. No pool receives
/// more than it wants, and the sum is at most \p Available.
std::vector<int> divideVms(std::span<const PoolNeed> Needs, int Available);

} // namespace sardinerill::site
