#pragma once

#include "schedulermodel.h"

/// \file
/// Choice of the upstream for one task.
///
/// Load pattern: pools run full in their peak, racks go dark at once, and some
/// upstreams fail all that they start. Short tasks go where least is free, so
/// that whole VMs stay empty for the planner; an upstream that failed lately is
/// the last choice, so that failure never attracts work.

namespace sardinerill::site {

struct PlacementQuestion {
  const StepSpec *Step = nullptr;
  const StepRecord *Record = nullptr;
  PoolId Pool;
  std::string_view PreferredRack; ///< Of the gang, or of the data.
  const TaskRecord *Task = nullptr;
  bool NeedsTicket = false;
  Instant Now{};
};

/// \returns whether \p Candidate may run the task at all.
bool mayRun(const UpstreamRecord &Candidate, const PlacementQuestion &Question);

/// \returns how well \p Candidate suits the task; higher is better.
double suitability(const UpstreamRecord &Candidate,
                   const PlacementQuestion &Question);

/// \returns what a task of \p Step takes of its upstream.
Resources chargedTo(const StepSpec &Step);

} // namespace sardinerill::site
