#pragma once

#include "schedulermodel.h"

/// \file
/// Selection of the upstream for one task.
///
/// Load pattern: pools are full at their peak, whole racks fail together, and
/// some upstreams fail every task that they start. Short tasks are packed onto
/// the fullest upstreams, so that whole VMs stay empty for the pool planner. An
/// upstream with recent failures is the last choice: failing tasks free
/// capacity quickly, which would otherwise attract more tasks.

namespace sardinerill::site {

struct PlacementRequest {
  const StepSpec *Step = nullptr;
  const StepRecord *Record = nullptr;
  PoolId Pool;
  std::string_view
      PreferredRack; ///< Rack of the gang; empty: that of the data.
  const TaskRecord *Task = nullptr;
  bool NeedsTicket = false;
  Instant Now{};
};

/// \returns whether \p Candidate meets all constraints of the task.
bool canRun(const UpstreamRecord &Candidate, const PlacementRequest &Request);

/// \returns the preference for \p Candidate; higher is better.
double placementScore(const UpstreamRecord &Candidate,
                      const PlacementRequest &Request);

/// \returns the resources that a task of \p Step reserves on its upstream.
/// Best- effort tasks reserve no CPU.
Resources reservedResources(const StepSpec &Step);

} // namespace sardinerill::site
