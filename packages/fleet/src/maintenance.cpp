#include "sardinerill/fleet/maintenance.h"

#include <algorithm>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Plans the next steps for one version of the fleet.
class Planner {
public:
  Planner(const Fleet &Current, const FleetObservation &Seen)
      : Current(Current), Seen(Seen), Down(Current, notKnownUp(Current, Seen)) {
  }

  MaintenancePlan plan() {
    this->pauseFailing();
    for (const auto &[Id, Vm] : this->Current.Vms)
      this->continueWork(Vm);
    this->beginWork();
    return std::move(this->Plan);
  }

private:
  VmObservation seen(const VmId &Id) const {
    auto Found = this->Seen.find(Id);
    return Found == this->Seen.end() ? VmObservation{} : Found->second;
  }

  json &patchOf(const VmId &Id) { return this->Plan.Patch["vms"][Id.str()]; }

  /// Pauses roll-outs in which an updated VM fails, as the next VM would
  /// probably fail as well.
  void pauseFailing() {
    for (const auto &[Id, Vm] : this->Current.Vms) {
      const Pool &Pool = this->Current.Pools.at(Vm.Pool);
      const bool Renewed = Pool.Generation > 0 &&
                           Vm.Generation == Pool.Generation &&
                           Vm.State == VmState::Serving;
      if (!Renewed || !this->Down.contains(Id) || this->isFinished(Pool))
        continue;
      if (!Pool.RolloutPaused)
        this->Plan.Patch["pools"][Pool.Id.str()]["rolloutPaused"] = true;
      this->Paused.insert(Pool.Id);
    }
  }

  bool isFinished(const Pool &Pool) const {
    return std::all_of(this->Current.Vms.begin(), this->Current.Vms.end(),
                       [&](const auto &Entry) {
                         return Entry.second.Pool != Pool.Id ||
                                Entry.second.Generation >= Pool.Generation;
                       });
  }

  void continueWork(const Vm &Vm) {
    const VmObservation Now = this->seen(Vm.Id);
    if (Vm.State == VmState::Draining && Now.Drained) {
      json &Patch = this->patchOf(Vm.Id);
      Patch["state"] = toString(VmState::Rebooting);
      Patch["bootsBefore"] = Now.Boots;
      this->Plan.Reboots.push_back({Vm.Id, Now.Boots});
    }
    if (Vm.State != VmState::Rebooting)
      return;
    if (Now.Boots > Vm.BootsBefore) {
      if (Now.ListedLive)
        this->returnToService(Vm);
      return;
    }
    // Reboot again: the first call may have been lost.
    this->Plan.Reboots.push_back({Vm.Id, Vm.BootsBefore});
  }

  void returnToService(const Vm &Vm) {
    const PoolId Home = Vm.MoveTo.empty() ? Vm.Pool : Vm.MoveTo;
    json &Patch = this->patchOf(Vm.Id);
    Patch["state"] = toString(VmState::Serving);
    Patch["pool"] = Home.str();
    Patch["generation"] = this->Current.Pools.at(Home).Generation;
    Patch["moveTo"] = nullptr;
    Patch["drainVersion"] = nullptr;
    Patch["bootsBefore"] = nullptr;
    // The same patch may take the next VM out of service, as both steps take
    // effect in one version. A VM that moves to another pool frees budget in
    // its old pool only with the next version.
    if (Home == Vm.Pool && !this->seen(Vm.Id).Suspected)
      this->Down.remove(this->Current, Vm.Id);
  }

  bool needsWork(const Vm &Vm) const {
    if (Vm.State != VmState::Serving)
      return false;
    if (!Vm.MoveTo.empty())
      return true;
    const Pool &Pool = this->Current.Pools.at(Vm.Pool);
    const bool Paused = Pool.RolloutPaused || this->Paused.contains(Pool.Id);
    return Vm.Generation < Pool.Generation && !Paused;
  }

  void beginWork() {
    std::vector<const Vm *> Waiting;
    for (const auto &[Id, Vm] : this->Current.Vms)
      if (this->needsWork(Vm))
        Waiting.push_back(&Vm);
    // VMs that are already down consume no budget and go first, followed by
    // those with the fewest running tasks, which drain soonest.
    std::stable_sort(
        Waiting.begin(), Waiting.end(), [this](const Vm *A, const Vm *B) {
          const bool DownA = this->Down.contains(A->Id);
          const bool DownB = this->Down.contains(B->Id);
          if (DownA != DownB)
            return DownA;
          return this->seen(A->Id).Running < this->seen(B->Id).Running;
        });
    for (const Vm *Next : Waiting) {
      if (!this->Down.mayDisrupt(this->Current, Next->Id))
        continue;
      this->Down.add(this->Current, Next->Id);
      json &Patch = this->patchOf(Next->Id);
      Patch["state"] = toString(VmState::Draining);
      Patch["drainVersion"] = this->Current.Version + 1;
    }
  }

  const Fleet &Current;
  const FleetObservation &Seen;
  DownSet Down;
  std::set<PoolId> Paused;
  MaintenancePlan Plan;
};

} // namespace

std::set<VmId> notKnownUp(const Fleet &Current, const FleetObservation &Seen) {
  std::set<VmId> Unknown;
  for (const auto &[Id, Vm] : Current.Vms) {
    auto Found = Seen.find(Id);
    if (Found == Seen.end() || !Found->second.ListedLive ||
        Found->second.Suspected)
      Unknown.insert(Id);
  }
  return Unknown;
}

MaintenancePlan planMaintenance(const Fleet &Current,
                                const FleetObservation &Seen) {
  return Planner(Current, Seen).plan();
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
      ++Progress.InWork;
    else if (Vm.Generation >= Found->second.Generation)
      ++Progress.Done;
  }
  return Progress;
}

} // namespace sardinerill
