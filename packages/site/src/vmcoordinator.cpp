#include "vmcoordinator.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Time between two reads of the VM list while a wave is open or a standby pool
/// exists.
constexpr milliseconds ReconcileInterval{200};
/// Time between checks while there is no such work or no commands may be sent.
constexpr milliseconds IdleInterval{300};
constexpr milliseconds ListTimeout{1500};

} // namespace

void VmCoordinator::addWaves(const std::vector<MaintenanceWave> &Added) {
  for (const MaintenanceWave &Wave : Added) {
    WaveProgress &Progress = this->Waves[Wave.Number];
    if (Progress.Wave.Number != Wave.Number) {
      Progress.FirstSeen = this->Deps.Clock.now();
      logEvent(LogLevel::Info, "wave.seen",
               {{"wave", std::to_string(Wave.Number)},
                {"vms", std::to_string(Wave.Vms.size())},
                {"at_once", std::to_string(Wave.MaxConcurrent)}});
    }
    Progress.Wave = Wave;
    for (const VmId &Vm : Wave.Vms)
      Progress.Vms.try_emplace(Vm);
  }
}

const VmRecord *VmCoordinator::findVm(const VmId &Vm) const {
  const auto Found = std::ranges::find(this->Vms, Vm, &VmRecord::Id);
  return Found == this->Vms.end() ? nullptr : &*Found;
}

bool VmCoordinator::isStandby(const PoolId &Pool) const {
  const auto Found = this->Configuration.Pools.find(Pool);
  return Found != this->Configuration.Pools.end() && Found->second.Standby;
}

bool VmCoordinator::hasStandby() const {
  return std::ranges::any_of(this->Configuration.Pools, [](const auto &Entry) {
    return Entry.second.Standby;
  });
}

bool VmCoordinator::hasVmIn(const ZoneId &Zone) const {
  return std::ranges::find(this->Vms, Zone, &VmRecord::Zone) != this->Vms.end();
}

bool VmCoordinator::hasOpenWave() const {
  return std::ranges::any_of(
      this->Waves, [](const auto &Entry) { return !Entry.second.Completed; });
}

Async<void> VmCoordinator::run() {
  while (!this->Stopped) {
    const Instant Now = this->Deps.Clock.now();
    const bool Idle = !this->hasOpenWave() && !this->hasStandby() &&
                      !this->Deps.JobScheduler.hasLostContact();
    if (Idle || !this->Deps.Ownership.maySendCommands(Now)) {
      co_await sleepFor(IdleInterval);
      continue;
    }
    co_await this->reconcile();
    co_await sleepFor(ReconcileInterval);
  }
}

bool VmCoordinator::mayCommandVms() const {
  return !this->Stopped &&
         this->Deps.Ownership.mayCommandVms(this->Deps.Clock.now());
}

VmCommandIssuer VmCoordinator::issuer() {
  return {.Holder = this->Deps.Settings.Name,
          .Token = this->Deps.Ownership.token(),
          .MaySend = [Self = this->shared_from_this()] {
            return Self->mayCommandVms();
          }};
}

Async<bool> VmCoordinator::listVms() {
  auto Listed = co_await this->Deps.Vms.list(ListTimeout);
  if (this->Stopped)
    co_return false;
  if (!Listed) {
    this->Deps.Stats.count("vm_lists_failed_total");
    co_return false;
  }
  this->Vms = std::move(*Listed);
  this->Deps.JobScheduler.setHostedUpstreams(this->Vms);
  co_return true;
}

Async<void> VmCoordinator::listInitialVms() {
  while (!this->Stopped && !co_await this->listVms())
    co_await sleepFor(ReconcileInterval);
}

Async<void> VmCoordinator::reconcile() {
  const Instant RequestedAt = this->Deps.Clock.now();
  if (!co_await this->listVms())
    co_return;
  this->retireReplacedUpstreams(RequestedAt);
  this->Deps.JobScheduler.retireEndedUpstreams(this->Vms, RequestedAt,
                                               this->Deps.Clock.now());
  this->Deps.SchedulingEvent.notify();
  this->updateMoves();
  this->updateMaintenanceDue();
  if (!this->mayCommandVms())
    co_return;
  for (auto &[Number, Wave] : this->Waves) {
    if (Wave.Completed)
      continue;
    if (!Wave.Loaded && !co_await this->loadDoneVms(Wave))
      continue;
    this->updateStages(Wave);
    co_await this->storeDoneVms(Wave);
    co_await this->advanceWave(Wave);
    if (this->Stopped)
      co_return;
  }
  if (this->hasStandby())
    co_await this->moveVmsBetweenPools();
}

void VmCoordinator::retireReplacedUpstreams(Instant RequestedAt) {
  // The registry keeps entries of ended incarnations for some time, but a VM
  // runs only one.
  for (const UpstreamId &Id :
       this->Deps.JobScheduler.unansweredUpstreams(RequestedAt)) {
    const bool Runs = std::ranges::any_of(
        this->Vms, [&](const VmRecord &Vm) { return Vm.Upstream == Id; });
    if (!Runs)
      this->Deps.JobScheduler.retireUpstream(Id, "no VM runs it",
                                             this->Deps.Clock.now());
  }
}

bool VmCoordinator::isMaintenanceDue(const VmId &Vm) const {
  return std::ranges::any_of(this->Waves, [&](const auto &Entry) {
    const auto Found = Entry.second.Vms.find(Vm);
    return Found != Entry.second.Vms.end() &&
           (Found->second.Stage == WaveStage::Waiting ||
            Found->second.Stage == WaveStage::Preparing);
  });
}

void VmCoordinator::updateMaintenanceDue() {
  std::set<UpstreamId> Due;
  for (const VmRecord &Vm : this->Vms)
    if (this->isMaintenanceDue(Vm.Id))
      Due.insert(Vm.Upstream);
  this->Deps.JobScheduler.setMaintenanceDue(Due);
}

} // namespace sardinerill::site
