#include "jobgraph.h"
#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <utility>

/// \file
/// Forecast run times of jobs, and what their ended runs teach.

namespace sardinerill::site {

namespace {

/// Age at which a forecast is renewed. Renewing those of 3,000 jobs takes about
/// as long as a scheduling round, and a key learns little in this time.
constexpr milliseconds MaxForecastAge{500};

std::string milliText(Duration Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

RunTimeClass runTimeClassOf(const JobRecord &Job, std::size_t Step) {
  const StepSpec &Spec = Job.Spec.Steps[Step];
  return {.Queue = Job.Spec.Queue.Id.str(),
          .Image = Spec.Image,
          .Step = int(Step),
          .CpuMilli = Spec.Requested.CpuMilli,
          .Organisation = Job.Spec.Organisation.str()};
}

} // namespace

const JobForecast &Scheduler::Impl::forecastOf(const JobRecord &Job,
                                               Instant Now) const {
  JobForecast &Forecast = Job.Forecast;
  const bool New = Forecast.Steps.size() != Job.Spec.Steps.size();
  if (!New && Now - Forecast.MadeAt < MaxForecastAge)
    return Forecast;
  Forecast.MadeAt = Now;
  Forecast.Steps.resize(Job.Spec.Steps.size());
  for (std::size_t Index = 0; Index < Forecast.Steps.size(); ++Index) {
    const StepSpec &Spec = Job.Spec.Steps[Index];
    StepForecast &Step = Forecast.Steps[Index];
    if (New)
      Step.Key = RunTimeKey::of(runTimeClassOf(Job, Index));
    // Long-running tasks never end as done, so that nothing is learned of them.
    Step.Mean = Spec.LongRunning
                    ? Spec.Estimate
                    : this->RunTimes.forecast(Step.Key, Spec.Estimate).Mean;
    Step.Slowest =
        Spec.LongRunning
            ? Spec.Estimate
            : this->RunTimes.slowest(Step.Key, Spec.Estimate, Spec.Count);
  }
  Forecast.CriticalPath = criticalPath(Job.Spec, Forecast.Steps);
  Forecast.CpuSeconds = cpuSeconds(Job.Spec, Forecast.Steps);
  return Forecast;
}

void Scheduler::Impl::learnRunTime(const JobRecord &Job, const StepSpec &Step,
                                   const Run &Ended, double Slowdown,
                                   Instant Now) {
  // The time of a paced run depends on the load of its upstream.
  if (!Ended.StartKnown || Ended.Phase != RunPhase::Active ||
      Ended.PacedAt != Instant{})
    return;
  // What the run would have taken on an upstream of normal speed.
  const Duration Measured(std::int64_t(
      double((Now - Ended.PhaseChangedAt).count()) / std::max(Slowdown, 1.0)));
  const auto Index = std::size_t(Ended.Id.Task.Step);
  if (Ended.Resumed) {
    RunTimeClass Class = runTimeClassOf(Job, Index);
    Class.Resumed = true;
    this->RunTimes.learn(RunTimeKey::of(Class), Step.Estimate, Measured);
    return;
  }
  logEvent(LogLevel::Debug, "runtimes.learned",
           {{"run", describe(Ended.Id)},
            {"queue", Job.Spec.Queue.Id.str()},
            {"measured_ms", milliText(Measured)},
            {"forecast_ms", milliText(Ended.Forecast)},
            {"estimate_ms", milliText(Step.Estimate)}});
  this->Accuracies[Job.Spec.Queue.Id].record(Measured, Ended.Forecast,
                                             Step.Estimate);
  this->RunTimes.learn(this->forecastOf(Job, Now).Steps[Index].Key,
                       Step.Estimate, Measured);
}

const RunTimeModel &Scheduler::runTimes() const {
  return this->Inner->RunTimes;
}

void Scheduler::mergeRunTimes(const RunTimeSummary &Earlier) {
  this->Inner->RunTimes.merge(Earlier);
}

std::map<QueueId, RunTimeAccuracyReport> Scheduler::takeRunTimeAccuracy() {
  std::map<QueueId, RunTimeAccuracyReport> Reports;
  for (const auto &[Queue, Accuracy] :
       std::exchange(this->Inner->Accuracies, {}))
    Reports[Queue] = Accuracy.report();
  return Reports;
}

} // namespace sardinerill::site
