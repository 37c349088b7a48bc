#include "sardinerill/fleet/maintenance.h"

#include <algorithm>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Plans the next steps for one version of the fleet.
class Planner {
public:
  Planner(const Fleet &Current, const FleetObservation &Observed)
      : Current(Current), Observed(Observed),
        Down(Current, unconfirmedVms(Current, Observed)) {}

  MaintenancePlan plan() {
    this->pauseFailingRollouts();
    for (const auto &[Id, Vm] : this->Current.Vms)
      this->continueMaintenance(Vm);
    this->startMaintenance();
    return std::move(this->Plan);
  }

private:
  VmObservation observationOf(const VmId &Id) const {
    auto Found = this->Observed.find(Id);
    return Found == this->Observed.end() ? VmObservation{} : Found->second;
  }

  json &patchOf(const VmId &Id) { return this->Plan.Patch["vms"][Id.str()]; }

  /// Pauses roll-outs in which an updated VM fails, as the next VM would
  /// probably fail as well.
  void pauseFailingRollouts() {
    for (const auto &[Id, Vm] : this->Current.Vms) {
      const Pool &Pool = this->Current.Pools.at(Vm.Pool);
      const bool IsUpdated = Pool.Generation > 0 &&
                             Vm.Generation == Pool.Generation &&
                             Vm.State == VmState::Serving;
      if (!IsUpdated || !this->Down.contains(Id) ||
          this->isRolloutFinished(Pool))
        continue;
      if (!Pool.RolloutPaused)
        this->Plan.Patch["pools"][Pool.Id.str()]["rolloutPaused"] = true;
      this->PoolsToPause.insert(Pool.Id);
    }
  }

  bool isRolloutFinished(const Pool &Pool) const {
    return std::all_of(this->Current.Vms.begin(), this->Current.Vms.end(),
                       [&](const auto &Entry) {
                         return Entry.second.Pool != Pool.Id ||
                                Entry.second.Generation >= Pool.Generation;
                       });
  }

  void continueMaintenance(const Vm &Vm) {
    const VmObservation Observation = this->observationOf(Vm.Id);
    if (Vm.State == VmState::Draining && Observation.Drained) {
      json &Patch = this->patchOf(Vm.Id);
      Patch["state"] = toString(VmState::Rebooting);
      Patch["bootsBefore"] = Observation.Boots;
      this->Plan.Reboots.push_back({Vm.Id, Observation.Boots});
    }
    if (Vm.State != VmState::Rebooting)
      return;
    if (Observation.Boots > Vm.BootsBeforeReboot) {
      if (Observation.ListedLive)
        this->returnToService(Vm);
      return;
    }
    // Reboot again: the first call may have been lost.
    this->Plan.Reboots.push_back({Vm.Id, Vm.BootsBeforeReboot});
  }

  void returnToService(const Vm &Vm) {
    const PoolId TargetPool = Vm.MoveTo.empty() ? Vm.Pool : Vm.MoveTo;
    json &Patch = this->patchOf(Vm.Id);
    Patch["state"] = toString(VmState::Serving);
    Patch["pool"] = TargetPool.str();
    Patch["generation"] = this->Current.Pools.at(TargetPool).Generation;
    Patch["moveTo"] = nullptr;
    Patch["drainVersion"] = nullptr;
    Patch["bootsBefore"] = nullptr;
    // The same patch may take the next VM out of service, as both steps take
    // effect in one version. A VM that moves to another pool frees budget in
    // its old pool only with the next version.
    if (TargetPool == Vm.Pool && !this->observationOf(Vm.Id).Ejected)
      this->Down.remove(this->Current, Vm.Id);
  }

  bool needsMaintenance(const Vm &Vm) const {
    if (Vm.State != VmState::Serving)
      return false;
    if (!Vm.MoveTo.empty())
      return true;
    const Pool &Pool = this->Current.Pools.at(Vm.Pool);
    const bool Paused =
        Pool.RolloutPaused || this->PoolsToPause.contains(Pool.Id);
    return Vm.Generation < Pool.Generation && !Paused;
  }

  void startMaintenance() {
    std::vector<const Vm *> Candidates;
    for (const auto &[Id, Vm] : this->Current.Vms)
      if (this->needsMaintenance(Vm))
        Candidates.push_back(&Vm);
    // VMs that are already down consume no additional budget and go first,
    // followed by those with the fewest running tasks, which drain soonest.
    std::stable_sort(Candidates.begin(), Candidates.end(),
                     [this](const Vm *A, const Vm *B) {
                       const bool DownA = this->Down.contains(A->Id);
                       const bool DownB = this->Down.contains(B->Id);
                       if (DownA != DownB)
                         return DownA;
                       return this->observationOf(A->Id).Running <
                              this->observationOf(B->Id).Running;
                     });
    for (const Vm *Next : Candidates) {
      if (!this->Down.checkDisruption(this->Current, Next->Id))
        continue;
      this->Down.add(this->Current, Next->Id);
      json &Patch = this->patchOf(Next->Id);
      Patch["state"] = toString(VmState::Draining);
      Patch["drainVersion"] = this->Current.Version + 1;
    }
  }

  const Fleet &Current;
  const FleetObservation &Observed;
  UnavailableVms Down;
  std::set<PoolId> PoolsToPause;
  MaintenancePlan Plan;
};

} // namespace

std::set<VmId> unconfirmedVms(const Fleet &Current,
                              const FleetObservation &Observed) {
  std::set<VmId> Unconfirmed;
  for (const auto &[Id, Vm] : Current.Vms) {
    auto Found = Observed.find(Id);
    if (Found == Observed.end() || !Found->second.ListedLive ||
        Found->second.Ejected)
      Unconfirmed.insert(Id);
  }
  return Unconfirmed;
}

MaintenancePlan planMaintenance(const Fleet &Current,
                                const FleetObservation &Observed) {
  return Planner(Current, Observed).plan();
}

RolloutProgress rolloutProgress(const Fleet &Current, const PoolId &Pool) {
  RolloutProgress Progress;
  auto Found = Current.Pools.find(Pool);
  if (Found == Current.Pools.end())
    return Progress;
  Progress.Paused = Found->second.RolloutPaused;
  for (const auto &[Id, Vm] : Current.Vms) {
    if (Vm.Pool != Pool)
      continue;
    ++Progress.Total;
    if (Vm.State != VmState::Serving)
      ++Progress.InProgress;
    else if (Vm.Generation >= Found->second.Generation)
      ++Progress.Done;
  }
  return Progress;
}

} // namespace sardinerill
