#pragma once

#include "sardinerill/fleet/availability.h"

#include <nlohmann/json.hpp>

/// \file
/// Planner of roll-outs and moves: decides which VM drains, reboots and returns
/// to service next. Pure functions.

namespace sardinerill {

/// Observed state of one VM, which is not part of the configuration.
struct VmObservation {
  bool ListedLive = false; ///< Live in a recent list of the platform.
  bool Ejected = false;    ///< Ejected by this daemon as tasks fail on it.
  /// Draining; every daemon has applied the drain version and reports no tasks
  /// on it.
  bool Drained = false;
  std::uint64_t Boots = 0;
  unsigned Running = 0; ///< Tasks that this daemon runs on it.
};

using FleetObservation = std::map<VmId, VmObservation>;

/// A VM to reboot. The reboot is carried out only if the VM's boot count still
/// equals \c ExpectedBoots.
struct RebootRequest {
  VmId Vm;
  std::uint64_t ExpectedBoots = 0;
  friend bool operator==(const RebootRequest &,
                         const RebootRequest &) = default;
};

/// The next maintenance steps.
struct MaintenancePlan {
  /// Merge patch of the fleet document with all steps; empty if there are none.
  nlohmann::json Patch = nlohmann::json::object();
  /// VMs to reboot once the patch and all earlier changes are committed.
  std::vector<RebootRequest> Reboots;
};

/// Progress of one pool's roll-out.
struct RolloutProgress {
  unsigned Total = 0;
  unsigned Done = 0;
  unsigned InProgress = 0;
  bool Paused = false;
};

/// Plans the next steps. No step that takes a VM out of service exceeds an
/// availability budget. VMs that are already out of service are taken first,
/// then those with the fewest running tasks. A pool's unfinished roll-out is
/// paused when a VM of the current generation is out of service unplanned.
MaintenancePlan planMaintenance(const Fleet &Current,
                                const FleetObservation &Observed);

/// \returns the VMs that are not confirmed to be usable: not listed as live, or
/// ejected.
std::set<VmId> unconfirmedVms(const Fleet &Current,
                              const FleetObservation &Observed);

RolloutProgress rolloutProgress(const Fleet &Current, const PoolId &Pool);

} // namespace sardinerill
