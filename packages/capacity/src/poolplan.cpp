#include "sardinerill/capacity/poolplan.h"

#include "sardinerill/capacity/vmdivision.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace sardinerill::site {

namespace {

/// Ratio of a pool's target capacity, without its spare VMs, to its demand.
constexpr double Headroom = 1.15;
/// Spare VMs of each pool beyond its demand; they serve the first second of a
/// peak, until more VMs arrive.
constexpr int SpareVms = 2;
/// Spare VMs beyond MinVmsForSpread, for one VM failure.
constexpr int SpareForSpread = 1;
/// Limit on further spare VMs while a maintenance wave drains VMs. Assumes that
/// a wave drains this many at a time; its limit is
/// MaintenanceWave::MaxConcurrent.
constexpr int MaxSpareForWave = 6;
/// Minimum number of VMs of a pool, relative to the mean over all pools.
constexpr double MinPoolSizeRatio = 0.4;
/// Time constant of the decay of the remembered demand.
constexpr double DecaySeconds = 2.0;
/// Surplus VMs that a pool keeps; it shrinks only if it has more.
constexpr int ShrinkMargin = 1;

struct PoolTarget {
  const PoolView *Pool = nullptr;
  int Minimum = 0; ///< Kept even while other pools lack VMs.
  int Target = 0;
  int Current = 0;
  int shortage() const { return this->Target - this->Current; }
  int surplus() const { return this->Current - this->Target; }
};

double smoothDemand(PoolDemandAverage &Average, double Demand, Instant Now) {
  Average.SmoothedDemand = rememberedDemand(Average, Demand, Now);
  Average.UpdatedAt = Now;
  return Average.SmoothedDemand;
}

int vmsInService(const PoolView &Pool) {
  return int(std::ranges::count_if(
      Pool.Vms, [](const PoolVm &Vm) { return Vm.Up && !Vm.Leaving; }));
}

/// \returns the VMs of \p Pool that may be transferred, those with the fewest
/// runs first.
std::vector<const PoolVm *> transferableVms(const PoolView &Pool) {
  std::vector<const PoolVm *> Vms;
  for (const PoolVm &Vm : Pool.Vms)
    if (Vm.Up && Vm.Movable && Vm.LongRunningTasks == 0)
      Vms.push_back(&Vm);
  std::ranges::stable_sort(Vms, [](const PoolVm *A, const PoolVm *B) {
    return std::tuple(A->Runs, !A->Leaving, A->UsedCpuMilli) <
           std::tuple(B->Runs, !B->Leaving, B->UsedCpuMilli);
  });
  return Vms;
}

/// Transfers up to \p Limit VMs of \p Donor to \p To: idle VMs move at once,
/// the others are drained first.
/// \returns the number of VMs transferred, including those to be drained.
int transferVms(const PoolView &Donor, const PoolId &To, int Limit,
                bool OnlyIdle, std::set<VmId> &Selected, PoolPlan &Plan) {
  int Transferred = 0;
  for (const PoolVm *Vm : transferableVms(Donor)) {
    if (Transferred >= Limit)
      break;
    if (Selected.contains(Vm->Id) || (OnlyIdle && Vm->Runs > 0))
      continue;
    Selected.insert(Vm->Id);
    if (Vm->Runs == 0)
      Plan.Moves.push_back({Vm->Id, Donor.Id, To});
    else if (!Vm->Leaving)
      Plan.Drain.push_back(Vm->Id);
    ++Transferred;
  }
  return Transferred;
}

int minimumVms(const PoolView &Pool, int MinVms) {
  if (Pool.MinVmsForSpread == 0)
    return MinVms;
  return std::max(MinVms, Pool.MinVmsForSpread + SpareForSpread +
                              std::min(Pool.MaintenanceDue, MaxSpareForWave));
}

/// Transfers idle VMs to pools that are below their minimum.
void fillMinimums(std::vector<PoolTarget> &Targets, const PoolView *Standby,
                  std::set<VmId> &Selected, PoolPlan &Plan) {
  for (PoolTarget &Receiver : Targets) {
    const auto Shortage = [&] { return Receiver.Minimum - Receiver.Current; };
    if (Standby && Shortage() > 0)
      Receiver.Current += transferVms(*Standby, Receiver.Pool->Id, Shortage(),
                                      true, Selected, Plan);
    for (PoolTarget &Donor : Targets) {
      const int Limit = std::min(Shortage(), Donor.Current - Donor.Minimum);
      if (Limit <= 0)
        continue;
      const int Transferred = transferVms(*Donor.Pool, Receiver.Pool->Id, Limit,
                                          true, Selected, Plan);
      Donor.Current -= Transferred;
      Receiver.Current += Transferred;
    }
  }
}

/// \returns the VMs that can serve: those of the pools, on their way to a pool,
/// or idle in the standby pool.
int availableVms(const std::vector<PoolTarget> &Targets,
                 const PoolView *Standby) {
  int Available = Standby ? vmsInService(*Standby) : 0;
  for (const PoolTarget &Target : Targets)
    Available += Target.Current;
  return Available;
}

/// Divides the VMs if the targets exceed them.
/// \returns whether they do.
bool divideIfScarce(std::vector<PoolTarget> &Targets, const PoolView *Standby) {
  const int Available = availableVms(Targets, Standby);
  std::vector<PoolNeed> Needs;
  int Wanted = 0;
  for (const PoolTarget &Target : Targets) {
    // No pool can use more than all VMs. Without this limit, a pool whose
    // backlog is several times the fleet would again receive nearly all.
    Needs.push_back({.Minimum = Target.Minimum,
                     .Wanted = std::min(Target.Target, Available)});
    Wanted += Needs.back().Wanted;
  }
  if (Wanted <= Available)
    return false;
  const std::vector<int> Divided = divideVms(Needs, Available);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    Targets[Index].Target = Divided[Index];
    Targets[Index].Minimum = std::min(Targets[Index].Minimum, Divided[Index]);
  }
  return true;
}

} // namespace

double rememberedDemand(const PoolDemandAverage &Average, double DemandCpuMilli,
                        Instant Now) {
  const double Elapsed = double((Now - Average.UpdatedAt).count()) / 1e6;
  return std::max(DemandCpuMilli,
                  Average.SmoothedDemand * std::exp(-Elapsed / DecaySeconds));
}

PoolPlan planPools(const std::vector<PoolView> &Pools,
                   std::map<PoolId, PoolDemandAverage> &Averages,
                   const PoolPlanOptions &Options, Instant Now) {
  PoolPlan Plan;
  if (Options.CpuMilliOfVm <= 0 || Pools.size() < 2)
    return Plan; // The capacity of a VM is unknown, or there is no other pool.
  std::size_t Total = 0;
  const PoolView *Standby = nullptr;
  for (const PoolView &Pool : Pools) {
    Total += Pool.Vms.size();
    if (Pool.Standby)
      Standby = &Pool;
  }
  const int MinVms =
      int(std::ceil(MinPoolSizeRatio * double(Total) / double(Pools.size())));
  std::vector<PoolTarget> Targets;
  for (const PoolView &Pool : Pools) {
    if (Pool.Standby)
      continue;
    const double Demand =
        smoothDemand(Averages[Pool.Id], double(Pool.DemandCpuMilli), Now);
    const int VmsForDemand =
        int(std::ceil(Demand * Headroom / double(Options.CpuMilliOfVm)));
    const int Minimum = minimumVms(Pool, MinVms);
    Targets.push_back({&Pool, Minimum,
                       std::max(Minimum, VmsForDemand + SpareVms),
                       vmsInService(Pool) + Pool.IncomingVms});
  }
  if (Options.DivideScarceVms)
    Plan.Scarce = divideIfScarce(Targets, Standby);
  for (const PoolTarget &Target : Targets)
    Plan.Targets[Target.Pool->Id] = Target.Target;
  std::ranges::stable_sort(Targets,
                           [](const PoolTarget &A, const PoolTarget &B) {
                             return A.shortage() > B.shortage();
                           });
  std::set<VmId> Selected;
  fillMinimums(Targets, Standby, Selected, Plan);
  for (PoolTarget &Receiver : Targets) {
    if (Receiver.shortage() <= 0)
      break;
    if (Standby)
      Receiver.Current +=
          transferVms(*Standby, Receiver.Pool->Id, Receiver.shortage(), true,
                      Selected, Plan);
    for (PoolTarget &Donor : Targets) {
      const int Limit = std::min(Receiver.shortage(), Donor.surplus());
      if (Limit <= 0)
        continue;
      const int Transferred = transferVms(*Donor.Pool, Receiver.Pool->Id, Limit,
                                          false, Selected, Plan);
      Donor.Current -= Transferred;
      Receiver.Current += Transferred;
    }
  }
  if (Standby)
    for (PoolTarget &Donor : Targets)
      if (Donor.surplus() > ShrinkMargin)
        Donor.Current -=
            transferVms(*Donor.Pool, Standby->Id,
                        Donor.surplus() - ShrinkMargin, true, Selected, Plan);
  for (const PoolView &Pool : Pools)
    for (const PoolVm &Vm : Pool.Vms)
      if (Vm.Leaving && Vm.Movable && !Selected.contains(Vm.Id))
        Plan.CancelDrain.push_back(Vm.Id);
  return Plan;
}

} // namespace sardinerill::site
