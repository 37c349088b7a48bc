#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// How many VMs each pool has, and which move.
///
/// Load pattern: queues peak in turns at about five times their mean, beyond
/// what their pool holds, and fall to a twentieth in between. A pool in its
/// peak is given VMs of the standby pool and of pools in their trough; a pool
/// in its trough gives empty VMs to the standby pool, where they cost nothing.
/// Growing is fast and shrinking slow, so that noise moves nothing. Before any
/// peak, each pool has as many VMs as its tasks that last are spread over, and
/// some more while a wave empties VMs: they have nowhere else to go.

namespace sardinerill::site {

struct PoolVm {
  VmId Id;
  bool Takes = false;   ///< Up, and takes tasks.
  bool Free = true;     ///< No wave or move has it.
  bool Leaving = false; ///< Chosen for a move; takes no new tasks.
  int Runs = 0;
  int LastingRuns = 0;
  std::int64_t UsedCpuMilli = 0;
  friend bool operator==(const PoolVm &, const PoolVm &) = default;
};

struct PoolView {
  PoolId Id;
  bool Standby = false;
  std::vector<PoolVm> Vms;
  int Arriving = 0; ///< VMs on their way to it.
  std::int64_t DemandCpuMilli = 0;
  /// VMs that the widest step of tasks that last is spread over.
  int SpreadVms = 0;
  /// VMs that a wave has still to take down.
  int MaintenanceDue = 0;
};

/// What the plan remembers of a pool between two looks.
struct PoolMemory {
  double SlowDemand = 0; ///< Falls slowly, rises at once; milli-CPUs.
  Instant LookedAt{};
};

struct PoolMove {
  VmId Vm;
  PoolId From;
  PoolId To;
  friend bool operator==(const PoolMove &, const PoolMove &) = default;
};

struct PoolSteps {
  std::vector<PoolMove> Moves; ///< Of empty VMs, at once.
  std::vector<VmId> Empty;     ///< VMs that shall take no more tasks.
  std::vector<VmId> Keep;      ///< VMs that need not leave any more.
};

PoolSteps planPools(const std::vector<PoolView> &Pools,
                    std::map<PoolId, PoolMemory> &Memory,
                    std::int64_t CpuMilliOfVm, Instant Now);

} // namespace sardinerill::site
