#pragma once

#include "schedulermodel.h"

#include <span>

/// \file
/// Dependency graph of a job's steps, and its remaining work.

namespace sardinerill::site {

/// \returns a new occurrence of \p Spec with \p Progress applied, if given.
OccurrenceRecord makeOccurrence(const JobSpec &Spec, int Occurrence,
                                const JobProgress *Progress);

/// \returns whether \p Spec has tasks that run until the job is cancelled.
bool hasLongRunningStep(const JobSpec &Spec);

/// \returns whether all dependencies of \p Step are done.
bool isReady(const JobSpec &Spec, const OccurrenceRecord &Occurrence, int Step);

/// \returns the length of the critical path through all steps.
/// \param EstimateFactor scales the estimated run times.
Duration criticalPath(const JobSpec &Spec, double EstimateFactor);

/// \returns the length of the critical path through the steps not yet done.
Duration remainingCriticalPath(const JobSpec &Spec,
                               const OccurrenceRecord &Occurrence,
                               double EstimateFactor);

/// \returns the CPU seconds of the tasks not yet done.
double remainingCpuSeconds(const JobSpec &Spec,
                           const OccurrenceRecord &Occurrence,
                           double EstimateFactor);

/// What is left of an occurrence.
struct RemainingWork {
  Duration CriticalPath{};
  double CpuSeconds = 0;
};

/// \returns the CPU seconds of all tasks of \p Spec by \p Forecasts.
double cpuSeconds(const JobSpec &Spec, std::span<const StepForecast> Forecasts);

/// \returns the length of the critical path through all steps by
/// \p Forecasts. The end of a step is that of its slowest task.
Duration criticalPath(const JobSpec &Spec,
                      std::span<const StepForecast> Forecasts);

/// \returns the work of the tasks not yet done. What is left of a running task
/// follows from its age.
RemainingWork remainingWork(const JobSpec &Spec,
                            const OccurrenceRecord &Occurrence,
                            std::span<const StepForecast> Forecasts,
                            const RunTimeModel &RunTimes, Instant Now);

/// \returns the progress of \p Job to be stored.
JobProgress progressOf(const JobRecord &Job);

} // namespace sardinerill::site
