#include "vmcoordinator.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <sstream>

/// \file
/// Execution of maintenance waves: cordons and drains VMs, takes them down and
/// records the progress.

namespace sardinerill::site {

namespace {

constexpr milliseconds ProgressTimeout{1500};
constexpr milliseconds CommandTimeout{1500};
constexpr milliseconds AnnounceTimeout{900};
/// A VM that was taken down is listed as down within this time.
constexpr milliseconds MaxListingDelay{1200};
/// A VM that takes longer to drain is logged with the task that blocks it.
constexpr seconds LongDrain{4};
constexpr seconds BlockingLogInterval{2};
constexpr int MaxBlockingLogged = 4;

} // namespace

void VmCoordinator::updateStages(WaveProgress &Wave) {
  const Instant Now = this->Deps.Clock.now();
  for (auto &[Id, Progress] : Wave.Vms) {
    const VmRecord *Vm = this->findVm(Id);
    if (!Vm) {
      Progress.Stage = WaveStage::Done; // The VM was removed from the site.
      continue;
    }
    if (Progress.Stage == WaveStage::Waiting &&
        Vm->State == VmState::Maintenance) {
      // Taken down by a previous holder; which upstream ran there is not known.
      Progress.Stage = WaveStage::RebootRequested;
      Progress.StageSince = Now;
    }
    if (Progress.Stage != WaveStage::RebootRequested)
      continue;
    const bool OtherIncarnation = !Progress.Upstream.empty() &&
                                  !Vm->Upstream.empty() &&
                                  Vm->Upstream != Progress.Upstream;
    if (!Progress.SeenDown && (Vm->State != VmState::Up || OtherIncarnation)) {
      Progress.SeenDown = true;
      this->Deps.JobScheduler.retireUpstream(Progress.Upstream,
                                             "its VM was taken down", Now);
      this->Deps.SchedulingEvent.notify();
    }
    const bool Overdue = Now - Progress.StageSince > MaxListingDelay;
    if (!Progress.Confirmed || Vm->State != VmState::Up ||
        (!Progress.SeenDown && !Overdue))
      continue;
    Progress.Stage = WaveStage::Done;
    // The VM is up after its maintenance, so the runs that are there now
    // continue.
    this->Deps.JobScheduler.cordon(Vm->Upstream, false);
    this->Deps.JobScheduler.setTakedownPending(Vm->Upstream, false);
  }
}

std::map<PoolId, WavePool> VmCoordinator::currentPools() const {
  const Instant Now = this->Deps.Clock.now();
  std::map<PoolId, WavePool> Pools;
  for (const VmRecord &Vm : this->Vms) {
    // Neither capacity nor taken out of service by a wave.
    if (this->Deps.Evacuations.isEvacuated(Vm.Zone))
      continue;
    WavePool &Pool = Pools[Vm.Pool];
    const bool Leaving =
        std::ranges::any_of(this->Waves, [&](const auto &Entry) {
          const auto Found = Entry.second.Vms.find(Vm.Id);
          return Found != Entry.second.Vms.end() &&
                 Found->second.Stage == WaveStage::Preparing;
        });
    if (Vm.State == VmState::Up && !Leaving) {
      Pool.CpuMilli += Vm.Capacity.CpuMilli;
      ++Pool.VmsInService;
    } else {
      ++Pool.VmsOutOfService;
    }
  }
  for (const auto &[Id, Demand] : this->Deps.JobScheduler.demand(Now)) {
    const auto Average = this->PoolDemandAverages.find(Id);
    Pools[Id].DemandCpuMilli =
        Average == this->PoolDemandAverages.end()
            ? Demand.expected()
            : std::int64_t(rememberedDemand(Average->second,
                                            double(Demand.expected()), Now));
    Pools[Id].MinVmsForSpread = Demand.MinVmsForSpread;
  }
  return Pools;
}

WaveView VmCoordinator::viewOf(const WaveProgress &Wave) const {
  const Instant Now = this->Deps.Clock.now();
  WaveView View{.Pools = this->currentPools(),
                .MaxConcurrent = Wave.Wave.MaxConcurrent,
                .Deadline = Wave.FirstSeen + Wave.Wave.Period,
                .Paced = this->Deps.Settings.Policy.DivideScarceVms,
                .Scarce = this->VmsAreScarce};
  for (const auto &[Id, Progress] : Wave.Vms) {
    const VmRecord *Vm = this->findVm(Id);
    if (!Vm)
      continue;
    View.CpuMilliOfVm = std::max(View.CpuMilliOfVm, Vm->Capacity.CpuMilli);
    const UpstreamLoad Load = this->Deps.JobScheduler.loadOf(Vm->Upstream, Now);
    const bool LoadKnown = Load.Fresh || this->isStandby(Vm->Pool);
    View.Vms.push_back(
        {.Id = Id,
         .Pool = Vm->Pool,
         .Stage = Progress.Stage,
         .Up = Vm->State == VmState::Up && !this->Moves.contains(Id),
         .Standby = this->isStandby(Vm->Pool),
         // An upstream whose load is unknown counts as having a run.
         .Runs = LoadKnown ? Load.Runs : 1,
         .CanInterrupt =
             this->isStandby(Vm->Pool) ||
             this->Deps.JobScheduler.canInterrupt(Vm->Upstream, Now),
         .UsedCpuMilli = Load.Used.CpuMilli,
         .Unused = LoadKnown && Load.Runs == 0 &&
                   this->Deps.Evacuations.isEvacuated(Vm->Zone),
         .PreparingSince = Progress.StageSince});
  }
  return View;
}

Async<void> VmCoordinator::advanceWave(WaveProgress &Wave) {
  if (!Wave.Announced)
    co_await this->publishState(Wave, false);
  const Instant Now = this->Deps.Clock.now();
  const WavePlan Plan = planWave(this->viewOf(Wave), Now);
  for (const VmId &Id : Plan.Prepare) {
    Wave.Vms[Id].Stage = WaveStage::Preparing;
    Wave.Vms[Id].StageSince = Now;
    if (const VmRecord *Vm = this->findVm(Id))
      this->Deps.JobScheduler.cordon(Vm->Upstream, true);
    logEvent(LogLevel::Info, "wave.prepare",
             {{"wave", std::to_string(Wave.Wave.Number)}, {"vm", Id.str()}});
  }
  for (const auto &[Id, Progress] : Wave.Vms)
    if (Progress.Stage == WaveStage::Preparing)
      if (const VmRecord *Vm = this->findVm(Id))
        this->Deps.JobScheduler.evacuate(Vm->Upstream, Now);
  this->Deps.SchedulingEvent.notify();
  this->logBlockingTasks(Wave, Now);
  for (const VmId &Id : Plan.TakeDown) {
    co_await this->takeDown(Wave, Id);
    if (this->Stopped)
      co_return;
  }
  // A command without an answer is sent again; the VM control executes it only
  // once.
  std::vector<VmId> UnconfirmedVms;
  for (const auto &[Id, Progress] : Wave.Vms)
    if (Progress.Stage == WaveStage::RebootRequested && !Progress.Confirmed)
      UnconfirmedVms.push_back(Id);
  for (const VmId &Id : UnconfirmedVms) {
    co_await this->takeDown(Wave, Id);
    if (this->Stopped)
      co_return;
  }
  const bool AllDone = std::ranges::all_of(Wave.Vms, [](const auto &Entry) {
    return Entry.second.Stage == WaveStage::Done;
  });
  // Another holder would take VMs down again that are not stored as done.
  if (AllDone && co_await this->storeDoneVms(Wave))
    co_await this->publishState(Wave, true);
}

void VmCoordinator::logBlockingTasks(WaveProgress &Wave, Instant Now) {
  if (Now < Wave.NextBlockingLog)
    return;
  Wave.NextBlockingLog = Now + BlockingLogInterval;
  int Logged = 0;
  for (const auto &[Id, Progress] : Wave.Vms) {
    const VmRecord *Vm = this->findVm(Id);
    if (!Vm || Progress.Stage != WaveStage::Preparing ||
        Now - Progress.StageSince < LongDrain || Logged >= MaxBlockingLogged)
      continue;
    const BlockingTask Blocking =
        this->Deps.JobScheduler.blockingTask(Vm->Upstream, Now);
    if (!Blocking.Found)
      continue;
    ++Logged;
    logEvent(LogLevel::Info, "wave.waits",
             {{"wave", std::to_string(Wave.Wave.Number)},
              {"vm", Id.str()},
              {"task", describe(Blocking.Task)},
              {"others_away", std::to_string(Blocking.OthersUnavailable)},
              {"allowed", std::to_string(Blocking.MaxUnavailable)},
              {"other_place", Blocking.FitsElsewhere ? "yes" : "no"}});
  }
}

Async<void> VmCoordinator::takeDown(WaveProgress &Wave, VmId Id) {
  const VmRecord *Vm = this->findVm(Id);
  if (!Vm || !this->mayCommandVms())
    co_return;
  const UpstreamId Upstream = Vm->Upstream;
  VmProgress &Progress = Wave.Vms[Id];
  const bool Repeated = Progress.Stage == WaveStage::RebootRequested;
  if (!Repeated) {
    const bool CanInterrupt =
        this->isStandby(Vm->Pool) ||
        this->Deps.JobScheduler.canInterrupt(Upstream, this->Deps.Clock.now());
    if (!CanInterrupt)
      co_return;
    Progress.Stage = WaveStage::RebootRequested;
    Progress.StageSince = this->Deps.Clock.now();
    Progress.SeenDown = false;
    Progress.Upstream = Upstream;
    this->Deps.JobScheduler.setTakedownPending(Upstream, true);
  }
  const VmCommandOutcome Outcome = co_await this->Deps.Vms.startMaintenance(
      Id, Wave.Wave.Number, this->issuer(), CommandTimeout);
  if (this->Stopped)
    co_return;
  logEvent(LogLevel::Info, "wave.take_down",
           {{"wave", std::to_string(Wave.Wave.Number)},
            {"vm", Id.str()},
            {"outcome", std::to_string(static_cast<int>(Outcome))}});
  switch (Outcome) {
  case VmCommandOutcome::Accepted:
    // An earlier command may have been executed instead. Whether this one took
    // the VM down, and so ended its runs, is seen in the next lists.
    Progress.Confirmed = true;
    co_return;
  case VmCommandOutcome::Busy:
  case VmCommandOutcome::NotExecuted:
    if (!Repeated) { // Certainly not executed: the VM is selected again later.
      Progress.Stage = WaveStage::Preparing;
      this->Deps.JobScheduler.setTakedownPending(Upstream, false);
    }
    co_return;
  case VmCommandOutcome::Rejected:
    this->Deps.JobScheduler.setTakedownPending(Upstream, false);
    Progress.Stage = WaveStage::Done; // The VM does not belong to this wave.
    this->Deps.JobScheduler.cordon(Upstream, false);
    co_return;
  case VmCommandOutcome::Unknown:
    co_return;
  }
}

RowKey VmCoordinator::doneVmsKey(const WaveProgress &Wave) const {
  // Same partition as the epoch row, which is a precondition in storeDoneVms().
  return {"waves", epochKey().Partition, std::to_string(Wave.Wave.Number)};
}

Async<bool> VmCoordinator::loadDoneVms(WaveProgress &Wave) {
  const RowKey Key = this->doneVmsKey(Wave);
  RowRange Range{Key.Table, Key.Partition, Key.Key, Key.Key + "!"};
  const auto Page =
      co_await this->Deps.Store.read(std::move(Range), ProgressTimeout);
  if (!Page)
    co_return false;
  for (const Row &StoredRow : Page->Rows) {
    Wave.DoneRowVersion = StoredRow.Version;
    std::istringstream Names(StoredRow.Value);
    for (std::string Name; std::getline(Names, Name);)
      if (const auto Found = Wave.Vms.find(VmId(Name));
          Found != Wave.Vms.end()) {
        Found->second.Stage = WaveStage::Done;
        ++Wave.StoredDone;
      }
  }
  Wave.Loaded = true;
  co_return true;
}

Async<bool> VmCoordinator::storeDoneVms(WaveProgress &Wave) {
  std::string Names;
  std::size_t Count = 0;
  for (const auto &[Id, Progress] : Wave.Vms)
    if (Progress.Stage == WaveStage::Done) {
      Names += Id.str() + "\n";
      ++Count;
    }
  if (Count == Wave.StoredDone)
    co_return true;
  Transaction Change;
  Change.Preconditions.push_back({epochKey(), this->Deps.Ownership.token()});
  // An earlier write without an answer may be carried out late, and must not
  // replace this one.
  Change.Preconditions.push_back({this->doneVmsKey(Wave), Wave.DoneRowVersion});
  Change.Writes.push_back({this->doneVmsKey(Wave), std::move(Names)});
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), ProgressTimeout);
  if (!Outcome)
    co_return false;
  if (Outcome->Applied) {
    Wave.StoredDone = Count;
    Wave.DoneRowVersion = Outcome->Version;
    co_return true;
  }
  for (const Row &Current : Outcome->Conflicts) {
    if (Current.Id == epochKey() &&
        Current.Version != this->Deps.Ownership.token())
      this->Deps.Ownership.markSuperseded();
    if (Current.Id == this->doneVmsKey(Wave))
      Wave.DoneRowVersion = Current.Version;
  }
  co_return false; // Retried in the next round.
}

Async<void> VmCoordinator::publishState(WaveProgress &Wave, bool Completed) {
  const std::int64_t Number = Wave.Wave.Number;
  const auto Published = co_await this->Deps.Source.publishWave(
      Number, Completed, AnnounceTimeout);
  if (!Published)
    co_return; // Retried in the next round.
  Wave.Announced = true;
  Wave.Completed = Completed;
  logEvent(LogLevel::Info, "wave.announced",
           {{"wave", std::to_string(Number)},
            {"state", Completed ? "completed" : "running"}});
}

} // namespace sardinerill::site
