#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <array>

namespace sardinerill::site {

namespace {

/// Weight of the latest run in the learned factor of a queue.
constexpr double LearningRate = 0.05;
/// Bounds of the learned factor; estimates are off by about half.
constexpr double LeastFactor = 0.5;
constexpr double MostFactor = 2.5;
/// An upstream is the last choice for this time per consecutive failure.
constexpr milliseconds AvoidancePerFailure{1000};
constexpr int MostFailuresCounted = 8;
constexpr int WholeAtWork = 100; ///< Percent.
/// Delay before a failed task is started again.
constexpr milliseconds RetryPause{20};

std::string_view nameOf(RunEnd How) {
  constexpr std::array<std::string_view, 6> Names{"done",   "failed", "stopped",
                                                  "lapsed", "broken", "alone"};
  return Names[static_cast<std::size_t>(How)];
}

void blame(UpstreamRecord &Upstream, Instant Now) {
  Upstream.FailuresInRow =
      std::min(Upstream.FailuresInRow + 1, MostFailuresCounted);
  Upstream.AvoidUntil = Now + AvoidancePerFailure * Upstream.FailuresInRow;
}

} // namespace

RunPtr Scheduler::State::addRun(UpstreamRecord &Where, const RunId &Id,
                                const StepSpec &Step,
                                const OrganisationId &Organisation,
                                RunPhase Phase, Instant Now) {
  auto Added = std::make_shared<Run>();
  Added->Id = Id;
  Added->Where = Where.Report.Id;
  Added->Phase = Phase;
  Added->Charged = chargedTo(Step);
  Added->Organisation = Organisation;
  Added->OrderedAt = Added->ConfirmedAt = Added->ProgressAt = Now;
  Where.Used += Added->Charged;
  Where.Runs[Id] = Added;
  this->InUse[Organisation] += Step.Need;
  if (TaskRecord *Task = this->task(Id.Task)) {
    Task->Runs.push_back(Added);
    Task->LastNumber = std::max(Task->LastNumber, Id.Number);
    JobRecord &Job = *this->job(Id.Task.Job);
    Job.Started = true;
    StepRecord &Record =
        Job.Occurrences.at(Id.Task.Occurrence).Steps[std::size_t(Id.Task.Step)];
    ++Record.PerUpstream[Where.Report.Id];
  }
  return Added;
}

void Scheduler::State::removeRun(const RunPtr &Gone) {
  if (const auto Found = this->Upstreams.find(Gone->Where);
      Found != this->Upstreams.end() && Found->second->Runs.erase(Gone->Id))
    Found->second->Used -= Gone->Charged;
  if (const StepSpec *Step = this->spec(Gone->Id.Task))
    this->InUse[Gone->Organisation] -= Step->Need;
  TaskRecord *Task = this->task(Gone->Id.Task);
  if (!Task || !std::erase(Task->Runs, Gone))
    return;
  StepRecord &Record = this->job(Gone->Id.Task.Job)
                           ->Occurrences.at(Gone->Id.Task.Occurrence)
                           .Steps[std::size_t(Gone->Id.Task.Step)];
  if (--Record.PerUpstream[Gone->Where] <= 0)
    Record.PerUpstream.erase(Gone->Where);
}

void Scheduler::State::wantStop(const RunPtr &Unwanted) {
  if (std::exchange(Unwanted->StopWanted, true))
    return;
  this->Orders.push_back(StopOrder{Unwanted->Where, Unwanted->Id});
}

void Scheduler::State::finishTask(JobRecord &Job, const TaskId &Id,
                                  Instant Now) {
  OccurrenceRecord &Occurrence = Job.Occurrences.at(Id.Occurrence);
  StepRecord &Step = Occurrence.Steps[std::size_t(Id.Step)];
  TaskRecord &Task = Step.Tasks[std::size_t(Id.Index)];
  if (Task.Done)
    return;
  Task.Done = true;
  ++Step.DoneCount;
  --Occurrence.OpenTasks;
  for (const RunPtr &Copy : Task.Runs)
    this->wantStop(Copy);
  this->changed(Job);
  const bool AllLaidOut = Job.NextOccurrence >= Job.Spec.Schedule.Count;
  const bool AllDone =
      std::ranges::all_of(Job.Occurrences, [](const auto &Entry) {
        return Entry.second.OpenTasks == 0;
      });
  if (AllLaidOut && AllDone)
    this->endJob(Job, JobState::Completed, "all tasks are done", Now);
}

void Scheduler::State::failTask(JobRecord &Job, const TaskId &Id, int Number,
                                Instant Now) {
  TaskRecord &Task = *this->task(Id);
  if (std::ranges::find(Task.FailedRuns, Number) != Task.FailedRuns.end())
    return; // Already counted, possibly by a previous owner.
  Task.FailedRuns.push_back(Number);
  Task.LastNumber = std::max(Task.LastNumber, Number);
  Task.NotBefore = Now + RetryPause;
  this->changed(Job);
  if (this->spec(Id)->LongRunning)
    return;
  const QueueSettings &Queue = this->settingsOf(Job);
  if (int(Task.FailedRuns.size()) >= Queue.MaxAttempts && !Task.Done)
    this->endJob(Job, JobState::Failed,
                 "task " + describe(Id) + " failed " +
                     std::to_string(Task.FailedRuns.size()) + " times",
                 Now);
}

void Scheduler::State::takeEnd(UpstreamRecord &From, const EndedRun &End,
                               Instant Now) {
  JobRecord *Job = this->job(End.Run.Task.Job);
  TaskRecord *Task = this->task(End.Run.Task);
  const auto Known = From.Runs.find(End.Run);
  const RunPtr Ended = Known == From.Runs.end() ? nullptr : Known->second;
  if (Ended)
    this->removeRun(Ended);
  logEvent(LogLevel::Debug, "run.ended",
           {{"run", describe(End.Run)},
            {"upstream", From.Report.Id.str()},
            {"how", std::string(nameOf(End.How))}});
  if (!Job || !Task || Job->ended())
    return;
  const StepSpec &Step = *this->spec(End.Run.Task);
  Task->LastNumber = std::max(Task->LastNumber, End.Run.Number);
  if (!End.Checkpoint.empty() && !Task->Done)
    Task->Checkpoint = End.Checkpoint;
  switch (End.How) {
  case RunEnd::Done:
    From.FailuresInRow = 0;
    if (Ended && !Step.LongRunning && Step.Estimate.count() > 0) {
      const double Ratio = double((Now - Ended->ConfirmedAt).count()) /
                           double(Step.Estimate.count());
      double &Factor = this->Learned[Job->Spec.Queue.Id].Factor;
      Factor +=
          LearningRate * (std::clamp(Ratio, LeastFactor, MostFactor) - Factor);
    }
    if (Step.LongRunning) {
      Task->Checkpoint.clear();
      break;
    }
    if (Step.Gang) {
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
    blame(From, Now);
    this->failTask(*Job, End.Run.Task, End.Run.Number, Now);
    break;
  case RunEnd::Stopped:
    if (Ended && Step.LongRunning)
      Task->InterruptedAt = Now;
    break;
  case RunEnd::Lapsed:
  case RunEnd::Broken:
  case RunEnd::Alone:
    break;
  }
}

void Scheduler::State::takeActive(UpstreamRecord &From, const ActiveRun &Seen,
                                  Instant Now) {
  RunPtr Known;
  if (const auto Found = From.Runs.find(Seen.Run); Found != From.Runs.end()) {
    Known = Found->second;
    if (Known->Phase != RunPhase::Active) {
      Known->Phase = RunPhase::Active;
      Known->ConfirmedAt = Known->ProgressAt = Now;
    }
  } else {
    JobRecord *Job = this->job(Seen.Run.Task.Job);
    const TaskRecord *Task = this->task(Seen.Run.Task);
    if (!Job || !Task || Job->ended()) {
      // Not needed: its job has ended, or is not known here yet.
      if (Job && Job->ended())
        this->Orders.push_back(StopOrder{From.Report.Id, Seen.Run});
      return;
    }
    const StepSpec &Step = *this->spec(Seen.Run.Task);
    const bool Unwanted =
        Task->Done || (!Step.Speculative && !Task->Runs.empty());
    Known = this->addRun(From, Seen.Run, Step, Job->Spec.Organisation,
                         RunPhase::Active, Now);
    logEvent(LogLevel::Info, "run.adopted",
             {{"run", describe(Seen.Run)},
              {"upstream", From.Report.Id.str()},
              {"percent", std::to_string(Seen.Percent)}});
    if (Unwanted)
      this->wantStop(Known);
  }
  if (Seen.Percent != Known->Percent)
    Known->ProgressAt = Now;
  Known->Percent = Seen.Percent;
  if (Seen.Percent < WholeAtWork)
    Known->AtWorkSince.reset();
  else if (!Known->AtWorkSince)
    Known->AtWorkSince = Now;
  Known->Load = Seen.Load;
  if (!Seen.Checkpoint.empty())
    if (TaskRecord *Task = this->task(Seen.Run.Task))
      Task->Checkpoint = Seen.Checkpoint;
}

void Scheduler::State::dropUnlisted(UpstreamRecord &From,
                                    const std::set<RunId> &Seen, Instant SentAt,
                                    Instant Now) {
  std::vector<RunPtr> Gone;
  for (const auto &[Id, Candidate] : From.Runs) {
    const bool Settled = Candidate->Phase == RunPhase::Active ||
                         Candidate->Phase == RunPhase::Barred;
    if (Settled && !Seen.contains(Id) && Candidate->ConfirmedAt < SentAt)
      Gone.push_back(Candidate);
  }
  for (const RunPtr &Missing : Gone) {
    if (Missing->Phase == RunPhase::Active)
      logEvent(
          LogLevel::Warning, "run.vanished",
          {{"run", describe(Missing->Id)}, {"upstream", From.Report.Id.str()}});
    this->removeRun(Missing);
    if (TaskRecord *Task = this->task(Missing->Id.Task))
      Task->NotBefore = Now;
  }
}

void Scheduler::State::takeEnds(UpstreamRecord &From,
                                const std::vector<EndedRun> &Ends,
                                Instant Now) {
  for (const EndedRun &End : Ends) {
    if (End.Sequence <= From.EndsSeen)
      continue;
    // An ended run of an unknown job can't be recorded yet, and must not be
    // acknowledged: its upstream keeps it.
    if (!this->job(End.Run.Task.Job) && Now < this->Options.UnknownJobsUntil)
      break;
    From.EndsSeen = End.Sequence;
    this->takeEnd(From, End, Now);
    if (const JobRecord *Job = this->job(End.Run.Task.Job))
      if (!Job->stored())
        From.Unstored[End.Sequence] = {End.Run.Task.Job, Job->Revision};
  }
}

void Scheduler::listEnds(const UpstreamId &Id,
                         const std::vector<EndedRun> &Ends, Instant Now) {
  if (const auto Found = this->Inner->Upstreams.find(Id);
      Found != this->Inner->Upstreams.end())
    this->Inner->takeEnds(*Found->second, Ends, Now);
}

void Scheduler::listRuns(const UpstreamId &Id, const RunListing &Listing,
                         Instant SentAt, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return;
  UpstreamRecord &From = *Found->second;
  From.Answered = true;
  From.AnsweredAt = Now;
  From.Suspect = false;
  this->Inner->ZoneHeardAt[From.Report.Zone] = Now;
  std::erase_if(From.Unstored, [&](const auto &Entry) {
    const JobRecord *Job = this->Inner->job(Entry.second.Job);
    return !Job || Job->StoredRevision >= Entry.second.Revision;
  });
  this->Inner->takeEnds(From, Listing.Ended, Now);
  // A run whose end can't be recorded yet has not vanished.
  std::set<RunId> Seen;
  for (const EndedRun &End : Listing.Ended)
    Seen.insert(End.Run);
  for (const ActiveRun &Active : Listing.Active) {
    Seen.insert(Active.Run);
    this->Inner->takeActive(From, Active, Now);
  }
  this->Inner->dropUnlisted(From, Seen, SentAt, Now);
  this->Inner->paceFillers(From, Now);
}

void Scheduler::startAnswered(const UpstreamId &Id, const RunId &Run,
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
    this->Inner->ZoneHeardAt[Upstream.Report.Zone] = Now;
    if (Started->Phase == RunPhase::Ordered) {
      Started->Phase = RunPhase::Active;
      Started->ConfirmedAt = Started->ProgressAt = Now;
    }
    return;
  }
  blame(Upstream, Now);
  if (Outcome == StartOutcome::Unknown) {
    if (Started->Phase != RunPhase::Ordered)
      return;
    Started->Phase = RunPhase::Uncertain;
    Upstream.Suspect = true;
    this->Inner->wantStop(Started);
    return;
  }
  if (Outcome == StartOutcome::TicketInvalid)
    if (JobRecord *Job = this->Inner->job(Run.Task.Job))
      if (const auto Occurrence = Job->Occurrences.find(Run.Task.Occurrence);
          Occurrence != Job->Occurrences.end())
        Occurrence->second.Steps[std::size_t(Run.Task.Step)].Tickets.erase(Id);
  this->Inner->removeRun(Started);
}

void Scheduler::stopAnswered(const UpstreamId &Id, const RunId &Run,
                             StopOutcome Outcome, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end() || Outcome != StopOutcome::Taken)
    return;
  const auto Known = Found->second->Runs.find(Run);
  if (Known == Found->second->Runs.end())
    return;
  Known->second->Phase = RunPhase::Barred;
  Known->second->ConfirmedAt = Now;
}

} // namespace sardinerill::site
