#include "sardinerill/control/maintenancecontroller.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <utility>

namespace sardinerill {

namespace {

const std::string DutyName = "maintenance";
constexpr Duration LeaseDuration = seconds(15);
/// Interval between rounds of a daemon that does not hold the lease.
constexpr Duration StandbyInterval = seconds(5);
/// Interval between the holder's rounds without pending maintenance. Each round
/// renews the lease, so it must be well below LeaseDuration.
constexpr Duration IdleInterval = seconds(3);
/// Interval between the holder's rounds while maintenance is pending.
constexpr Duration ActiveInterval = milliseconds(150);

} // namespace

MaintenanceController::MaintenanceController(
    IPlatform &Platform, IBackgroundExecutor &Background, FleetReplica &Replica,
    Membership &Members, const IVmObserver &Observer,
    PlatformCallLimiter &Limiter, const IClock &Clock, Metrics &Stats)
    : Platform(Platform), Background(Background), Replica(Replica),
      Members(Members), Observer(Observer), Limiter(Limiter), Clock(Clock),
      Stats(Stats) {}

bool MaintenanceController::holdsLease() const { return this->LeaseHeld; }

void MaintenanceController::tick() {
  const Instant Now = this->Clock.now();
  if (this->RoundInFlight || this->ReleaseRequested ||
      !this->Replica.current() || Now < this->NextRoundAt ||
      !this->Limiter.tryAcquire(CallPriority::Normal, Now))
    return;
  this->RoundInFlight = true;
  runInBackground<RoundData>(
      this->Background,
      [Platform = &this->Platform, Draining = this->hasDrainingVm(),
       Lease = this->Lease, Self = this->Members.self(), Now] {
        RoundData Data{readLeaderLease(*Platform, DutyName), {}, {}};
        if (!Data.CurrentLease)
          return Data;
        // An unchanged row keeps the time at which it was first seen.
        const bool RowChanged =
            Data.CurrentLease->Rev != Lease.Rev || Data.CurrentLease->Rev == 0;
        Data.CurrentLease->FirstSeenAt = RowChanged ? Now : Lease.FirstSeenAt;
        if (decideLeaseAction(*Data.CurrentLease, Self, Now, LeaseDuration) ==
            LeaseAction::Wait)
          return Data;
        Data.CurrentLease = acquireOrRenewLeaderLease(*Platform, DutyName,
                                                      *Data.CurrentLease, Self);
        if (Data.CurrentLease)
          Data.Vms = Platform->listVms();
        if (Data.CurrentLease && Draining)
          Data.Roster = readRoster(*Platform);
        return Data;
      },
      [this](RoundData Data) { this->finishRound(std::move(Data)); });
}

bool MaintenanceController::hasPendingMaintenance() const {
  const std::shared_ptr<const Fleet> Current = this->Replica.current();
  return std::any_of(
      Current->Vms.begin(), Current->Vms.end(), [&](const auto &Entry) {
        const Vm &Vm = Entry.second;
        const Pool &CurrentPool = Current->Pools.at(Vm.Pool);
        return Vm.State != VmState::Serving || !Vm.MoveTo.empty() ||
               (Vm.Generation < CurrentPool.Generation &&
                !CurrentPool.RolloutPaused);
      });
}

bool MaintenanceController::hasDrainingVm() const {
  const std::shared_ptr<const Fleet> Current = this->Replica.current();
  return std::any_of(Current->Vms.begin(), Current->Vms.end(),
                     [](const auto &Entry) {
                       return Entry.second.State == VmState::Draining;
                     });
}

Duration MaintenanceController::nextRoundDelay() const {
  if (!this->LeaseHeld)
    return StandbyInterval;
  return this->hasPendingMaintenance() ? ActiveInterval : IdleInterval;
}

void MaintenanceController::startRoundNow() {
  if (!this->LeaseHeld)
    return;
  this->ImmediateRoundRequested = this->RoundInFlight;
  this->NextRoundAt = Instant{};
  this->tick();
}

void MaintenanceController::finishRound(RoundData Data) {
  this->RoundInFlight = false;
  const bool WasLeaseHeld = this->LeaseHeld;
  this->LeaseHeld = false;
  if (!Data.CurrentLease) {
    // A conflict is an answer; other errors are failed calls.
    const bool PlatformAnswered =
        Data.CurrentLease.error().Kind == ErrorKind::VersionConflict;
    this->Limiter.recordOutcome(PlatformAnswered, this->Clock.now());
    this->NextRoundAt = this->Clock.now() + StandbyInterval;
    return;
  }
  this->Limiter.recordOutcome(true, this->Clock.now());
  this->Lease = *Data.CurrentLease;
  this->LeaseHeld =
      this->Lease.Holder == this->Members.self() && !this->ReleaseRequested;
  if (this->LeaseHeld && !WasLeaseHeld)
    logEvent(LogLevel::Info, "duty.taken",
             {{"duty", DutyName},
              {"fence", std::to_string(this->Lease.FencingToken)}});
  if (Data.Roster && *Data.Roster)
    this->Members.applyRoster(**Data.Roster, this->Clock.now());
  // A VM cannot be considered drained without the list of all daemons.
  const bool Complete =
      !this->hasDrainingVm() || (Data.Roster && Data.Roster->has_value());
  // With an empty list, every VM would appear to be down.
  if (this->LeaseHeld && Data.Vms && !Data.Vms->empty() && Complete)
    this->planAndCommit(*Data.Vms);
  const bool StartImmediately =
      std::exchange(this->ImmediateRoundRequested, false);
  this->NextRoundAt =
      StartImmediately ? Instant{} : this->Clock.now() + this->nextRoundDelay();
}

FleetObservation
MaintenanceController::observe(const Fleet &Current,
                               const std::vector<VmListEntry> &Vms) const {
  FleetObservation Observation;
  for (const VmListEntry &Entry : Vms) {
    auto Found = Current.Vms.find(Entry.Vm);
    if (Found == Current.Vms.end())
      continue;
    VmObservation VmObserved;
    VmObserved.ListedLive = Entry.State == VmListState::Live;
    VmObserved.Boots = Entry.BootCount;
    VmObserved.Ejected = this->Observer.isEjected(Entry.Vm);
    VmObserved.Running = this->Observer.runningTaskCount(Entry.Vm);
    if (Found->second.State == VmState::Draining)
      VmObserved.Drained =
          this->Members.daemonsBusyOn(Entry.Vm, Found->second.DrainVersion)
              .empty();
    Observation[Entry.Vm] = VmObserved;
  }
  return Observation;
}

void MaintenanceController::planAndCommit(const std::vector<VmListEntry> &Vms) {
  const std::shared_ptr<const Fleet> Current = this->Replica.current();
  MaintenancePlan Plan =
      planMaintenance(*Current, this->observe(*Current, Vms));
  if (Plan.Patch.empty()) {
    // Without a commit the lease is not checked, but each reboot is conditional
    // on the VM's boot count.
    this->rebootVms(std::move(Plan.Reboots));
    return;
  }
  FleetChange Change;
  Change.BaseVersion = Current->Version;
  Change.Patch = std::move(Plan.Patch);
  Change.Author = "maintenance@" + this->Members.self().str();
  Change.Conditions = {leaseCondition(DutyName, this->Lease)};
  this->Replica.append(
      std::move(Change), [this, Reboots = std::move(Plan.Reboots)](
                             Result<FleetVersion> Written) mutable {
        if (!Written) {
          logEvent(LogLevel::Warning, "maintenance.not_committed",
                   {{"detail", Written.error().Detail}});
          return;
        }
        this->Stats.count("maintenance_steps_total");
        this->rebootVms(std::move(Reboots));
      });
}

void MaintenanceController::rebootVms(std::vector<RebootRequest> Requests) {
  if (Requests.empty())
    return;
  for (const RebootRequest &Request : Requests)
    logEvent(LogLevel::Info, "vm.rebooting", {{"vm", Request.Vm.str()}});
  this->Background.run(
      [Platform = &this->Platform, Requests] {
        for (const RebootRequest &Request : Requests)
          // A later round repeats a failed call.
          (void)Platform->rebootVm(Request.Vm, Request.ExpectedBoots);
      },
      [] {});
}

void MaintenanceController::release(std::function<void()> Done) {
  this->ReleaseRequested = true;
  if (!this->LeaseHeld) {
    Done();
    return;
  }
  this->LeaseHeld = false;
  this->Background.run(
      [Platform = &this->Platform, Lease = this->Lease] {
        (void)releaseLeaderLease(*Platform, DutyName, Lease);
      },
      std::move(Done));
}

} // namespace sardinerill
