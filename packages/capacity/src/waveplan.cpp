#include "sardinerill/capacity/waveplan.h"

#include <algorithm>
#include <tuple>

namespace sardinerill::site {

namespace {

/// Time that tasks get to end or to be evacuated. After it, they are
/// interrupted if their availability budgets allow.
constexpr milliseconds PreparationTime{2500};
/// Share of a pool's VMs that may be out of service at a time.
constexpr double MaxOutOfServiceShare = 0.34;
/// A pool can spare a VM while its demand is below this share of the remaining
/// capacity.
constexpr double MaxLoadRatio = 0.9;
/// Mean time that one VM takes in addition to the time that it is down: from
/// its selection until the reboot, and until it is seen up again.
constexpr milliseconds OverheadTime{2500};

/// \returns whether the wave misses its deadline unless more VMs are taken down
/// now.
bool isUrgent(const WaveView &View, int VmsLeft, Instant Now) {
  const int Rounds = (VmsLeft + std::max(View.MaxConcurrent, 1) - 1) /
                     std::max(View.MaxConcurrent, 1);
  // One more round as a margin.
  const Duration Needed = (View.DownTime + OverheadTime) * (Rounds + 1);
  return Now + Needed >= View.Deadline;
}

/// \returns the VMs that have to be prepared or down at a time from now on, so
/// that all are done one round before the deadline.
int requiredConcurrency(const WaveView &View, int VmsLeft, Instant Now) {
  const Duration Round = View.DownTime + OverheadTime;
  const Duration TimeLeft = std::max(Round, View.Deadline - Now - Round);
  const auto Required =
      (std::int64_t(VmsLeft) * Round.count() + TimeLeft.count() - 1) /
      TimeLeft.count();
  return int(std::min<std::int64_t>(Required, View.MaxConcurrent));
}

/// \returns the demand of the pool relative to its capacity.
double loadOf(const WavePool &Pool) {
  return double(Pool.DemandCpuMilli) /
         double(std::max<std::int64_t>(Pool.CpuMilli, 1));
}

/// \returns whether the spread of long-running tasks still fits with one VM
/// fewer.
bool hasEnoughVmsForSpread(const WavePool &Pool) {
  return Pool.MinVmsForSpread == 0 || Pool.VmsInService > Pool.MinVmsForSpread;
}

bool canSpareVm(const WavePool &Pool, std::int64_t CpuMilliOfVm) {
  const int TotalVms = Pool.VmsInService + Pool.VmsOutOfService;
  const int MaxOutOfService =
      std::max(1, int(double(TotalVms) * MaxOutOfServiceShare));
  const double RemainingCpu = double(Pool.CpuMilli - CpuMilliOfVm);
  return Pool.VmsOutOfService < MaxOutOfService &&
         hasEnoughVmsForSpread(Pool) &&
         double(Pool.DemandCpuMilli) < MaxLoadRatio * RemainingCpu;
}

/// As canSpareVm(), but lets half of the VMs be out of service and ignores
/// the demand.
bool canSpareVmIfUrgent(const WavePool &Pool) {
  const int TotalVms = Pool.VmsInService + Pool.VmsOutOfService;
  return Pool.VmsOutOfService < std::max(1, TotalVms / 2) &&
         hasEnoughVmsForSpread(Pool);
}

/// \returns whether \p Vm may be prepared although its pool may need it, to
/// keep pace with the deadline.
bool isDue(const WaveView &View, const WaveVm &Vm, const WavePool &Pool,
           int OutOfService, int Required) {
  return View.Paced && OutOfService < Required &&
         (Vm.Standby || canSpareVmIfUrgent(Pool));
}

/// \returns whether the VM can be taken without callers noticing.
bool isSpare(const WaveView &View, const WaveVm &Vm, const WavePool &Pool) {
  if (Vm.Unused)
    return true;
  // While VMs are scarce, those on standby and those of a pool at its trough
  // are on their way to a pool at its peak.
  if (View.Paced && View.Scarce)
    return false;
  return Vm.Standby || canSpareVm(Pool, View.CpuMilliOfVm);
}

} // namespace

WavePlan planWave(const WaveView &View, Instant Now) {
  WavePlan Plan;
  int Down = 0;
  int VmsLeft = 0;
  for (const WaveVm &Vm : View.Vms) {
    Down += Vm.Stage == WaveStage::RebootRequested;
    VmsLeft +=
        Vm.Stage == WaveStage::Waiting || Vm.Stage == WaveStage::Preparing;
  }
  int Preparing = 0;
  for (const WaveVm &Vm : View.Vms) {
    if (Vm.Stage != WaveStage::Preparing)
      continue;
    const bool Empty = Vm.Runs == 0;
    const bool PreparationExpired = Now - Vm.PreparingSince > PreparationTime;
    if (Down < View.MaxConcurrent && Vm.Up &&
        (Empty || (PreparationExpired && Vm.CanInterrupt))) {
      Plan.TakeDown.push_back(Vm.Id);
      ++Down;
    } else {
      ++Preparing;
    }
  }
  std::vector<const WaveVm *> Candidates;
  for (const WaveVm &Vm : View.Vms)
    if (Vm.Stage == WaveStage::Waiting && Vm.Up)
      Candidates.push_back(&Vm);
  std::map<PoolId, WavePool> Pools = View.Pools;
  std::ranges::stable_sort(Candidates, [&](const WaveVm *A, const WaveVm *B) {
    const auto Rank = [&](const WaveVm *Vm) {
      return std::tuple(!Vm->Unused, !Vm->Standby,
                        View.Paced ? loadOf(Pools[Vm->Pool]) : 0.0,
                        Vm->UsedCpuMilli);
    };
    return Rank(A) < Rank(B);
  });
  const bool Urgent = !View.Paced && isUrgent(View, VmsLeft, Now);
  const int Required = requiredConcurrency(View, VmsLeft, Now);
  for (const WaveVm *Vm : Candidates) {
    if (Down + Preparing >= View.MaxConcurrent)
      break;
    WavePool &Pool = Pools[Vm->Pool];
    if (!isSpare(View, *Vm, Pool) && !(Urgent && canSpareVmIfUrgent(Pool)) &&
        !isDue(View, *Vm, Pool, Down + Preparing, Required))
      continue;
    Plan.Prepare.push_back(Vm->Id);
    ++Preparing;
    if (Vm->Unused)
      continue;
    --Pool.VmsInService;
    ++Pool.VmsOutOfService;
    Pool.CpuMilli -= View.CpuMilliOfVm;
  }
  return Plan;
}

} // namespace sardinerill::site
