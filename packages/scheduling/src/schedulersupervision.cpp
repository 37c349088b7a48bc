#include "jobgraph.h"
#include "pacing.h"
#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// A run without progress for this long is restarted elsewhere, unless it is
/// long-running or part of a gang; well above the polling interval of an
/// upstream (1 s).
constexpr milliseconds StuckTimeout{2500};
/// Minimum time before the pace of a run is raised again.
constexpr milliseconds PaceInterval{900};
/// Time for which an upstream with stuck runs is avoided.
constexpr seconds StuckAvoidance{5};
/// Maximum age of a listing that is used to judge the availability of tasks;
/// above the usual time between two listings (1 s).
constexpr milliseconds MaxListingAge{1800};
/// A task is available when it has been listed at 100 percent for this long.
/// The percentage is rounded, so that it may reach 100 early, by up to half a
/// percent of a start of 2 s (10 ms).
constexpr milliseconds MinReadyTime{100};
/// Time between two attempts to evacuate VMs due for maintenance.
constexpr milliseconds RelocationInterval{100};
/// A zone that has not answered for this long while others have is considered
/// partitioned: of ten upstreams, each polled once a second, one answers about
/// every 0.1 s.
constexpr milliseconds ZoneTimeout{350};
/// Zones with fewer upstreams that have ever answered are never considered
/// partitioned.
constexpr int MinZoneUpstreams = 8;
/// Time for which an evacuation counts as pending; the caller repeats
/// evacuate() each time that it polls the VMs (about every 0.2 s).
constexpr milliseconds EvacuationTimeout{1000};

/// A task that uses no CPU this long after it became ready is stuck; the load
/// is measured over the last half second.
constexpr milliseconds LoadDelay{700};

/// \returns whether the load of \p Candidate shows that it makes progress. On
/// an upstream that hangs, a task is still listed at 100 percent, but uses no
/// CPU.
bool isBusy(const Run &Candidate, const StepSpec &Step, Instant Now) {
  if (Step.TailLatencyTarget.count() > 0)
    return true; // Its load is its tail latency.
  return Candidate.Load > 0 ||
         Now - Candidate.ReadySince.value_or(Now) < LoadDelay;
}

} // namespace

bool Scheduler::Impl::hasRecentAnswer(const UpstreamRecord &Upstream,
                                      Instant Now) const {
  return Upstream.Answered && Now - Upstream.AnsweredAt < MaxListingAge;
}

bool Scheduler::Impl::isAvailable(const RunPtr &Candidate, Instant Now) const {
  const auto Upstream = this->Upstreams.find(Candidate->Upstream);
  const auto Job = this->Jobs.find(Candidate->Id.Task.Job);
  if (Job == this->Jobs.end() ||
      !isBusy(*Candidate,
              Job->second->Spec.Steps[std::size_t(Candidate->Id.Task.Step)],
              Now))
    return false;
  return Candidate->Phase == RunPhase::Active && !Candidate->StopRequested &&
         Now - Candidate->ReadySince.value_or(Now) >= MinReadyTime &&
         Upstream != this->Upstreams.end() &&
         !Upstream->second->TakedownPending &&
         Upstream->second->AnsweredAt >= this->Options.StopsPendingUntil &&
         this->hasRecentAnswer(*Upstream->second, Now);
}

int Scheduler::Impl::countUnavailableOthers(const JobRecord &Job,
                                            const TaskId &Task,
                                            Instant Now) const {
  const auto Found = Job.Occurrences.find(Task.Occurrence);
  if (Found == Job.Occurrences.end())
    return 0;
  const StepRecord &Record = Found->second.Steps[std::size_t(Task.Step)];
  int Unavailable = 0;
  for (std::size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
    const bool Available =
        std::ranges::any_of(Record.Tasks[Index].Runs, [&](const RunPtr &Each) {
          return this->isAvailable(Each, Now);
        });
    Unavailable += int(Index) != Task.Index && !Available;
  }
  return Unavailable;
}

bool Scheduler::Impl::canInterrupt(const RunPtr &Candidate, Instant Now,
                                   int OthersEnding) const {
  const auto Found = this->Jobs.find(Candidate->Id.Task.Job);
  if (Found == this->Jobs.end() || Found->second->ended())
    return true;
  const JobRecord &Job = *Found->second;
  const StepSpec &Step = Job.Spec.Steps[std::size_t(Candidate->Id.Task.Step)];
  if (!Step.LongRunning || Step.MaxUnavailable < 0)
    return true;
  // The listing may be a second old, and the candidate may have become
  // available since: it always counts as available.
  return this->countUnavailableOthers(Job, Candidate->Id.Task, Now) +
             OthersEnding <
         Step.MaxUnavailable;
}

bool Scheduler::Impl::fitsElsewhere(const RunPtr &Candidate, bool AllowDue,
                                    Instant Now) {
  const TaskId &Id = Candidate->Id.Task;
  const JobRecord *Job = this->job(Id.Job);
  const TaskRecord *Task = this->task(Id);
  if (!Job || !Task)
    return true; // The run is not needed any more.
  const QueueSettings &Queue = this->queueSettingsOf(*Job);
  const UpstreamRecord *Upstream = this->chooseUpstream(
      {.Step = this->spec(Id),
       .Record =
           &Job->Occurrences.at(Id.Occurrence).Steps[std::size_t(Id.Step)],
       .Pool = Queue.Pool,
       .Task = Task,
       .NeedsTicket = Queue.NeedsAdvice,
       .Now = Now});
  return Upstream && (AllowDue || !Upstream->MaintenanceDue);
}

void Scheduler::Impl::updateUnresponsiveZones() {
  Instant Latest{};
  for (const auto &[Zone, LastAnswer] : this->ZoneAnsweredAt)
    Latest = std::max(Latest, LastAnswer);
  std::map<ZoneId, int> AnsweredPerZone;
  for (const auto &[Id, Upstream] : this->Upstreams)
    AnsweredPerZone[Upstream->Report.Zone] += Upstream->Answered;
  for (auto &[Id, Upstream] : this->Upstreams) {
    const ZoneId &Zone = Upstream->Report.Zone;
    const auto LastAnswer = this->ZoneAnsweredAt.find(Zone);
    // Compared with the latest answer of any zone, so that no zone counts as
    // partitioned when this daemon itself is slow.
    Upstream->ZoneUnresponsive = AnsweredPerZone[Zone] >= MinZoneUpstreams &&
                                 LastAnswer != this->ZoneAnsweredAt.end() &&
                                 Latest - LastAnswer->second > ZoneTimeout;
  }
}

void Scheduler::Impl::replaceStuckRuns(Instant Now) {
  for (auto &[Id, Upstream] : this->Upstreams) {
    // Without a recent answer, within half the time-out, the progress of its
    // runs is unknown.
    if (!Upstream->Answered || Now - Upstream->AnsweredAt > StuckTimeout / 2)
      continue;
    std::vector<RunPtr> Stuck;
    for (const auto &[Run, Candidate] : Upstream->Runs) {
      if (Candidate->Phase != RunPhase::Active || Candidate->StopRequested ||
          Now - Candidate->ProgressAt <= StuckTimeout)
        continue;
      const StepSpec *Step = this->spec(Run.Task);
      if (Step && !Step->LongRunning && !Step->Gang)
        Stuck.push_back(Candidate);
    }
    for (const RunPtr &StuckRun : Stuck) {
      logEvent(LogLevel::Warning, "run.stuck",
               {{"run", describe(StuckRun->Id)},
                {"upstream", Id.str()},
                {"percent", std::to_string(StuckRun->Percent)}});
      this->measureFailure(*Upstream, Now);
      Upstream->AvoidUntil = Now + StuckAvoidance;
      this->requestStop(StuckRun);
    }
  }
}

void Scheduler::Impl::paceBestEffortRuns(UpstreamRecord &Upstream,
                                         Instant Now) {
  double MaxTailLatencyRatio = 0;
  std::vector<RunPtr> BestEffortRuns;
  for (const auto &[Id, Candidate] : Upstream.Runs) {
    const StepSpec *Step = this->spec(Id.Task);
    if (!Step || Candidate->Phase != RunPhase::Active)
      continue;
    if (Step->BestEffort)
      BestEffortRuns.push_back(Candidate);
    else if (Step->TailLatencyTarget.count() > 0) {
      const double TailLatencyUs = double(Candidate->Load) * 1000;
      MaxTailLatencyRatio =
          std::max(MaxTailLatencyRatio,
                   TailLatencyUs / double(Step->TailLatencyTarget.count()));
    }
  }
  for (const RunPtr &BestEffortRun : BestEffortRuns) {
    const int Next = nextPace(BestEffortRun->Pace, MaxTailLatencyRatio);
    if (Next == BestEffortRun->Pace)
      continue;
    if (Next > BestEffortRun->Pace &&
        Now - BestEffortRun->PacedAt < PaceInterval)
      continue;
    BestEffortRun->Pace = Next;
    BestEffortRun->PacedAt = Now;
    this->Commands.push_back(
        PaceCommand{Upstream.Report.Id, BestEffortRun->Id, Next});
  }
}

void Scheduler::setMaintenanceDue(const std::set<UpstreamId> &Due) {
  this->Inner->MaintenanceDue = Due;
  for (auto &[Id, Upstream] : this->Inner->Upstreams)
    Upstream->MaintenanceDue = Due.contains(Id);
}

void Scheduler::setEvacuatedZones(const std::set<ZoneId> &Zones) {
  if (Zones == this->Inner->EvacuatedZones)
    return;
  this->Inner->EvacuatedZones = Zones;
  for (auto &[Id, Upstream] : this->Inner->Upstreams)
    Upstream->ZoneEvacuated = Zones.contains(Upstream->Report.Zone);
}

std::map<ZoneId, ZoneLoad> Scheduler::evacuatedZoneLoads() const {
  std::map<ZoneId, ZoneLoad> Loads;
  for (const ZoneId &Zone : this->Inner->EvacuatedZones)
    Loads[Zone];
  for (const auto &[Id, Upstream] : this->Inner->Upstreams) {
    const auto Found = Loads.find(Upstream->Report.Zone);
    if (Found == Loads.end())
      continue;
    ZoneLoad &Load = Found->second;
    ++Load.Upstreams;
    Load.Runs += int(Upstream->Runs.size() + Upstream->UncountedRuns.size());
    for (const auto &[Run, Each] : Upstream->Runs)
      Load.LongRunningTasks += Each->LongRunning;
    Load.MayHaveMore |=
        !Upstream->Answered && !this->Inner->InheritedRunsExpired;
  }
  return Loads;
}

bool Scheduler::needsEarlyPoll(const UpstreamId &Id, Instant Now) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end() ||
      Now >= this->Inner->EvacuatingUntil)
    return false;
  return std::ranges::any_of(Found->second->Runs, [&](const auto &Entry) {
    const StepSpec *Step = this->Inner->spec(Entry.first.Task);
    return Step && Step->LongRunning && Step->MaxUnavailable >= 0 &&
           Now - Entry.second->ReadySince.value_or(Now) < MinReadyTime;
  });
}

int Scheduler::Impl::evacuate(UpstreamRecord &Upstream, bool AllowDue,
                              Instant Now) {
  int Remaining = 0;
  for (const auto &[RunKey, Candidate] : Upstream.Runs) {
    const StepSpec *Step = this->spec(RunKey.Task);
    if (!Step || !Step->LongRunning)
      continue;
    ++Remaining;
    this->EvacuatingUntil = Now + EvacuationTimeout;
    if (!Candidate->StopRequested && Candidate->Phase == RunPhase::Active &&
        this->canInterrupt(Candidate, Now, 0) &&
        this->fitsElsewhere(Candidate, AllowDue, Now)) {
      // Marked at once, so that it counts as unavailable for the next task.
      this->requestStop(Candidate);
    }
  }
  return Remaining;
}

void Scheduler::Impl::relocateLongRunning(Instant Now) {
  if ((this->MaintenanceDue.empty() && this->EvacuatedZones.empty()) ||
      Now < this->NextRelocation)
    return;
  this->NextRelocation = Now + RelocationInterval;
  if (!this->EvacuatedZones.empty())
    for (const auto &[Id, Upstream] : this->Upstreams)
      if (Upstream->ZoneEvacuated)
        this->evacuate(*Upstream, true, Now);
  for (const UpstreamId &Id : this->MaintenanceDue)
    if (const auto Found = this->Upstreams.find(Id);
        Found != this->Upstreams.end())
      this->evacuate(*Found->second, Found->second->Cordoned, Now);
}

int Scheduler::evacuate(const UpstreamId &Id, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  return Found == this->Inner->Upstreams.end()
             ? 0
             : this->Inner->evacuate(*Found->second, true, Now);
}

void Scheduler::setTakedownPending(const UpstreamId &Id, bool Pending) {
  if (const auto Found = this->Inner->Upstreams.find(Id);
      Found != this->Inner->Upstreams.end())
    Found->second->TakedownPending = Pending;
}

BlockingTask Scheduler::blockingTask(const UpstreamId &Id, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return {};
  for (const auto &[RunKey, Candidate] : Found->second->Runs) {
    const StepSpec *Step = this->Inner->spec(RunKey.Task);
    if (!Step || !Step->LongRunning || Candidate->StopRequested)
      continue;
    const JobRecord &Job = *this->Inner->job(RunKey.Task.Job);
    return {.Found = true,
            .Task = RunKey.Task,
            .OthersUnavailable =
                this->Inner->countUnavailableOthers(Job, RunKey.Task, Now),
            .MaxUnavailable = Step->MaxUnavailable,
            .FitsElsewhere = this->Inner->fitsElsewhere(Candidate, true, Now)};
  }
  return {};
}

bool Scheduler::canInterrupt(const UpstreamId &Id, Instant Now) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    // An upstream that is not known yet may run inherited tasks until then.
    return Now >= this->Inner->Options.InheritedRunsUntil;
  if (!this->Inner->hasRecentAnswer(*Found->second, Now))
    return false; // Its runs are not known.
  std::map<std::tuple<JobId, int, int>, int> EndingPerStep;
  for (const auto &[RunKey, Candidate] : Found->second->Runs) {
    int &OthersEnding = EndingPerStep[{RunKey.Task.Job, RunKey.Task.Occurrence,
                                       RunKey.Task.Step}];
    if (!this->Inner->canInterrupt(Candidate, Now, OthersEnding))
      return false;
    ++OthersEnding;
  }
  return true;
}

} // namespace sardinerill::site
