#include "vmkeeper.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Time between two reads of the VM list while a wave is open or a standby pool
/// exists.
constexpr milliseconds LookInterval{200};
constexpr milliseconds IdleInterval{300};
constexpr milliseconds ListLimit{1500};

} // namespace

void VmKeeper::addWaves(const std::vector<MaintenanceWave> &Added) {
  for (const MaintenanceWave &Wave : Added) {
    WaveProgress &Kept = this->Waves[Wave.Number];
    if (Kept.Wave.Number != Wave.Number) {
      Kept.FirstSeen = this->Parts.Clock.now();
      logEvent(LogLevel::Info, "wave.seen",
               {{"wave", std::to_string(Wave.Number)},
                {"vms", std::to_string(Wave.Vms.size())},
                {"at_once", std::to_string(Wave.MaxAtOnce)}});
    }
    Kept.Wave = Wave;
    for (const VmId &Vm : Wave.Vms)
      Kept.Vms.try_emplace(Vm);
  }
}

const VmRecord *VmKeeper::record(const VmId &Vm) const {
  const auto Found = std::ranges::find(this->Vms, Vm, &VmRecord::Id);
  return Found == this->Vms.end() ? nullptr : &*Found;
}

bool VmKeeper::isStandby(const PoolId &Pool) const {
  const auto Found = this->Configuration.Pools.find(Pool);
  return Found != this->Configuration.Pools.end() && Found->second.Standby;
}

bool VmKeeper::hasStandby() const {
  return std::ranges::any_of(this->Configuration.Pools, [](const auto &Entry) {
    return Entry.second.Standby;
  });
}

bool VmKeeper::hasOpenWave() const {
  return std::ranges::any_of(
      this->Waves, [](const auto &Entry) { return !Entry.second.Completed; });
}

Async<void> VmKeeper::run() {
  while (!this->Stopped) {
    const Instant Now = this->Parts.Clock.now();
    const bool Idle = !this->hasOpenWave() && !this->hasStandby();
    if (Idle || !this->Parts.Ownership.mayOrder(Now)) {
      co_await pauseFor(IdleInterval);
      continue;
    }
    co_await this->look();
    co_await pauseFor(LookInterval);
  }
}

Async<bool> VmKeeper::listVms() {
  auto Listed = co_await this->Parts.Vms.list(ListLimit);
  if (this->Stopped)
    co_return false;
  if (!Listed) {
    this->Parts.Figures.count("vm_lists_failed_total");
    co_return false;
  }
  this->Vms = std::move(*Listed);
  this->Parts.Plan.listHosted(this->Vms);
  co_return true;
}

Async<void> VmKeeper::listFirst() {
  while (!this->Stopped && !co_await this->listVms())
    co_await pauseFor(LookInterval);
}

Async<void> VmKeeper::look() {
  const Instant AskedAt = this->Parts.Clock.now();
  if (!co_await this->listVms())
    co_return;
  this->retireReplaced(AskedAt);
  this->refreshMoves();
  this->expectMaintenance();
  if (this->Parts.Clock.now() < this->QuietUntil)
    co_return;
  for (auto &[Number, Wave] : this->Waves) {
    if (Wave.Completed)
      continue;
    if (!Wave.Loaded && !co_await this->loadDone(Wave))
      continue;
    this->refresh(Wave);
    co_await this->storeDone(Wave);
    co_await this->advance(Wave);
    if (this->Stopped)
      co_return;
  }
  if (this->hasStandby())
    co_await this->movePools();
}

void VmKeeper::retireReplaced(Instant AskedAt) {
  // The registry keeps entries of ended incarnations for some time, but a VM
  // runs only one.
  for (const UpstreamId &Id : this->Parts.Plan.silentSince(AskedAt)) {
    const bool Runs = std::ranges::any_of(
        this->Vms, [&](const VmRecord &Vm) { return Vm.Upstream == Id; });
    if (!Runs)
      this->Parts.Plan.retireUpstream(Id, "no VM runs it",
                                      this->Parts.Clock.now());
  }
}

bool VmKeeper::isDue(const VmId &Vm) const {
  return std::ranges::any_of(this->Waves, [&](const auto &Entry) {
    const auto Found = Entry.second.Vms.find(Vm);
    return Found != Entry.second.Vms.end() &&
           (Found->second.Stage == WaveStage::Waiting ||
            Found->second.Stage == WaveStage::Preparing);
  });
}

void VmKeeper::expectMaintenance() {
  std::set<UpstreamId> Due;
  for (const VmRecord &Vm : this->Vms)
    if (this->isDue(Vm.Id))
      Due.insert(Vm.Upstream);
  this->Parts.Plan.expectMaintenance(Due);
}

} // namespace sardinerill::site
