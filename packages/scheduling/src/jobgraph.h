#pragma once

#include "schedulermodel.h"

/// \file
/// The order of a job's steps and what is left of it.

namespace sardinerill::site {

/// \returns an occurrence of \p Spec with all tasks open, \p Progress applied.
OccurrenceRecord layOut(const JobSpec &Spec, int Occurrence,
                        const JobProgress *Progress);

/// \returns whether \p Spec has tasks that run until it is cancelled.
bool isLasting(const JobSpec &Spec);

/// \returns whether all steps before \p Step are done.
bool isReady(const JobSpec &Spec, const OccurrenceRecord &Occurrence, int Step);

/// \returns the longest chain of run times through all steps.
Duration longestChain(const JobSpec &Spec, double EstimateFactor);

/// \returns the longest chain through the steps that are not done.
Duration remainingChain(const JobSpec &Spec, const OccurrenceRecord &Occurrence,
                        double EstimateFactor);

/// \returns processor seconds of the tasks that are not done.
double remainingCpuSeconds(const JobSpec &Spec,
                           const OccurrenceRecord &Occurrence,
                           double EstimateFactor);

/// \returns the progress of \p Job as it is to be stored.
JobProgress progressOf(const JobRecord &Job);

} // namespace sardinerill::site
