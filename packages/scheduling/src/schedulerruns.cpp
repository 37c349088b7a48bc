#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <array>

namespace sardinerill::site {

namespace {

/// Weight of the latest run in the learned factor of a queue.
constexpr double LearningRate = 0.05;
/// Bounds of a measured ratio that is learned; estimates are off by about half.
constexpr double MinFactor = 0.5;
constexpr double MaxFactor = 2.5;
/// Time per consecutive failure for which an upstream is the last choice.
constexpr milliseconds AvoidancePerFailure{1000};
constexpr int MaxFailuresCounted = 8;
/// Start-up progress at which a long-running task is ready.
constexpr int ReadyPercent = 100;
/// Delay before a failed task is started again.
constexpr milliseconds RetryDelay{20};

std::string_view nameOf(RunEnd Kind) {
  constexpr std::array<std::string_view, 6> Names{"done",   "failed", "stopped",
                                                  "lapsed", "broken", "alone"};
  return Names[static_cast<std::size_t>(Kind)];
}

/// Counts a failed task, or a start that was not accepted.
void recordFailure(UpstreamRecord &Upstream, Instant Now) {
  Upstream.ConsecutiveFailures =
      std::min(Upstream.ConsecutiveFailures + 1, MaxFailuresCounted);
  Upstream.AvoidUntil =
      Now + AvoidancePerFailure * Upstream.ConsecutiveFailures;
}

} // namespace

RunPtr Scheduler::Impl::addRun(UpstreamRecord &Upstream, const RunId &Id,
                               const StepSpec &Step,
                               const OrganisationId &Organisation,
                               RunPhase Phase, Instant Now) {
  auto Added = std::make_shared<Run>();
  Added->Id = Id;
  Added->Upstream = Upstream.Report.Id;
  Added->Phase = Phase;
  Added->Reserved = reservedResources(Step);
  Added->Organisation = Organisation;
  Added->Pool = Upstream.Report.Pool;
  Added->LongRunning = Step.LongRunning;
  Added->StartedAt = Added->PhaseChangedAt = Added->ProgressAt = Now;
  Upstream.Used += Added->Reserved;
  Upstream.Runs[Id] = Added;
  this->InUse[Organisation] += Step.Requested;
  if (!Step.LongRunning)
    this->ShortTaskUse[Added->Pool][Organisation] += Added->Reserved;
  if (TaskRecord *Task = this->task(Id.Task)) {
    Task->Runs.push_back(Added);
    Task->LastRunNumber = std::max(Task->LastRunNumber, Id.Number);
    JobRecord &Job = *this->job(Id.Task.Job);
    Job.Started = true;
    StepRecord &Record =
        Job.Occurrences.at(Id.Task.Occurrence).Steps[std::size_t(Id.Task.Step)];
    ++Record.RunsPerUpstream[Upstream.Report.Id];
  }
  return Added;
}

void Scheduler::Impl::removeRun(const RunPtr &Removed) {
  if (const auto Found = this->Upstreams.find(Removed->Upstream);
      Found != this->Upstreams.end() &&
      Found->second->Runs.erase(Removed->Id)) {
    Found->second->Used -= Removed->Reserved;
    if (!Removed->LongRunning)
      this->ShortTaskUse[Removed->Pool][Removed->Organisation] -=
          Removed->Reserved;
  }
  if (const auto Found = this->Upstreams.find(Removed->Upstream);
      Found != this->Upstreams.end() && Found->second->OnProbation == Removed)
    Found->second->OnProbation = nullptr;
  if (const StepSpec *Step = this->spec(Removed->Id.Task))
    this->InUse[Removed->Organisation] -= Step->Requested;
  TaskRecord *Task = this->task(Removed->Id.Task);
  if (!Task || !std::erase(Task->Runs, Removed))
    return;
  StepRecord &Record = this->job(Removed->Id.Task.Job)
                           ->Occurrences.at(Removed->Id.Task.Occurrence)
                           .Steps[std::size_t(Removed->Id.Task.Step)];
  if (--Record.RunsPerUpstream[Removed->Upstream] <= 0)
    Record.RunsPerUpstream.erase(Removed->Upstream);
}

void Scheduler::Impl::requestStop(const RunPtr &Stopped) {
  if (std::exchange(Stopped->StopRequested, true))
    return;
  this->Commands.push_back(StopCommand{Stopped->Upstream, Stopped->Id});
}

void Scheduler::Impl::finishTask(JobRecord &Job, const TaskId &Id,
                                 Instant Now) {
  OccurrenceRecord &Occurrence = Job.Occurrences.at(Id.Occurrence);
  StepRecord &Step = Occurrence.Steps[std::size_t(Id.Step)];
  TaskRecord &Task = Step.Tasks[std::size_t(Id.Index)];
  if (Task.Done)
    return;
  Task.Done = true;
  ++Step.DoneCount;
  --Occurrence.UnfinishedTasks;
  for (const RunPtr &OtherRun : Task.Runs)
    this->requestStop(OtherRun);
  this->markChanged(Job);
  const bool AllOccurrencesCreated =
      Job.NextOccurrence >= Job.Spec.Schedule.Count;
  const bool AllDone =
      std::ranges::all_of(Job.Occurrences, [](const auto &Entry) {
        return Entry.second.UnfinishedTasks == 0;
      });
  if (AllOccurrencesCreated && AllDone)
    this->endJob(Job, JobState::Completed, "all tasks are done", Now);
}

void Scheduler::Impl::failTask(JobRecord &Job, const TaskId &Id, int Number,
                               Instant Now) {
  TaskRecord &Task = *this->task(Id);
  if (std::ranges::find(Task.FailedRuns, Number) != Task.FailedRuns.end())
    return; // Already counted, possibly by a previous holder.
  Task.FailedRuns.push_back(Number);
  Task.LastRunNumber = std::max(Task.LastRunNumber, Number);
  Task.NotBefore = Now + RetryDelay;
  this->markChanged(Job);
  if (this->spec(Id)->LongRunning)
    return;
  const QueueSettings &Queue = this->queueSettingsOf(Job);
  if (int(Task.FailedRuns.size()) >= Queue.MaxAttempts && !Task.Done)
    this->endJob(Job, JobState::Failed,
                 "task " + describe(Id) + " failed " +
                     std::to_string(Task.FailedRuns.size()) + " times",
                 Now);
}

void Scheduler::Impl::applyEndedRun(UpstreamRecord &Upstream,
                                    const EndedRun &End, Instant Now) {
  this->createListedOccurrence(End.Run.Task);
  JobRecord *Job = this->job(End.Run.Task.Job);
  TaskRecord *Task = this->task(End.Run.Task);
  const auto Found = Upstream.Runs.find(End.Run);
  const RunPtr Ended = Found == Upstream.Runs.end() ? nullptr : Found->second;
  if (Ended)
    this->removeRun(Ended);
  logEvent(LogLevel::Debug, "run.ended",
           {{"run", describe(End.Run)},
            {"upstream", Upstream.Report.Id.str()},
            {"how", std::string(nameOf(End.Kind))}});
  if (!Job || !Task || Job->ended())
    return;
  const StepSpec &Step = *this->spec(End.Run.Task);
  Task->LastRunNumber = std::max(Task->LastRunNumber, End.Run.Number);
  if (!End.Checkpoint.empty() && !Task->Done)
    Task->Checkpoint = End.Checkpoint;
  // Its upstream has outlived it.
  if (End.Kind == RunEnd::Done || End.Kind == RunEnd::Failed)
    Task->Crashes = {};
  switch (End.Kind) {
  case RunEnd::Done:
    Upstream.ConsecutiveFailures = 0;
    if (Ended)
      this->measureEndedRun(Upstream, *Job, Step, *Ended, Now);
    if (Ended && !Step.LongRunning && this->Options.Policy.LearnRunTimes)
      this->learnRunTime(*Job, Step, *Ended, Upstream.Health.Slowdown, Now);
    if (Ended && !Step.LongRunning && Step.Estimate.count() > 0) {
      const double Ratio = double((Now - Ended->PhaseChangedAt).count()) /
                           double(Step.Estimate.count());
      double &Factor = this->RunTimeFactors[Job->Spec.Queue.Id].Factor;
      Factor +=
          LearningRate * (std::clamp(Ratio, MinFactor, MaxFactor) - Factor);
    }
    if (Step.LongRunning) {
      Task->Checkpoint.clear(); // Restarted from the beginning.
      break;
    }
    if (Step.Gang) { // The first member that is done finishes the gang.
      const std::size_t Members = Job->Occurrences.at(End.Run.Task.Occurrence)
                                      .Steps[std::size_t(End.Run.Task.Step)]
                                      .Tasks.size();
      for (std::size_t Index = 0; Index < Members && !Job->ended(); ++Index)
        this->finishTask(*Job,
                         {End.Run.Task.Job, End.Run.Task.Occurrence,
                          End.Run.Task.Step, int(Index)},
                         Now);
    } else {
      this->finishTask(*Job, End.Run.Task, Now);
    }
    break;
  case RunEnd::Failed:
    recordFailure(Upstream, Now);
    this->measureFailure(Upstream, Now);
    this->failTask(*Job, End.Run.Task, End.Run.Number, Now);
    break;
  case RunEnd::Stopped:
    if (Ended && Step.LongRunning)
      Task->InterruptedAt = Now;
    break;
  case RunEnd::LeaseExpired:
  case RunEnd::GangBroken:
  case RunEnd::GangIncomplete:
    break; // Restarted; does not count as a failed attempt.
  }
}

void Scheduler::Impl::applyActiveRun(UpstreamRecord &Upstream,
                                     const ActiveRun &Listed, Instant Now) {
  RunPtr Known;
  if (const auto Found = Upstream.Runs.find(Listed.Run);
      Found != Upstream.Runs.end()) {
    Known = Found->second;
    if (std::exchange(Known->StopOnlyBars, false)) {
      Known->StopRequested = false;
      logEvent(LogLevel::Info, "run.stop_withdrawn",
               {{"run", describe(Listed.Run)},
                {"upstream", Upstream.Report.Id.str()}});
    }
    if (Known->Phase != RunPhase::Active) {
      // The listing may arrive before the answer to the start.
      Known->StartKnown = Known->Phase == RunPhase::Starting &&
                          Known->PhaseChangedAt == Known->StartedAt;
      Known->Phase = RunPhase::Active;
      Known->PhaseChangedAt = Known->ProgressAt = Now;
    }
  } else {
    this->createListedOccurrence(Listed.Run.Task);
    JobRecord *Job = this->job(Listed.Run.Task.Job);
    const TaskRecord *Task = this->task(Listed.Run.Task);
    const StepSpec *Step = this->spec(Listed.Run.Task);
    // A run of an ended job is stopped, and counts until it has ended. A run of
    // an unknown job is left alone while the job may not be known here yet.
    const bool Ended = Job && Job->ended();
    if (!Step || (!Task && !Ended)) {
      if (Ended || Now >= this->Options.UnknownJobsUntil)
        this->stopUncountedRun(Upstream, Listed.Run);
      return;
    }
    const bool Redundant =
        Ended || Task->Done || (!Step->Speculative && !Task->Runs.empty());
    Known = this->addRun(Upstream, Listed.Run, *Step, Job->Spec.Organisation,
                         RunPhase::Active, Now);
    logEvent(LogLevel::Info, "run.adopted",
             {{"run", describe(Listed.Run)},
              {"upstream", Upstream.Report.Id.str()},
              {"percent", std::to_string(Listed.ProgressPercent)}});
    Known->Settled = true; // Its start time is not known.
    if (Redundant)
      this->requestStop(Known);
  }
  Known->Listed = true;
  Known->ConfirmedAt = Now;
  this->settle(Upstream, Known, Now);
  if (Listed.ProgressPercent != Known->Percent)
    Known->ProgressAt = Now;
  Known->Percent = Listed.ProgressPercent;
  if (Listed.ProgressPercent < ReadyPercent)
    Known->ReadySince.reset();
  else if (!Known->ReadySince)
    Known->ReadySince = Now;
  Known->Load = Listed.Load;
  this->measureActiveRun(Upstream, *Known, Now);
  if (!Listed.Checkpoint.empty())
    if (TaskRecord *Task = this->task(Listed.Run.Task))
      Task->Checkpoint = Listed.Checkpoint;
}

void Scheduler::Impl::removeUnlistedRuns(UpstreamRecord &Upstream,
                                         const std::set<RunId> &Listed,
                                         Instant SentAt, Instant Now) {
  std::vector<RunPtr> Removed;
  for (const auto &[Id, Candidate] : Upstream.Runs) {
    const bool MayStartLate = Candidate->Phase == RunPhase::Uncertain &&
                              !Listed.contains(Id) &&
                              Candidate->PhaseChangedAt < SentAt;
    if (MayStartLate) {
      Candidate->StopOnlyBars =
          Candidate->StopOnlyBars ||
          (Candidate->LongRunning && !Candidate->StopRequested);
      this->requestStop(Candidate);
    }
    const bool Confirmed = Candidate->Phase == RunPhase::Active ||
                           Candidate->Phase == RunPhase::Fenced;
    if (Confirmed && !Listed.contains(Id) && Candidate->PhaseChangedAt < SentAt)
      Removed.push_back(Candidate);
  }
  for (const RunPtr &Missing : Removed) {
    if (Missing->Phase == RunPhase::Active)
      logEvent(LogLevel::Warning, "run.vanished",
               {{"run", describe(Missing->Id)},
                {"upstream", Upstream.Report.Id.str()}});
    this->removeRun(Missing);
    if (TaskRecord *Task = this->task(Missing->Id.Task))
      Task->NotBefore = Now;
  }
}

void Scheduler::Impl::applyEndedRuns(UpstreamRecord &Upstream,
                                     const std::vector<EndedRun> &Ends,
                                     Instant Now) {
  bool HoldsBack = false;
  for (const EndedRun &End : Ends) {
    if (End.Sequence <= Upstream.LastEndSequence)
      continue;
    if (!Upstream.EndsAppliedAhead.contains(End.Sequence)) {
      // An ended run of an unknown job can't be recorded yet, and must not be
      // acknowledged: its upstream keeps it.
      if (!this->job(End.Run.Task.Job) &&
          Now < this->Options.UnknownJobsUntil) {
        HoldsBack = true;
        continue;
      }
      this->applyEndedRun(Upstream, End, Now);
      if (const JobRecord *Job = this->job(End.Run.Task.Job))
        if (!Job->stored())
          Upstream.UnstoredEndedRuns[End.Sequence] = {End.Run.Task.Job,
                                                      Job->Revision};
    }
    if (HoldsBack) {
      Upstream.EndsAppliedAhead.insert(End.Sequence);
    } else {
      Upstream.LastEndSequence = End.Sequence;
      Upstream.EndsAppliedAhead.erase(End.Sequence);
    }
  }
}

void Scheduler::applyEndedRuns(const UpstreamId &Id,
                               const std::vector<EndedRun> &Ends, Instant Now) {
  if (const auto Found = this->Inner->Upstreams.find(Id);
      Found != this->Inner->Upstreams.end() && !Found->second->ProcessEndedAt)
    this->Inner->applyEndedRuns(*Found->second, Ends, Now);
}

void Scheduler::applyListing(const UpstreamId &Id, const RunListing &Listing,
                             Instant SentAt, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return;
  UpstreamRecord &Upstream = *Found->second;
  if (Upstream.ProcessEndedAt.value_or(SentAt) > SentAt)
    return; // An answer of the process that has ended.
  Upstream.ProcessEndedAt.reset();
  Upstream.Answered = true;
  Upstream.AnsweredAt = Now;
  Upstream.Unresponsive = false;
  Upstream.ContactLostAt.reset();
  Upstream.ConnectionBroke = false;
  this->Inner->ZoneAnsweredAt[Upstream.Report.Zone] = Now;
  std::erase_if(Upstream.UnstoredEndedRuns, [&](const auto &Entry) {
    const JobRecord *Job = this->Inner->job(Entry.second.Job);
    return !Job || Job->StoredRevision >= Entry.second.Revision;
  });
  this->Inner->applyEndedRuns(Upstream, Listing.Ended, Now);
  // A run that is listed as ended has not vanished, even if its end can't be
  // recorded yet.
  std::set<RunId> Listed;
  for (const EndedRun &End : Listing.Ended)
    Listed.insert(End.Run);
  for (const ActiveRun &Active : Listing.Active) {
    Listed.insert(Active.Run);
    this->Inner->applyActiveRun(Upstream, Active, Now);
  }
  this->Inner->rememberUncountedRuns(Upstream, Listing);
  if (Listing.isComplete()) {
    this->Inner->removeUnlistedRuns(Upstream, Listed, SentAt, Now);
    Upstream.RunsKnown = true;
  } else if (!Upstream.RunsKnown) {
    logEvent(LogLevel::Info, "upstream.listing_incomplete",
             {{"upstream", Id.str()},
              {"pool", Upstream.Report.Pool.str()},
              {"ends", std::to_string(Listing.Ended.size())},
              {"applied_through", std::to_string(Upstream.LastEndSequence)}});
  }
  this->Inner->paceBestEffortRuns(Upstream, Now);
}

void Scheduler::handleStartOutcome(const UpstreamId &Id, const RunId &Run,
                                   StartOutcome Outcome, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return;
  UpstreamRecord &Upstream = *Found->second;
  const auto Known = Upstream.Runs.find(Run);
  if (Known == Upstream.Runs.end())
    return;
  const RunPtr Started = Known->second;
  if (Outcome == StartOutcome::Accepted) {
    this->Inner->ZoneAnsweredAt[Upstream.Report.Zone] = Now;
    Started->ConfirmedAt = Started->AcceptedAt = Now;
    if (Started->Phase == RunPhase::Starting) {
      Started->Phase = RunPhase::Active;
      Started->StartKnown = true;
      Started->PhaseChangedAt = Started->ProgressAt = Now;
    }
    return;
  }
  recordFailure(Upstream, Now);
  if (Outcome == StartOutcome::Unknown) {
    if (Started->Phase != RunPhase::Starting)
      return;
    Started->Phase = RunPhase::Uncertain;
    Started->PhaseChangedAt = Now;
    Upstream.Unresponsive = true;
    this->Inner->measureFailure(Upstream, Now);
    // The answer may only be slow. A long-running task that has begun would be
    // interrupted, so that the next listing decides.
    if (!Started->LongRunning)
      this->Inner->requestStop(Started);
    return;
  }
  if (Outcome == StartOutcome::TicketInvalid)
    if (JobRecord *Job = this->Inner->job(Run.Task.Job))
      if (const auto Occurrence = Job->Occurrences.find(Run.Task.Occurrence);
          Occurrence != Job->Occurrences.end())
        Occurrence->second.Steps[std::size_t(Run.Task.Step)].Tickets.erase(Id);
  this->Inner->removeRun(Started);
}

bool Scheduler::wantsStop(const UpstreamId &Id, const RunId &Run) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return true;
  const auto Known = Found->second->Runs.find(Run);
  return Known == Found->second->Runs.end() || Known->second->StopRequested;
}

bool Scheduler::stopOnlyBars(const UpstreamId &Id, const RunId &Run) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return false;
  const auto Known = Found->second->Runs.find(Run);
  return Known != Found->second->Runs.end() && Known->second->StopOnlyBars;
}

void Scheduler::handleStopOutcome(const UpstreamId &Id, const RunId &Run,
                                  StopOutcome Outcome, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end() ||
      Outcome != StopOutcome::Acknowledged)
    return;
  const auto Known = Found->second->Runs.find(Run);
  if (Known == Found->second->Runs.end())
    return;
  Known->second->Phase = RunPhase::Fenced;
  Known->second->PhaseChangedAt = Now;
}

} // namespace sardinerill::site
