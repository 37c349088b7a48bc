#pragma once

#include "schedulermodel.h"

/// \file
/// Selection of the upstream for one task.
///
/// Serving and best-effort tasks prefer the upstreams with the least CPU
/// reserved. All other tasks are packed onto the fullest upstreams, so that
/// whole VMs stay idle and the pool planner can move them. An upstream with
/// recent failures is the last choice: failing tasks free its capacity quickly,
/// so that it would otherwise be chosen again. One that is still slow after its
/// start is chosen only if no other has room, except for failing ones.

namespace sardinerill::site {

/// The task to place. The pointers must not be null.
struct PlacementRequest {
  const StepSpec *Step = nullptr;
  const StepRecord *Record = nullptr;
  PoolId Pool;
  /// Rack that is tried for the gang; if empty, StepSpec::DataRack is
  /// preferred.
  std::string_view PreferredRack;
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
/// Best-effort tasks reserve no CPU.
Resources reservedResources(const StepSpec &Step);

} // namespace sardinerill::site
