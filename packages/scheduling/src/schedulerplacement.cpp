#include "jobgraph.h"
#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Run numbers of inherited jobs begin at Term * RunNumbersPerTerm + 1. Two
/// holders never use the same one, provided that no holder starts a task more
/// often than this.
constexpr int RunNumbersPerTerm = 64;
/// Fraction of the allowed time by which a started job may exceed its objective
/// before it counts as late: estimates are off by half, and the work done so
/// far is wasted if the job is not finished.
constexpr double LatenessTolerance = 0.4;
/// The last tasks of a step are those of which no more than this part of the
/// step is left to be started, and at least one.
constexpr std::size_t LastTasksDivisor = 4;
/// A job that ends later than this many times its allowed time after its
/// acceptance is of no value to its caller.
constexpr int ValueLimit = 3;

/// \returns whether only the last tasks of \p Step are left to be started.
bool isNearEnd(const StepRecord &Step) {
  const auto Left = std::ranges::count_if(Step.Tasks, [](const auto &Task) {
    return !Task.Done && Task.Runs.empty();
  });
  return std::size_t(Left) <=
         std::max<std::size_t>(1, Step.Tasks.size() / LastTasksDivisor);
}

} // namespace

bool Scheduler::Impl::hasWaitingTask(const StepRecord &Step,
                                     Instant Now) const {
  return std::ranges::any_of(Step.Tasks, [&](const TaskRecord &Task) {
    return !Task.Done && Task.Runs.empty() && Task.NotBefore <= Now;
  });
}

WaitingWork Scheduler::Impl::waitingWorkOf(const JobRecord &Job,
                                           const QueueSettings &Queue,
                                           const OccurrenceRecord &Occurrence,
                                           Instant Now) const {
  Duration CriticalPath{};
  RemainingWork Remaining;
  if (this->Options.Policy.LearnRunTimes) {
    const JobForecast &Forecast = this->forecastOf(Job, Now);
    CriticalPath = Forecast.CriticalPath;
    Remaining = Job.Started ? remainingWork(Job.Spec, Occurrence,
                                            Forecast.Steps, this->RunTimes, Now)
                            : RemainingWork{CriticalPath, Forecast.CpuSeconds};
  } else {
    const auto Learned = this->RunTimeFactors.find(Job.Spec.Queue.Id);
    const double Factor =
        Learned == this->RunTimeFactors.end() ? 1.0 : Learned->second.Factor;
    CriticalPath = Duration(
        std::int64_t(Factor * double(Job.EstimatedCriticalPath.count())));
    Remaining = {remainingCriticalPath(Job.Spec, Occurrence, Factor),
                 remainingCpuSeconds(Job.Spec, Occurrence, Factor)};
  }
  const Duration AllowedTime =
      Duration(std::int64_t(Queue.CriticalPathFactor *
                            double(CriticalPath.count()))) +
      Queue.LatencyTarget;
  const Instant Objective = Job.AcceptedAt + AllowedTime;
  const Duration Tolerance =
      Job.Started ? Duration(std::int64_t(LatenessTolerance *
                                          double(AllowedTime.count())))
                  : Duration{};
  return {
      .Priority = Queue.Priority,
      .CanMeetObjective = Now + Remaining.CriticalPath <= Objective + Tolerance,
      .HasValue = Job.Spec.Schedule.Count > 0 || hasLongRunningStep(Job.Spec) ||
                  Now + Remaining.CriticalPath <=
                      Job.AcceptedAt + ValueLimit * AllowedTime + Tolerance,
      .OverShare = Job.OverShare,
      .RemainingCpuSeconds = Remaining.CpuSeconds,
      .Objective = Objective,
      .AcceptedAt = Job.AcceptedAt};
}

std::vector<WaitingStep> Scheduler::Impl::waitingSteps(Instant Now,
                                                       std::int64_t UnixMs) {
  std::vector<WaitingStep> Waiting;
  Waiting.reserve(this->LiveJobs.size());
  for (const auto &[Id, Live] : this->LiveJobs) {
    JobRecord &Job = *Live;
    const QueueSettings &Queue = this->queueSettingsOf(Job);
    if (this->isBlockedByInheritedRuns(Job, Queue.Pool) ||
        Job.awaitsRecordOf(Queue.Pool))
      continue;
    for (auto &[Number, Occurrence] : Job.Occurrences) {
      if (Occurrence.UnfinishedTasks == 0 || Occurrence.DueMs > UnixMs)
        continue;
      for (std::size_t StepIndex = 0; StepIndex < Occurrence.Steps.size();
           ++StepIndex) {
        if (!this->hasWaitingTask(Occurrence.Steps[StepIndex], Now) ||
            !isReady(Job.Spec, Occurrence, int(StepIndex)))
          continue;
        Waiting.push_back({&Job, &Queue, Number, int(StepIndex),
                           this->waitingWorkOf(Job, Queue, Occurrence, Now)});
      }
    }
  }
  return Waiting;
}

bool Scheduler::Impl::fitsCeiling(const OrganisationId &Organisation,
                                  const Resources &Requested) const {
  const OrganisationSettings *Settings =
      this->Configuration.organisation(Organisation);
  if (!Settings)
    return true; // A public queue, or an organisation that was removed: no
                 // ceiling is configured.
  const auto Found = this->InUse.find(Organisation);
  const Resources Total =
      Requested + (Found == this->InUse.end() ? Resources{} : Found->second);
  const auto Within = [](std::int64_t Used, std::int64_t Limit) {
    return Limit <= 0 || Used <= Limit;
  };
  return Within(Total.CpuMilli, Settings->Ceiling.CpuMilli) &&
         Within(Total.MemoryMb, Settings->Ceiling.MemoryMb) &&
         Within(Total.Accelerators, Settings->Ceiling.Accelerators);
}

bool Scheduler::Impl::mayFitInPool(const PoolId &Pool,
                                   const Resources &Requested) {
  auto Entry = this->MaxFree.find(Pool);
  if (Entry == this->MaxFree.end()) {
    Resources Max;
    for (const UpstreamRecord *Each : this->ByPool[Pool]) {
      if (!Each->acceptsTasks())
        continue;
      const Resources Free = Each->freeCapacity();
      Max.CpuMilli = std::max(Max.CpuMilli, Free.CpuMilli);
      Max.MemoryMb = std::max(Max.MemoryMb, Free.MemoryMb);
      Max.Accelerators = std::max(Max.Accelerators, Free.Accelerators);
    }
    Entry = this->MaxFree.emplace(Pool, Max).first;
  }
  return Requested.fitsIn(Entry->second);
}

UpstreamRecord *
Scheduler::Impl::chooseUpstream(const PlacementRequest &Request) {
  const auto Found = this->ByPool.find(Request.Pool);
  if (Found == this->ByPool.end())
    return nullptr;
  UpstreamRecord *Best = nullptr;
  double BestScore = 0;
  for (UpstreamRecord *Candidate : Found->second) {
    if (!canRun(*Candidate, Request))
      continue;
    const double Score = placementScore(*Candidate, Request);
    if (!Best || Score > BestScore) {
      Best = Candidate;
      BestScore = Score;
    }
  }
  return Best;
}

int Scheduler::Impl::nextRunNumber(const JobRecord &Job,
                                   const TaskRecord &Task) const {
  const int First =
      Job.Inherited ? this->Options.Term * RunNumbersPerTerm + 1 : 1;
  return std::max(Task.LastRunNumber + 1, First);
}

void Scheduler::Impl::start(UpstreamRecord &Upstream,
                            const WaitingStep &Waiting, int Index, int Number,
                            Instant Now) {
  const RunId Id = Waiting.runOf(Index, Number);
  const StepSpec &Spec = Waiting.spec();
  StepRecord &Record = Waiting.record();
  std::string Ticket;
  if (const auto Found = Record.Tickets.find(Upstream.Report.Id);
      Found != Record.Tickets.end())
    Ticket = Found->second.first;
  std::string Checkpoint = Record.Tasks[std::size_t(Index)].Checkpoint;
  // All members start from the latest checkpoint of any member; names of
  // checkpoints sort by age.
  if (Spec.Gang)
    for (const TaskRecord &Member : Record.Tasks)
      if (Member.Checkpoint > Checkpoint)
        Checkpoint = Member.Checkpoint;
  const RunPtr Started =
      this->addRun(Upstream, Id, Spec, Waiting.Job->Spec.Organisation,
                   RunPhase::Starting, Now);
  Started->Resumed = !Checkpoint.empty();
  if (this->Options.Policy.LearnRunTimes && !Spec.LongRunning)
    Started->Forecast = this->RunTimes
                            .forecast(this->forecastOf(*Waiting.Job, Now)
                                          .Steps[std::size_t(Waiting.Step)]
                                          .Key,
                                      Spec.Estimate)
                            .Median;
  StartCommand Start{Upstream.Report.Id, Id, Waiting.Job->Spec.Payload,
                     Checkpoint, Ticket};
  const CrashRecord &Crashes = Record.Tasks[std::size_t(Index)].Crashes;
  if (isSuspect(Crashes)) {
    Upstream.OnProbation = Started;
    Start.ConfirmAfter = probationTime(Crashes);
  }
  this->Commands.push_back(std::move(Start));
}

bool Scheduler::Impl::placeTask(const WaitingStep &Waiting, int Index,
                                Instant Now) {
  const StepSpec &Spec = Waiting.spec();
  StepRecord &Record = Waiting.record();
  TaskRecord &Task = Record.Tasks[std::size_t(Index)];
  if (!this->fitsCeiling(Waiting.Job->Spec.Organisation,
                         Spec.Requested + this->possibleInheritedUse(
                                              Waiting.Job->Spec.Organisation)))
    return false;
  if (!this->mayFitInPool(Waiting.Queue->Pool, reservedResources(Spec)))
    return false;
  const StepSpread Spread =
      this->comparesSpeed() ? this->spreadOf(Record) : StepSpread{};
  UpstreamRecord *Upstream = this->chooseUpstream(
      {.Step = &Spec,
       .Record = &Record,
       .Pool = Waiting.Queue->Pool,
       .Task = &Task,
       .NeedsTicket = Waiting.Queue->NeedsAdvice,
       .Now = Now,
       .EndsStep = this->comparesSpeed() && isNearEnd(Record),
       .Spread = this->comparesSpeed() ? &Spread : nullptr});
  if (!Upstream) {
    this->MaxFree.erase(Waiting.Queue->Pool);
    return false;
  }
  if (!this->recordPool(*Waiting.Job, Waiting.Queue->Pool))
    return false;
  this->start(*Upstream, Waiting, Index,
              this->nextRunNumber(*Waiting.Job, Task), Now);
  return true;
}

bool Scheduler::Impl::placeTasks(const WaitingStep &Waiting, Instant Now) {
  if (Waiting.Queue->NeedsAdvice && !this->ensureTickets(Waiting, Now))
    return true; // Tried again once the advisor has answered.
  if (Waiting.spec().Gang)
    return this->placeGang(Waiting, Now);
  StepRecord &Record = Waiting.record();
  for (std::size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
    const TaskRecord &Task = Record.Tasks[Index];
    if (Task.Done || !Task.Runs.empty() || Task.NotBefore > Now ||
        isSuspect(Task.Crashes))
      continue;
    if (!this->placeTask(Waiting, int(Index), Now))
      return false;
  }
  return true;
}

void Scheduler::Impl::placeSuspects(const WaitingStep &Waiting, Instant Now) {
  if (Waiting.spec().Gang)
    return; // Placed as a whole, see placeGang().
  StepRecord &Record = Waiting.record();
  for (std::size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
    const TaskRecord &Task = Record.Tasks[Index];
    if (!isSuspect(Task.Crashes) || Task.Done || !Task.Runs.empty() ||
        Task.NotBefore > Now)
      continue;
    if (this->hasRunOnProbation(*Waiting.Job) ||
        (Waiting.Queue->NeedsAdvice && !this->ensureTickets(Waiting, Now)))
      return;
    this->placeTask(Waiting, int(Index), Now);
  }
}

bool Scheduler::Impl::placeGang(const WaitingStep &Waiting, Instant Now) {
  StepRecord &Record = Waiting.record();
  const StepSpec &Spec = Waiting.spec();
  int Number = 0;
  for (const TaskRecord &Task : Record.Tasks) {
    // All runs of an earlier start must have ended.
    if (!Task.Runs.empty() || Task.NotBefore > Now)
      return true;
    Number = std::max(Number, this->nextRunNumber(*Waiting.Job, Task));
  }
  const Resources Total = Spec.Requested * std::int64_t(Record.Tasks.size());
  if (!this->fitsCeiling(
          Waiting.Job->Spec.Organisation,
          Total + this->possibleInheritedUse(Waiting.Job->Spec.Organisation)))
    return false;
  // With SameRack, tries each rack on its own first, then the whole pool.
  std::vector<std::string> Racks{""};
  if (Spec.SameRack)
    for (const UpstreamRecord *Each : this->ByPool[Waiting.Queue->Pool])
      if (std::ranges::find(Racks, Each->rack()) == Racks.end())
        Racks.insert(Racks.begin(), std::string(Each->rack()));
  for (const std::string &Rack : Racks) {
    std::vector<std::pair<UpstreamRecord *, int>> Chosen;
    for (std::size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
      UpstreamRecord *Upstream =
          this->chooseUpstream({.Step = &Spec,
                                .Record = &Record,
                                .Pool = Waiting.Queue->Pool,
                                .PreferredRack = Rack,
                                .Task = &Record.Tasks[Index],
                                .NeedsTicket = Waiting.Queue->NeedsAdvice,
                                .Now = Now});
      if (!Upstream || (!Rack.empty() && Upstream->rack() != Rack))
        break;
      // Reserved while the other members are placed; released below.
      Upstream->Used += reservedResources(Spec);
      ++Record.RunsPerUpstream[Upstream->Report.Id];
      Chosen.emplace_back(Upstream, int(Index));
    }
    for (const auto &[Upstream, Index] : Chosen) {
      Upstream->Used -= reservedResources(Spec);
      if (--Record.RunsPerUpstream[Upstream->Report.Id] <= 0)
        Record.RunsPerUpstream.erase(Upstream->Report.Id);
    }
    if (Chosen.size() < Record.Tasks.size())
      continue;
    if (!this->recordPool(*Waiting.Job, Waiting.Queue->Pool))
      return false;
    for (const auto &[Upstream, Index] : Chosen)
      this->start(*Upstream, Waiting, Index, Number, Now);
    return true;
  }
  return false;
}

} // namespace sardinerill::site
