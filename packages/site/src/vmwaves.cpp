#include "vmkeeper.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <sstream>

/// \file
/// Execution of maintenance waves: cordons and drains VMs, takes them down and
/// records the progress.

namespace sardinerill::site {

namespace {

constexpr milliseconds ProgressLimit{1500};
constexpr milliseconds OrderLimit{1500};
constexpr milliseconds AnnounceLimit{900};
/// A VM that was taken down is listed as down within this time.
constexpr milliseconds SeenAwayLimit{1200};
/// A VM that takes longer to drain is logged with the task that blocks it.
constexpr seconds LongPreparation{4};
constexpr seconds StayingLogInterval{2};
constexpr int MostStayingLogged = 4;

} // namespace

void VmKeeper::refresh(WaveProgress &Wave) {
  const Instant Now = this->Parts.Clock.now();
  for (auto &[Id, Progress] : Wave.Vms) {
    const VmRecord *Vm = this->record(Id);
    if (!Vm) {
      Progress.Stage = WaveStage::Done; // The VM was removed from the site.
      continue;
    }
    if (Progress.Stage == WaveStage::Waiting &&
        Vm->State == VmState::Maintenance) {
      // Taken down by a previous holder.
      Progress.Stage = WaveStage::Ordered;
      Progress.Since = Now;
    }
    if (Progress.Stage != WaveStage::Ordered)
      continue;
    const bool OtherLife = !Progress.Upstream.empty() &&
                           !Vm->Upstream.empty() &&
                           Vm->Upstream != Progress.Upstream;
    if (!Progress.SeenAway && (Vm->State != VmState::Up || OtherLife)) {
      Progress.SeenAway = true;
      this->Parts.Plan.retireUpstream(Progress.Upstream, "its VM went down",
                                      Now);
      this->Parts.Decide.notify();
    }
    const bool Overdue = Now - Progress.Since > SeenAwayLimit;
    if (!Progress.Answered || Vm->State != VmState::Up ||
        (!Progress.SeenAway && !Overdue))
      continue;
    Progress.Stage = WaveStage::Done;
    // The maintenance was done earlier, so the runs there now have not ended.
    this->Parts.Plan.cordon(Vm->Upstream, false);
    this->Parts.Plan.expectEnd(Vm->Upstream, false);
  }
}

std::map<PoolId, WavePool> VmKeeper::poolsNow() const {
  const Instant Now = this->Parts.Clock.now();
  std::map<PoolId, WavePool> Pools;
  for (const VmRecord &Vm : this->Vms) {
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
  for (const auto &[Id, Demand] : this->Parts.Plan.demand(Now)) {
    Pools[Id].DemandCpuMilli = Demand.expected();
    Pools[Id].SpreadVms = Demand.SpreadVms;
  }
  return Pools;
}

WaveView VmKeeper::viewOf(const WaveProgress &Wave) const {
  const Instant Now = this->Parts.Clock.now();
  WaveView View{.Pools = this->poolsNow(),
                .MaxAtOnce = Wave.Wave.MaxAtOnce,
                .Deadline = Wave.FirstSeen + Wave.Wave.Period};
  for (const auto &[Id, Progress] : Wave.Vms) {
    const VmRecord *Vm = this->record(Id);
    if (!Vm)
      continue;
    View.CpuMilliOfVm = std::max(View.CpuMilliOfVm, Vm->Capacity.CpuMilli);
    const UpstreamLoad Load = this->Parts.Plan.loadOf(Vm->Upstream, Now);
    View.Vms.push_back(
        {.Id = Id,
         .Pool = Vm->Pool,
         .Stage = Progress.Stage,
         .Up = Vm->State == VmState::Up && !this->Moves.contains(Id),
         .Standby = this->isStandby(Vm->Pool),
         .Runs = Load.Heard || this->isStandby(Vm->Pool) ? Load.Runs : 1,
         .MayInterrupt = this->isStandby(Vm->Pool) ||
                         this->Parts.Plan.mayInterrupt(Vm->Upstream, Now),
         .UsedCpuMilli = Load.Used.CpuMilli,
         .PreparingSince = Progress.Since});
  }
  return View;
}

Async<void> VmKeeper::advance(WaveProgress &Wave) {
  if (!Wave.Announced)
    co_await this->announce(Wave, false);
  const Instant Now = this->Parts.Clock.now();
  const WaveSteps Steps = planWave(this->viewOf(Wave), Now);
  for (const VmId &Id : Steps.Prepare) {
    Wave.Vms[Id].Stage = WaveStage::Preparing;
    Wave.Vms[Id].Since = Now;
    if (const VmRecord *Vm = this->record(Id))
      this->Parts.Plan.cordon(Vm->Upstream, true);
    logEvent(LogLevel::Info, "wave.prepare",
             {{"wave", std::to_string(Wave.Wave.Number)}, {"vm", Id.str()}});
  }
  for (const auto &[Id, Progress] : Wave.Vms)
    if (Progress.Stage == WaveStage::Preparing)
      if (const VmRecord *Vm = this->record(Id))
        this->Parts.Plan.evacuate(Vm->Upstream, Now);
  this->Parts.Decide.notify();
  this->logStaying(Wave, Now);
  for (const VmId &Id : Steps.TakeDown) {
    co_await this->takeDown(Wave, Id);
    if (this->Stopped)
      co_return;
  }
  // A command without an answer is sent again; it is executed only once.
  std::vector<VmId> Unanswered;
  for (const auto &[Id, Progress] : Wave.Vms)
    if (Progress.Stage == WaveStage::Ordered && !Progress.Answered)
      Unanswered.push_back(Id);
  for (const VmId &Id : Unanswered) {
    co_await this->takeDown(Wave, Id);
    if (this->Stopped)
      co_return;
  }
  const bool AllDone = std::ranges::all_of(Wave.Vms, [](const auto &Entry) {
    return Entry.second.Stage == WaveStage::Done;
  });
  if (AllDone)
    co_await this->announce(Wave, true);
}

void VmKeeper::logStaying(WaveProgress &Wave, Instant Now) {
  if (Now < Wave.NextStayingLog)
    return;
  Wave.NextStayingLog = Now + StayingLogInterval;
  int Logged = 0;
  for (const auto &[Id, Progress] : Wave.Vms) {
    const VmRecord *Vm = this->record(Id);
    if (!Vm || Progress.Stage != WaveStage::Preparing ||
        Now - Progress.Since < LongPreparation || Logged >= MostStayingLogged)
      continue;
    const StayingTask Staying = this->Parts.Plan.stayingTask(Vm->Upstream, Now);
    if (!Staying.Stays)
      continue;
    ++Logged;
    logEvent(LogLevel::Info, "wave.waits",
             {{"wave", std::to_string(Wave.Wave.Number)},
              {"vm", Id.str()},
              {"task", describe(Staying.Task)},
              {"others_away", std::to_string(Staying.OthersAway)},
              {"allowed", std::to_string(Staying.Allowed)},
              {"other_place", Staying.HasOtherPlace ? "yes" : "no"}});
  }
}

Async<void> VmKeeper::takeDown(WaveProgress &Wave, VmId Id) {
  const VmRecord *Vm = this->record(Id);
  if (!Vm || !this->Parts.Ownership.mayOrder(this->Parts.Clock.now()))
    co_return;
  const UpstreamId Upstream = Vm->Upstream;
  VmProgress &Progress = Wave.Vms[Id];
  const bool Repeated = Progress.Stage == WaveStage::Ordered;
  if (!Repeated) {
    const bool MayEnd =
        this->isStandby(Vm->Pool) ||
        this->Parts.Plan.mayInterrupt(Upstream, this->Parts.Clock.now());
    if (!MayEnd)
      co_return;
    Progress.Stage = WaveStage::Ordered;
    Progress.Since = this->Parts.Clock.now();
    Progress.SeenAway = false;
    Progress.Upstream = Upstream;
    this->Parts.Plan.expectEnd(Upstream, true);
  }
  VmOrderSource Source{this->Parts.Settings.Name,
                       this->Parts.Ownership.token()};
  const VmOrderOutcome Outcome = co_await this->Parts.Vms.maintain(
      Id, Wave.Wave.Number, std::move(Source), OrderLimit);
  if (this->Stopped)
    co_return;
  logEvent(LogLevel::Info, "wave.take_down",
           {{"wave", std::to_string(Wave.Wave.Number)},
            {"vm", Id.str()},
            {"outcome", std::to_string(static_cast<int>(Outcome))}});
  switch (Outcome) {
  case VmOrderOutcome::Accepted:
    // The runs there have ended only if this command took the VM down, which
    // the next list shows.
    Progress.Answered = true;
    co_return;
  case VmOrderOutcome::Busy:
  case VmOrderOutcome::NotDone:
    if (!Repeated) { // Certainly not executed: the VM is selected again later.
      Progress.Stage = WaveStage::Preparing;
      this->Parts.Plan.expectEnd(Upstream, false);
    }
    co_return;
  case VmOrderOutcome::Rejected:
    this->Parts.Plan.expectEnd(Upstream, false);
    Progress.Stage = WaveStage::Done; // The VM does not belong to this wave.
    this->Parts.Plan.cordon(Upstream, false);
    co_return;
  case VmOrderOutcome::Unknown:
    co_return;
  }
}

RowKey VmKeeper::doneKey(const WaveProgress &Wave) const {
  return {"waves", epochKey().Partition, std::to_string(Wave.Wave.Number)};
}

Async<bool> VmKeeper::loadDone(WaveProgress &Wave) {
  const RowKey Key = this->doneKey(Wave);
  RowRange Range{Key.Table, Key.Partition, Key.Key, Key.Key + "!"};
  const auto Page =
      co_await this->Parts.Store.read(std::move(Range), ProgressLimit);
  if (!Page)
    co_return false;
  for (const Row &Read : Page->Rows) {
    std::istringstream Names(Read.Value);
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

Async<void> VmKeeper::storeDone(WaveProgress &Wave) {
  std::string Names;
  std::size_t Count = 0;
  for (const auto &[Id, Progress] : Wave.Vms)
    if (Progress.Stage == WaveStage::Done) {
      Names += Id.str() + "\n";
      ++Count;
    }
  if (Count == Wave.StoredDone)
    co_return;
  Transaction Change;
  Change.Expectations.push_back({epochKey(), this->Parts.Ownership.token()});
  Change.Writes.push_back({this->doneKey(Wave), std::move(Names)});
  const auto Outcome =
      co_await this->Parts.Store.transact(std::move(Change), ProgressLimit);
  if (Outcome && Outcome->Applied)
    Wave.StoredDone = Count;
  else if (Outcome)
    this->Parts.Ownership.superseded();
}

Async<void> VmKeeper::announce(WaveProgress &Wave, bool Completed) {
  const std::int64_t Number = Wave.Wave.Number;
  const auto Published =
      co_await this->Parts.Source.publishWave(Number, Completed, AnnounceLimit);
  if (!Published)
    co_return; // Retried in the next round.
  Wave.Announced = true;
  Wave.Completed = Completed;
  logEvent(LogLevel::Info, "wave.announced",
           {{"wave", std::to_string(Number)},
            {"state", Completed ? "completed" : "running"}});
}

} // namespace sardinerill::site
