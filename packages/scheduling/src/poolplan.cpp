#include "sardinerill/scheduling/poolplan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace sardinerill::site {

namespace {

/// Ratio of a pool's target capacity to its demand.
constexpr double Headroom = 1.15;
/// Spare VMs of each pool beyond its demand; they serve the first second of a
/// peak, until more VMs arrive.
constexpr int SpareVms = 2;
/// Spare VMs beyond the spread of long-running tasks, for one VM failure.
constexpr int SpareForSpread = 1;
/// Limit on further spare VMs while a maintenance wave empties VMs: this many
/// are emptied at the same time.
constexpr int MostSpareForWave = 6;
/// Minimum number of VMs of a pool, relative to the mean over all pools.
constexpr double LeastShare = 0.4;
/// Time constant of the decay of the remembered demand.
constexpr double ForgetSeconds = 2.0;
/// Surplus VMs that a pool keeps; it shrinks only if it has more.
constexpr int ShrinkMargin = 1;

struct Need {
  const PoolView *Pool = nullptr;
  int Floor = 0; ///< Minimum, also while other pools lack VMs.
  int Wanted = 0;
  int Have = 0;
  int missing() const { return this->Wanted - this->Have; }
  int surplus() const { return this->Have - this->Wanted; }
};

double rememberDemand(PoolMemory &Memory, double Demand, Instant Now) {
  const double Passed = double((Now - Memory.LookedAt).count()) / 1e6;
  const double Kept = Memory.SlowDemand * std::exp(-Passed / ForgetSeconds);
  Memory.SlowDemand = std::max(Demand, Kept);
  Memory.LookedAt = Now;
  return Memory.SlowDemand;
}

int inService(const PoolView &Pool) {
  return int(std::ranges::count_if(
      Pool.Vms, [](const PoolVm &Vm) { return Vm.Takes && !Vm.Leaving; }));
}

/// \returns the VMs of \p Pool that may be transferred, emptiest first.
std::vector<const PoolVm *> givable(const PoolView &Pool) {
  std::vector<const PoolVm *> Vms;
  for (const PoolVm &Vm : Pool.Vms)
    if (Vm.Takes && Vm.Free && Vm.LastingRuns == 0)
      Vms.push_back(&Vm);
  std::ranges::stable_sort(Vms, [](const PoolVm *A, const PoolVm *B) {
    return std::tuple(A->Runs, !A->Leaving, A->UsedCpuMilli) <
           std::tuple(B->Runs, !B->Leaving, B->UsedCpuMilli);
  });
  return Vms;
}

/// Transfers up to \p Most VMs of \p Giver to \p To: empty VMs move at once,
/// the others are emptied first. \returns the number of VMs transferred.
int give(const PoolView &Giver, const PoolId &To, int Most, bool OnlyEmpty,
         std::set<VmId> &Taken, PoolSteps &Steps) {
  int Given = 0;
  for (const PoolVm *Vm : givable(Giver)) {
    if (Given >= Most)
      break;
    if (Taken.contains(Vm->Id) || (OnlyEmpty && Vm->Runs > 0))
      continue;
    Taken.insert(Vm->Id);
    if (Vm->Runs == 0)
      Steps.Moves.push_back({Vm->Id, Giver.Id, To});
    else if (!Vm->Leaving)
      Steps.Empty.push_back(Vm->Id);
    ++Given;
  }
  return Given;
}

int floorOf(const PoolView &Pool, int Least) {
  if (Pool.SpreadVms == 0)
    return Least;
  return std::max(Least, Pool.SpreadVms + SpareForSpread +
                             std::min(Pool.MaintenanceDue, MostSpareForWave));
}

/// Raises pools that are below their minimum up to it, with idle VMs.
void fillFloors(std::vector<Need> &Needs, const PoolView *Standby,
                std::set<VmId> &Taken, PoolSteps &Steps) {
  for (Need &Wants : Needs) {
    const auto Missing = [&] { return Wants.Floor - Wants.Have; };
    if (Standby && Missing() > 0)
      Wants.Have +=
          give(*Standby, Wants.Pool->Id, Missing(), true, Taken, Steps);
    for (Need &Gives : Needs) {
      const int Most = std::min(Missing(), Gives.Have - Gives.Floor);
      if (Most <= 0)
        continue;
      const int Given =
          give(*Gives.Pool, Wants.Pool->Id, Most, true, Taken, Steps);
      Gives.Have -= Given;
      Wants.Have += Given;
    }
  }
}

} // namespace

PoolSteps planPools(const std::vector<PoolView> &Pools,
                    std::map<PoolId, PoolMemory> &Memory,
                    std::int64_t CpuMilliOfVm, Instant Now) {
  PoolSteps Steps;
  if (CpuMilliOfVm <= 0 || Pools.size() < 2)
    return Steps;
  std::size_t Total = 0;
  const PoolView *Standby = nullptr;
  for (const PoolView &Pool : Pools) {
    Total += Pool.Vms.size();
    if (Pool.Standby)
      Standby = &Pool;
  }
  const int Least =
      int(std::ceil(LeastShare * double(Total) / double(Pools.size())));
  std::vector<Need> Needs;
  for (const PoolView &Pool : Pools) {
    if (Pool.Standby)
      continue;
    const double Demand =
        rememberDemand(Memory[Pool.Id], double(Pool.DemandCpuMilli), Now);
    const int ForDemand =
        int(std::ceil(Demand * Headroom / double(CpuMilliOfVm)));
    const int Floor = floorOf(Pool, Least);
    Needs.push_back({&Pool, Floor, std::max(Floor, ForDemand + SpareVms),
                     inService(Pool) + Pool.Arriving});
  }
  std::ranges::stable_sort(Needs, [](const Need &A, const Need &B) {
    return A.missing() > B.missing();
  });
  std::set<VmId> Taken;
  fillFloors(Needs, Standby, Taken, Steps);
  for (Need &Wants : Needs) {
    if (Wants.missing() <= 0)
      break;
    if (Standby)
      Wants.Have +=
          give(*Standby, Wants.Pool->Id, Wants.missing(), true, Taken, Steps);
    for (Need &Gives : Needs) {
      const int Most = std::min(Wants.missing(), Gives.surplus());
      if (Most <= 0)
        continue;
      const int Given =
          give(*Gives.Pool, Wants.Pool->Id, Most, false, Taken, Steps);
      Gives.Have -= Given;
      Wants.Have += Given;
    }
  }
  if (Standby)
    for (Need &Gives : Needs)
      if (Gives.surplus() > ShrinkMargin)
        Gives.Have -= give(*Gives.Pool, Standby->Id,
                           Gives.surplus() - ShrinkMargin, true, Taken, Steps);
  for (const PoolView &Pool : Pools)
    for (const PoolVm &Vm : Pool.Vms)
      if (Vm.Leaving && Vm.Free && !Taken.contains(Vm.Id))
        Steps.Keep.push_back(Vm.Id);
  return Steps;
}

} // namespace sardinerill::site
