#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Sizing of the pools and selection of the VMs that move between them.
///
/// Assumes that the queues peak at different times, at about five times their
/// mean rate, which exceeds the capacity of their pool, and fall to a twentieth
/// of the mean in between. A pool at its peak receives VMs from the standby
/// pool and from pools at their trough. A pool at its trough returns idle VMs
/// to the standby pool, where they cost nothing. Pools grow fast and shrink
/// slowly, so that short fluctuations of the demand cause no moves. Independent
/// of demand, each pool keeps the VMs that its long-running tasks are spread
/// over, because these tasks can't run in another pool, and spare VMs while a
/// maintenance wave drains VMs. While the VMs are too few for all pools, they
/// are divided as vmdivision.h says.

namespace sardinerill::site {

struct PoolVm {
  VmId Id;
  bool Up = false;      ///< In service, or draining for a move.
  bool Movable = true;  ///< May be moved: not part of a maintenance wave,
                        ///< and its load is known.
  bool Leaving = false; ///< Selected for a move; draining.
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
  double SmoothedDemand = 0; ///< In milli-CPUs; rises at once, decays
                             ///< exponentially (see DecaySeconds).
  Instant UpdatedAt{};
};

/// \returns the demand to plan with: \p DemandCpuMilli, or what is left of an
/// earlier and higher one. The demand of a pool that is overloaded falls when
/// its work becomes late, although it still needs every VM.
double rememberedDemand(const PoolDemandAverage &Average, double DemandCpuMilli,
                        Instant Now);

struct PoolMove {
  VmId Vm;
  PoolId From;
  PoolId To;
  friend bool operator==(const PoolMove &, const PoolMove &) = default;
};

struct PoolPlanOptions {
  std::int64_t CpuMilliOfVm = 0; ///< CPU of one VM; all VMs are assumed equal.
  /// Divides the VMs if the pools want more than there are. Otherwise the pool
  /// with the largest shortage is served first.
  bool DivideScarceVms = false;
  friend bool operator==(const PoolPlanOptions &,
                         const PoolPlanOptions &) = default;
};

struct PoolPlan {
  std::vector<PoolMove> Moves; ///< Idle VMs to move now.
  std::vector<VmId> Drain;     ///< VMs on which no new tasks may be placed, to
                               ///< be moved once they are idle.
  std::vector<VmId> CancelDrain; ///< VMs whose pending move is cancelled.
  std::map<PoolId, int> Targets; ///< VMs that each pool should have.
  bool Scarce = false;           ///< The pools want more VMs than there are.
};

/// \returns the moves and drains for the current demand.
/// \param Averages state of each pool, updated by the call.
PoolPlan planPools(const std::vector<PoolView> &Pools,
                   std::map<PoolId, PoolDemandAverage> &Averages,
                   const PoolPlanOptions &Options, Instant Now);

} // namespace sardinerill::site
