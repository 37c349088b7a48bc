#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Sizing of the pools and selection of the VMs that move between them.
///
/// Load pattern: queues peak in turns at about five times their mean rate,
/// which exceeds the capacity of their pool, and fall to a twentieth of it in
/// between. A pool at its peak receives VMs from the standby pool and from
/// pools at their trough. A pool at its trough returns empty VMs to the standby
/// pool, where they cost nothing. Pools grow fast and shrink slowly, so that
/// noise in the demand moves no VMs. Independent of demand, each pool keeps as
/// many VMs as its long-running tasks are spread over, and some more while a
/// maintenance wave empties VMs, because these tasks can't run in another pool.

namespace sardinerill::site {

struct PoolVm {
  VmId Id;
  bool Up = false;      ///< Up and in service.
  bool Movable = true;  ///< Not part of a maintenance wave or a move.
  bool Leaving = false; ///< Selected for a move; gets no new tasks.
  int Runs = 0;
  int LongRunningTasks = 0;
  std::int64_t UsedCpuMilli = 0;
  friend bool operator==(const PoolVm &, const PoolVm &) = default;
};

struct PoolView {
  PoolId Id;
  bool Standby = false;
  std::vector<PoolVm> Vms;
  int IncomingVms = 0; ///< VMs that are being moved to this pool.
  std::int64_t DemandCpuMilli = 0;
  /// VMs required by the long-running step that is spread over the most VMs.
  int MinVmsForSpread = 0;
  /// VMs that a maintenance wave has yet to take down.
  int MaintenanceDue = 0;
};

/// State of a pool that is kept between two calls of planPools().
struct PoolDemandAverage {
  double SmoothedDemand = 0; ///< In milli-CPUs; rises at once, decays slowly.
  Instant UpdatedAt{};
};

struct PoolMove {
  VmId Vm;
  PoolId From;
  PoolId To;
  friend bool operator==(const PoolMove &, const PoolMove &) = default;
};

struct PoolPlan {
  std::vector<PoolMove> Moves; ///< Empty VMs to move now.
  std::vector<VmId> Drain;     ///< VMs to empty: no new tasks are placed there.
  std::vector<VmId> CancelDrain; ///< VMs whose pending move is cancelled.
};

/// \param Averages state of each pool, updated by the call.
/// \param CpuMilliOfVm capacity of a typical VM.
PoolPlan planPools(const std::vector<PoolView> &Pools,
                   std::map<PoolId, PoolDemandAverage> &Averages,
                   std::int64_t CpuMilliOfVm, Instant Now);

} // namespace sardinerill::site
