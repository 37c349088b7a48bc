#include "sardinerill/control/maintenanceduty.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <utility>

namespace sardinerill {

namespace {

const std::string DutyName = "maintenance";
constexpr Duration LeaseTime = seconds(15);
constexpr Duration WatchPause = seconds(5);
constexpr Duration IdlePause = seconds(3);
constexpr Duration WorkPause = milliseconds(150);

} // namespace

MaintenanceDuty::MaintenanceDuty(IPlatform &Platform, IBackground &Background,
                                 FleetKeeper &Keeper, Membership &Members,
                                 const IMaintenanceView &View,
                                 PlatformGate &Gate, const IClock &Clock,
                                 Metrics &Figures)
    : Platform(Platform), Background(Background), Keeper(Keeper),
      Members(Members), View(View), Gate(Gate), Clock(Clock), Figures(Figures) {
}

bool MaintenanceDuty::isHeld() const { return this->Held; }

void MaintenanceDuty::tick() {
  const Instant Now = this->Clock.now();
  if (this->InRound || this->Released || !this->Keeper.current() ||
      Now < this->NextRound || !this->Gate.allow(CallPriority::Normal, Now))
    return;
  this->InRound = true;
  runFor<Round>(
      this->Background,
      [Platform = &this->Platform, Draining = this->isDraining(),
       Seen = this->Seen, Self = this->Members.self(), Now] {
        Round Read{readDuty(*Platform, DutyName), {}, {}};
        if (!Read.Duty)
          return Read;
        // An unchanged row keeps the time at which it was first seen.
        const bool Moved = Read.Duty->Rev != Seen.Rev || Read.Duty->Rev == 0;
        Read.Duty->SeenAt = Moved ? Now : Seen.SeenAt;
        if (decideDuty(*Read.Duty, Self, Now, LeaseTime) == DutyAction::Wait)
          return Read;
        Read.Duty = holdDuty(*Platform, DutyName, *Read.Duty, Self);
        if (Read.Duty)
          Read.Vms = Platform->listVms();
        if (Read.Duty && Draining)
          Read.Roster = readRoster(*Platform);
        return Read;
      },
      [this](Round Read) { this->endRound(std::move(Read)); });
}

bool MaintenanceDuty::hasWork() const {
  const std::shared_ptr<const Fleet> Current = this->Keeper.current();
  return std::any_of(
      Current->Vms.begin(), Current->Vms.end(), [&](const auto &Entry) {
        const Vm &Each = Entry.second;
        const Pool &Home = Current->Pools.at(Each.Pool);
        return Each.State != VmState::Serving || !Each.MoveTo.empty() ||
               (Each.Generation < Home.Generation && !Home.RolloutPaused);
      });
}

bool MaintenanceDuty::isDraining() const {
  const std::shared_ptr<const Fleet> Current = this->Keeper.current();
  return std::any_of(Current->Vms.begin(), Current->Vms.end(),
                     [](const auto &Entry) {
                       return Entry.second.State == VmState::Draining;
                     });
}

Duration MaintenanceDuty::pause() const {
  if (!this->Held)
    return WatchPause;
  return this->hasWork() ? WorkPause : IdlePause;
}

void MaintenanceDuty::kick() {
  if (!this->Held)
    return;
  this->KickedInRound = this->InRound;
  this->NextRound = Instant{};
  this->tick();
}

void MaintenanceDuty::endRound(Round Read) {
  this->InRound = false;
  const bool WasHeld = this->Held;
  this->Held = false;
  if (!Read.Duty) {
    const bool Answered = Read.Duty.error().Kind == ErrorKind::VersionConflict;
    this->Gate.record(Answered, this->Clock.now());
    this->NextRound = this->Clock.now() + WatchPause;
    return;
  }
  this->Gate.record(true, this->Clock.now());
  this->Seen = *Read.Duty;
  this->Held = this->Seen.Holder == this->Members.self() && !this->Released;
  if (this->Held && !WasHeld)
    logEvent(LogLevel::Info, "duty.taken",
             {{"duty", DutyName}, {"fence", std::to_string(this->Seen.Fence)}});
  if (Read.Roster && *Read.Roster)
    this->Members.learnRoster(**Read.Roster, this->Clock.now());
  // A VM cannot be considered drained without the list of all daemons.
  const bool Complete =
      !this->isDraining() || (Read.Roster && Read.Roster->has_value());
  if (this->Held && Read.Vms && !Read.Vms->empty() && Complete)
    this->act(*Read.Vms);
  const bool Again = std::exchange(this->KickedInRound, false);
  this->NextRound = Again ? Instant{} : this->Clock.now() + this->pause();
}

FleetObservation
MaintenanceDuty::observe(const Fleet &Current,
                         const std::vector<VmListEntry> &Vms) const {
  FleetObservation Seen;
  for (const VmListEntry &Entry : Vms) {
    auto Known = Current.Vms.find(Entry.Vm);
    if (Known == Current.Vms.end())
      continue;
    VmObservation Now;
    Now.ListedLive = Entry.State == VmListState::Live;
    Now.Boots = Entry.Boots;
    Now.Suspected = this->View.isSuspected(Entry.Vm);
    Now.Running = this->View.runningOn(Entry.Vm);
    if (Known->second.State == VmState::Draining)
      Now.Drained =
          this->Members.busyOn(Entry.Vm, Known->second.DrainVersion).empty();
    Seen[Entry.Vm] = Now;
  }
  return Seen;
}

void MaintenanceDuty::act(const std::vector<VmListEntry> &Vms) {
  const std::shared_ptr<const Fleet> Current = this->Keeper.current();
  MaintenancePlan Plan =
      planMaintenance(*Current, this->observe(*Current, Vms));
  if (Plan.Patch.empty()) {
    this->reboot(std::move(Plan.Reboots));
    return;
  }
  FleetChange Change;
  Change.MadeOn = Current->Version;
  Change.Patch = std::move(Plan.Patch);
  Change.Author = "maintenance@" + this->Members.self().str();
  Change.Guards = {fenceOf(DutyName, this->Seen)};
  this->Keeper.append(
      std::move(Change), [this, Reboots = std::move(Plan.Reboots)](
                             Result<FleetVersion> Written) mutable {
        if (!Written) {
          logEvent(LogLevel::Warning, "maintenance.not_committed",
                   {{"detail", Written.error().Detail}});
          return;
        }
        this->Figures.count("maintenance_steps_total");
        this->reboot(std::move(Reboots));
      });
}

void MaintenanceDuty::reboot(std::vector<RebootOrder> Orders) {
  if (Orders.empty())
    return;
  for (const RebootOrder &Order : Orders)
    logEvent(LogLevel::Info, "vm.rebooting", {{"vm", Order.Vm.str()}});
  this->Background.run(
      [Platform = &this->Platform, Orders] {
        for (const RebootOrder &Order : Orders)
          (void)Platform->rebootVm(Order.Vm, Order.ExpectedBoots);
      },
      [] {});
}

void MaintenanceDuty::release(std::function<void()> Done) {
  this->Released = true;
  if (!this->Held) {
    Done();
    return;
  }
  this->Held = false;
  this->Background.run(
      [Platform = &this->Platform, Seen = this->Seen] {
        (void)dropDuty(*Platform, DutyName, Seen);
      },
      std::move(Done));
}

} // namespace sardinerill
