#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// Types of the fleet configuration: pools, VMs, teams, classes.

namespace sardinerill {

/// Version of the fleet configuration; incremented by one with each accepted
/// change.
using FleetVersion = std::uint64_t;

/// The stored form of a team's or operator's key: salted and hashed, never in
/// clear text.
struct KeyRecord {
  KeyId Id;
  std::string Salt;
  std::string Hash;
  bool Withdrawn = false;
  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

struct Team {
  TeamId Id;
  unsigned Share = 1;   ///< Relative weight when requests wait.
  unsigned Ceiling = 1; ///< Maximum of concurrent requests, fleet-wide.
  FleetVersion CeilingVersion = 0; ///< Version that last changed the ceiling.
  std::vector<KeyRecord> Keys;
  friend bool operator==(const Team &, const Team &) = default;
};

struct WorkClass {
  ClassId Id;
  PoolId Pool;
  milliseconds Target{1000};   ///< Latency target from arrival to answer.
  milliseconds RunLimit{5000}; ///< Run limit, enforced by the worker.
  /// Time within which a job must finish; 0 for synchronous classes, whose
  /// caller waits for the answer.
  milliseconds Deadline{0};
  bool Idempotent = true;
  bool AllowAnonymous = false; ///< Needs no key.
  friend bool operator==(const WorkClass &, const WorkClass &) = default;
};

struct Pool {
  PoolId Id;
  unsigned SlotsPerVm = 8;       ///< Maximum of concurrent tasks per VM.
  FleetVersion SlotsVersion = 0; ///< Version that last changed the slots.
  unsigned MaxUnavailable = 1;   ///< Availability budget, in VMs.
  /// VMs of a lower generation are drained and rebooted; raising it starts a
  /// roll-out.
  unsigned Generation = 0;
  bool RolloutPaused = false;
  friend bool operator==(const Pool &, const Pool &) = default;
};

struct Zone {
  ZoneId Id;
  unsigned MaxUnavailable = 1; ///< Availability budget, in VMs.
  friend bool operator==(const Zone &, const Zone &) = default;
};

/// Planned state of a VM. Every state except Serving is a planned disruption.
enum class VmState { Serving, Draining, Rebooting };

struct Vm {
  VmId Id;
  PoolId Pool;
  FleetVersion PoolVersion = 0; ///< Version that last changed the pool.
  ZoneId Zone;
  RackId Rack;
  std::string Address;
  unsigned short Port = 0;
  VmState State = VmState::Serving;
  /// Its pool's generation when the VM last returned to service.
  unsigned Generation = 0;
  /// Version in which the VM started draining; 0 if it is in service.
  FleetVersion DrainVersion = 0;
  /// Boot count of the VM when its reboot was planned.
  std::uint64_t BootsBeforeReboot = 0;
  /// Pool that the VM joins after its next drain and reboot; empty if none.
  PoolId MoveTo;
  friend bool operator==(const Vm &, const Vm &) = default;
};

/// One immutable version of the complete fleet configuration.
struct Fleet {
  FleetVersion Version = 0;
  /// Availability budget of each rack, in VMs.
  unsigned RackMaxUnavailable = 1;
  std::map<PoolId, Pool> Pools;
  std::map<ZoneId, Zone> Zones;
  std::map<VmId, Vm> Vms;
  std::map<TeamId, Team> Teams;
  std::map<ClassId, WorkClass> Classes;
  /// Keys whose owners may change the fleet configuration.
  std::vector<KeyRecord> OperatorKeys;
  friend bool operator==(const Fleet &, const Fleet &) = default;
};

/// \returns the longest run limit of all classes.
milliseconds longestRunLimit(const Fleet &Current);

/// \returns the state's name in fleet documents.
std::string_view toString(VmState State);

} // namespace sardinerill
