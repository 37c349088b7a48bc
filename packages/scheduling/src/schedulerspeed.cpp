#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Measurement of the upstreams' speed, and copies of slow runs.
///
/// Everything here is without effect unless
/// SchedulingPolicy::CompareUpstreamSpeed is set.

namespace sardinerill::site {

namespace {

/// \returns the key of the measurements of \p Upstream: its id if the registry
/// does not name its VM.
VmId measuredVm(const UpstreamRecord &Upstream) {
  return Upstream.Report.Vm.empty() ? VmId(Upstream.Report.Id.str())
                                    : Upstream.Report.Vm;
}

/// A copy is started if the run is expected to go on for more than this
/// multiple of the forecast: forecasts are off by half, and a copy that ends
/// later is discarded work.
constexpr double MinRemainingForCopy = 1.2;
/// A run without progress for this long gets a copy; above the interval of
/// listings (1 s) and below the time after which it is stopped (2.5 s).
constexpr milliseconds StallTimeout{1500};

} // namespace

Duration Scheduler::Impl::expectedDuration(const JobRecord &Job,
                                           const StepSpec &Step,
                                           const Run &Candidate) const {
  if (Candidate.Forecast > Duration::zero())
    return Candidate.Forecast;
  const auto Learned = this->RunTimeFactors.find(Job.Spec.Queue.Id);
  const double Factor =
      Learned == this->RunTimeFactors.end() ? 1.0 : Learned->second.Factor;
  return Duration(std::int64_t(Factor * double(Step.Estimate.count())));
}

bool Scheduler::Impl::isMeasurable(const UpstreamRecord &Upstream,
                                   const Run &Candidate,
                                   const StepSpec &Step) const {
  // Best-effort tasks are throttled. Gangs and tasks with a data rack are slow
  // if their rack is another one.
  return this->comparesSpeed() && Candidate.StartKnown && !Candidate.Resumed &&
         !Step.LongRunning && !Step.BestEffort && !Step.Gang &&
         (Step.DataRack.empty() || Step.DataRack == Upstream.rack());
}

void Scheduler::Impl::measureEndedRun(const UpstreamRecord &Upstream,
                                      const JobRecord &Job,
                                      const StepSpec &Step, Run &Ended,
                                      Instant Now) {
  if (!this->comparesSpeed())
    return;
  this->Speeds.recordSuccess(measuredVm(Upstream), Now);
  if (!this->isMeasurable(Upstream, Ended, Step) ||
      std::exchange(Ended.Measured, true))
    return;
  this->Speeds.recordRun(measuredVm(Upstream),
                         {.Group = Job.Spec.Queue.Id.str(),
                          .Measured = Now - Ended.PhaseChangedAt,
                          .Expected = this->expectedDuration(Job, Step, Ended)},
                         Now);
}

void Scheduler::Impl::measureActiveRun(const UpstreamRecord &Upstream,
                                       Run &Active, Instant Now) {
  if (!this->comparesSpeed() || Active.Measured)
    return;
  const JobRecord *Job = this->job(Active.Id.Task.Job);
  const StepSpec *Step = this->spec(Active.Id.Task);
  if (!Job || !Step || !this->isMeasurable(Upstream, Active, *Step))
    return;
  const Duration Expected = this->expectedDuration(*Job, *Step, Active);
  const std::optional<Duration> Total =
      overdueDuration(Now - Active.PhaseChangedAt, Active.Percent, Expected);
  if (!Total)
    return;
  Active.Measured = true;
  this->Speeds.recordRun(measuredVm(Upstream),
                         {.Group = Job->Spec.Queue.Id.str(),
                          .Measured = *Total,
                          .Expected = Expected},
                         Now);
}

void Scheduler::Impl::measureFailure(const UpstreamRecord &Upstream,
                                     Instant Now) {
  if (this->comparesSpeed())
    this->Speeds.recordFailure(measuredVm(Upstream), Now);
}

void Scheduler::Impl::updateHealth(Instant Now) {
  if (!this->comparesSpeed())
    return;
  this->Speeds.forgetOld(Now);
  for (auto &[Id, Upstream] : this->Upstreams) {
    const UpstreamHealth Health =
        this->Speeds.healthOf(measuredVm(*Upstream), Now);
    if (Health.isHealthy() != Upstream->Health.isHealthy())
      logEvent(LogLevel::Info, "upstream.health",
               {{"upstream", Id.str()},
                {"vm", Upstream->Report.Vm.str()},
                {"healthy", Health.isHealthy() ? "true" : "false"},
                {"slowdown", std::to_string(Health.Slowdown)},
                {"failure_rate", std::to_string(Health.FailureRate)}});
    Upstream->Health = Health;
  }
}

SpeedCounts Scheduler::speedCounts() const {
  SpeedCounts Counts{.Copies = this->Inner->CopiesStarted};
  for (const auto &[Id, Upstream] : this->Inner->Upstreams) {
    const bool Healthy = Upstream->Health.isHealthy();
    Counts.SlowUpstreams += !Healthy || Upstream->Health.isSlow();
    Counts.UnhealthyUpstreams += !Healthy;
  }
  return Counts;
}

StepSpread Scheduler::Impl::spreadOf(const StepRecord &Step) const {
  StepSpread Spread;
  for (const auto &[Id, Count] : Step.RunsPerUpstream)
    if (const auto Found = this->Upstreams.find(Id);
        Found != this->Upstreams.end())
      Spread.add(Found->second->rack(), Found->second->Report.Zone.str(),
                 Count);
  return Spread;
}

bool Scheduler::Impl::deservesCopy(const UpstreamRecord &Upstream,
                                   const Run &Candidate, Instant Now) {
  // A task that is long on a normal upstream is as long on any other. Checked
  // first, because all runs are looked at in each round.
  const bool Stalled = Now - Candidate.ProgressAt > StallTimeout;
  if (Candidate.LongRunning || (!Stalled && Upstream.Health.isHealthy()))
    return false;
  const JobRecord *Job = this->job(Candidate.Id.Task.Job);
  const TaskRecord *Task = this->task(Candidate.Id.Task);
  const StepSpec *Step = this->spec(Candidate.Id.Task);
  // Two runs of a task would overwrite each other's checkpoints.
  if (!Job || !Task || !Step || !Step->Speculative || Step->Checkpoints ||
      !this->isMeasurable(Upstream, Candidate, *Step))
    return false;
  // The failure of a copy must not end a job whose first run is at work.
  if (int(Task->FailedRuns.size()) + 1 >=
      this->queueSettingsOf(*Job).MaxAttempts)
    return false;
  // A run of an ended job or of a task that is done is being stopped.
  if (Candidate.StopRequested || Task->Runs.size() != 1 ||
      Task->NotBefore > Now || isSuspect(Task->Crashes))
    return false;
  const Duration Expected = this->expectedDuration(*Job, *Step, Candidate);
  const Duration Age = Now - Candidate.PhaseChangedAt;
  const std::optional<Duration> Total =
      overdueDuration(Age, Candidate.Percent, Expected);
  return Total && double((*Total - Age).count()) >
                      MinRemainingForCopy * double(Expected.count());
}

void Scheduler::Impl::placeCopies(const std::set<PoolId> &Short, Instant Now) {
  if (!this->comparesSpeed())
    return;
  std::vector<TaskId> Slow;
  for (const auto &[Id, Upstream] : this->Upstreams)
    for (const auto &[Run, Candidate] : Upstream->Runs)
      if (this->deservesCopy(*Upstream, *Candidate, Now))
        Slow.push_back(Run.Task);
  for (const TaskId &Id : Slow)
    if (!Short.contains(this->queueSettingsOf(*this->job(Id.Job)).Pool))
      this->placeCopy(Id, Short.empty(), Now);
}

void Scheduler::Impl::placeCopy(const TaskId &Id, bool MayUseIdleVms,
                                Instant Now) {
  JobRecord &Job = *this->job(Id.Job);
  const QueueSettings &Queue = this->queueSettingsOf(Job);
  if (this->isBlockedByInheritedRuns(Job, Queue.Pool))
    return;
  const WaitingStep Copied{&Job, &Queue, Id.Occurrence, Id.Step};
  const StepSpec &Spec = Copied.spec();
  StepRecord &Record = Copied.record();
  const TaskRecord &Task = Record.Tasks[std::size_t(Id.Index)];
  const OrganisationId &Organisation = Job.Spec.Organisation;
  if (!this->fitsCeiling(Organisation,
                         Spec.Requested +
                             this->possibleInheritedUse(Organisation)))
    return;
  UpstreamRecord *Upstream =
      this->chooseUpstream({.Step = &Spec,
                            .Record = &Record,
                            .Pool = Queue.Pool,
                            .Task = &Task,
                            .NeedsTicket = Queue.NeedsAdvice,
                            .Now = Now,
                            .HealthyOnly = true});
  // While work waits in another pool, idle VMs are left to the planner.
  if (!Upstream || Upstream->AvoidUntil > Now ||
      (Upstream->Runs.empty() && !MayUseIdleVms) ||
      !this->recordPool(Job, Queue.Pool))
    return;
  const int Number = this->nextRunNumber(Job, Task);
  this->start(*Upstream, Copied, Id.Index, Number, Now);
  ++this->CopiesStarted;
  logEvent(LogLevel::Info, "run.copied",
           {{"run", describe(RunId{Id, Number})},
            {"upstream", Upstream->Report.Id.str()}});
}

} // namespace sardinerill::site
