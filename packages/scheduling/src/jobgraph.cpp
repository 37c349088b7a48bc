#include "jobgraph.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

void applyProgress(const std::map<int, std::map<int, TaskProgress>> &Steps,
                   OccurrenceRecord &Record) {
  for (const auto &[Step, Tasks] : Steps) {
    if (Step < 0 || Step >= int(Record.Steps.size()))
      continue;
    StepRecord &Target = Record.Steps[Step];
    for (const auto &[Index, Task] : Tasks) {
      if (Index < 0 || Index >= int(Target.Tasks.size()))
        continue;
      TaskRecord &Restored = Target.Tasks[Index];
      Restored.FailedRuns = Task.FailedRuns;
      Restored.LastRunNumber = Task.LastRunNumber;
      Restored.Crashes = Task.Crashes;
      if (Task.Done && !Restored.Done) {
        Restored.Done = true;
        ++Target.DoneCount;
        --Record.UnfinishedTasks;
      }
    }
  }
}

Duration scaled(Duration Estimate, double Factor) {
  return Duration(std::int64_t(double(Estimate.count()) * Factor));
}

/// \param RemainingOf returns the remaining duration of the step with the given
/// index.
template <typename Function>
Duration criticalPathOf(const JobSpec &Spec, Function RemainingOf) {
  std::vector<Duration> EndOf(Spec.Steps.size());
  Duration Longest{};
  for (std::size_t Index = 0; Index < Spec.Steps.size(); ++Index) {
    Duration Start{};
    // Steps are listed after their dependencies; others are ignored.
    for (int Dependency : Spec.Steps[Index].DependsOn)
      if (Dependency >= 0 && Dependency < int(Index))
        Start = std::max(Start, EndOf[Dependency]);
    EndOf[Index] = Start + RemainingOf(int(Index));
    Longest = std::max(Longest, EndOf[Index]);
  }
  return Longest;
}

/// Running tasks of a step.
struct RunningTasks {
  int Count = 0;
  Duration MeanAge{};
};

RunningTasks runningTasksOf(const StepRecord &Record, Instant Now) {
  RunningTasks Running;
  for (const TaskRecord &Task : Record.Tasks) {
    if (Task.Done || Task.Runs.empty())
      continue;
    ++Running.Count;
    const Run &First = *Task.Runs.front();
    if (First.Phase == RunPhase::Active)
      Running.MeanAge += Now - First.PhaseChangedAt;
  }
  if (Running.Count > 0)
    Running.MeanAge /= Running.Count;
  return Running;
}

// Run times are in microseconds and CPU in thousandths of a processor.
constexpr double UnitsPerCpuSecond = 1e9;

} // namespace

OccurrenceRecord makeOccurrence(const JobSpec &Spec, int Occurrence,
                                const JobProgress *Progress) {
  OccurrenceRecord Record;
  if (Spec.Schedule.Count > 0)
    Record.DueMs =
        Spec.Schedule.FirstDueMs + Occurrence * Spec.Schedule.IntervalMs;
  for (const StepSpec &Step : Spec.Steps) {
    StepRecord NewStep;
    NewStep.Tasks.resize(std::size_t(std::max(Step.Count, 0)));
    Record.UnfinishedTasks += int(NewStep.Tasks.size());
    Record.Steps.push_back(std::move(NewStep));
  }
  if (Progress)
    if (const auto Found = Progress->Tasks.find(Occurrence);
        Found != Progress->Tasks.end())
      applyProgress(Found->second, Record);
  return Record;
}

bool hasLongRunningStep(const JobSpec &Spec) {
  return std::ranges::any_of(Spec.Steps, &StepSpec::LongRunning);
}

bool isReady(const JobSpec &Spec, const OccurrenceRecord &Occurrence,
             int Step) {
  return std::ranges::all_of(Spec.Steps[Step].DependsOn, [&](int Dependency) {
    if (Dependency < 0 || Dependency >= int(Occurrence.Steps.size()))
      return true;
    const StepRecord &DependencyRecord = Occurrence.Steps[Dependency];
    return DependencyRecord.DoneCount == int(DependencyRecord.Tasks.size());
  });
}

Duration criticalPath(const JobSpec &Spec, double EstimateFactor) {
  return criticalPathOf(Spec, [&](int Step) {
    return scaled(Spec.Steps[Step].Estimate, EstimateFactor);
  });
}

Duration remainingCriticalPath(const JobSpec &Spec,
                               const OccurrenceRecord &Occurrence,
                               double EstimateFactor) {
  return criticalPathOf(Spec, [&](int Step) {
    const StepRecord &Record = Occurrence.Steps[Step];
    return Record.DoneCount < int(Record.Tasks.size())
               ? scaled(Spec.Steps[Step].Estimate, EstimateFactor)
               : Duration{};
  });
}

double remainingCpuSeconds(const JobSpec &Spec,
                           const OccurrenceRecord &Occurrence,
                           double EstimateFactor) {
  double Sum = 0;
  for (std::size_t Index = 0; Index < Spec.Steps.size(); ++Index) {
    const StepRecord &Record = Occurrence.Steps[Index];
    const double Unfinished = double(Record.Tasks.size()) - Record.DoneCount;
    Sum += Unfinished * double(Spec.Steps[Index].Requested.CpuMilli) *
           double(Spec.Steps[Index].Estimate.count()) * EstimateFactor;
  }
  return Sum / UnitsPerCpuSecond;
}

double cpuSeconds(const JobSpec &Spec,
                  std::span<const StepForecast> Forecasts) {
  double Sum = 0;
  for (std::size_t Index = 0; Index < Spec.Steps.size(); ++Index)
    Sum += double(Spec.Steps[Index].Count) *
           double(Spec.Steps[Index].Requested.CpuMilli) *
           double(Forecasts[Index].Mean.count());
  return Sum / UnitsPerCpuSecond;
}

Duration criticalPath(const JobSpec &Spec,
                      std::span<const StepForecast> Forecasts) {
  return criticalPathOf(
      Spec, [&](int Step) { return Forecasts[std::size_t(Step)].Slowest; });
}

RemainingWork remainingWork(const JobSpec &Spec,
                            const OccurrenceRecord &Occurrence,
                            std::span<const StepForecast> Forecasts,
                            const RunTimeModel &RunTimes, Instant Now) {
  RemainingWork Work;
  Work.CriticalPath = criticalPathOf(Spec, [&](int Index) {
    const StepSpec &Step = Spec.Steps[std::size_t(Index)];
    const StepRecord &Record = Occurrence.Steps[std::size_t(Index)];
    const StepForecast &Forecast = Forecasts[std::size_t(Index)];
    const int Unfinished = int(Record.Tasks.size()) - Record.DoneCount;
    if (Unfinished <= 0)
      return Duration{};
    const RunningTasks Running =
        Step.LongRunning ? RunningTasks{} : runningTasksOf(Record, Now);
    const int Waiting = Unfinished - Running.Count;
    double TaskUs = double(Waiting) * double(Forecast.Mean.count());
    Duration Remaining{};
    if (Waiting == int(Record.Tasks.size()) || Step.LongRunning)
      Remaining = Forecast.Slowest;
    else if (Waiting > 0)
      Remaining = RunTimes.slowest(Forecast.Key, Step.Estimate, Waiting);
    if (Running.Count > 0) {
      TaskUs +=
          double(Running.Count) *
          double(
              RunTimes.remaining(Forecast.Key, Step.Estimate, Running.MeanAge)
                  .count());
      Remaining = std::max(
          Remaining, RunTimes.slowestRemaining(Forecast.Key, Step.Estimate,
                                               Running.MeanAge, Running.Count));
    }
    Work.CpuSeconds +=
        TaskUs * double(Step.Requested.CpuMilli) / UnitsPerCpuSecond;
    return Remaining;
  });
  return Work;
}

JobProgress progressOf(const JobRecord &Job) {
  JobProgress Progress{.State = Job.State};
  // Tasks of an ended job never run again, so that only its state is stored.
  if (Job.ended())
    return Progress;
  for (const auto &[Pool, Revision] : Job.OtherPools)
    Progress.OtherPools.insert(Pool);
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    for (std::size_t Step = 0; Step < Occurrence.Steps.size(); ++Step)
      for (std::size_t Index = 0; Index < Occurrence.Steps[Step].Tasks.size();
           ++Index) {
        const TaskRecord &Task = Occurrence.Steps[Step].Tasks[Index];
        if (Task.Done || !Task.FailedRuns.empty() || Task.Crashes.Crashes > 0)
          Progress.Tasks[Number][int(Step)][int(Index)] = {
              .Done = Task.Done,
              .FailedRuns = Task.FailedRuns,
              .LastRunNumber = Task.LastRunNumber,
              .Crashes = Task.Crashes};
      }
  return Progress;
}

} // namespace sardinerill::site
