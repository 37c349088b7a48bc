#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Measurement of the upstreams' speed.
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
  SpeedCounts Counts;
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
      for (int Run = 0; Run < Count; ++Run)
        Spread.add(Found->second->rack(), Found->second->Report.Zone.str());
  return Spread;
}

} // namespace sardinerill::site
