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
/// start, that is slower than others or that often fails comes after the
/// others, but is still used if they are full.

namespace sardinerill::site {

/// Failure domains of the present runs of a step.
class StepSpread {
public:
  /// Counts \p Count runs on an upstream of \p Rack and \p Zone, whose texts
  /// must outlive this object.
  void add(std::string_view Rack, std::string_view Zone, int Count = 1);
  /// \returns the part, 0 to 1, of the runs that share the rack or the zone of
  /// \p Candidate; a run that shares only one of them counts half.
  double sharedWith(const UpstreamRecord &Candidate) const;

private:
  struct Entry {
    std::string_view Rack;
    std::string_view Zone;
    int Count = 0;
  };
  std::vector<Entry> Entries; ///< One for each upstream.
  int Total = 0;
};

/// The task to place. Step, Record and Task must not be null.
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
  /// One of the last tasks of its step to be started.
  bool EndsStep = false;
  /// Whether upstreams that are not healthy are excluded.
  bool HealthyOnly = false;
  /// If set, the task prefers other racks and zones than the step's runs.
  const StepSpread *Spread = nullptr;
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
