#pragma once

#include "sardinerill/fleet/availability.h"

#include <nlohmann/json.hpp>

/// \file
/// Roll-outs and moves: which VM drains, reboots and returns next. Pure.

namespace sardinerill {

/// What is known of one VM from outside the configuration.
struct VmObservation {
  bool ListedLive = false; ///< In the platform's list, and a recent one.
  bool Suspected = false;  ///< Fails what it is given.
  bool Drained = false;    ///< No daemon runs work on it any more.
  std::uint64_t Boots = 0;
  unsigned Running = 0; ///< Work running on it, as far as known.
};

using FleetObservation = std::map<VmId, VmObservation>;

/// A VM to reboot, and the boots it must have had for the order to hold.
struct RebootOrder {
  VmId Vm;
  std::uint64_t ExpectedBoots = 0;
  friend bool operator==(const RebootOrder &, const RebootOrder &) = default;
};

/// What is to be done now.
struct MaintenancePlan {
  /// One change of the fleet that holds all steps; empty where there is none.
  nlohmann::json Patch = nlohmann::json::object();
  /// VMs to reboot once the change, and any before it, is committed.
  std::vector<RebootOrder> Reboots;
};

/// Progress of one pool's roll-out.
struct RolloutProgress {
  unsigned Total = 0;
  unsigned Done = 0;
  unsigned InWork = 0;
  bool Paused = false;
};

/// Plans the next steps. Every step out of service keeps each budget; VMs that
/// run least go first; a pool whose renewed VMs fail is paused.
MaintenancePlan planMaintenance(const Fleet &Current,
                                const FleetObservation &Seen);

/// \returns the VMs that are not known to be up.
std::set<VmId> notKnownUp(const Fleet &Current, const FleetObservation &Seen);

RolloutProgress rolloutProgress(const Fleet &Current, const PoolId &Pool);

} // namespace sardinerill
