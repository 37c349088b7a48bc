#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// The fleet as operators configure it: pools, VMs, teams, classes.

namespace sardinerill {

/// Counts accepted changes of the fleet; grows by one with each.
using FleetVersion = std::uint64_t;

/// A team's key as it is kept: never in clear.
struct KeyRecord {
  KeyId Id;
  std::string Salt;
  std::string Hash;
  bool Withdrawn = false;
  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

struct Team {
  TeamId Id;
  unsigned Share = 1;   ///< Relative part of a full fleet.
  unsigned Ceiling = 1; ///< Most requests running at once, fleet-wide.
  FleetVersion CeilingVersion = 0; ///< Last change of the ceiling.
  std::vector<KeyRecord> Keys;
  friend bool operator==(const Team &, const Team &) = default;
};

struct WorkClass {
  ClassId Id;
  PoolId Pool;
  milliseconds Target{1000}; ///< From arrival to answer.
  milliseconds MaxRun{5000}; ///< A worker stops the task after this long.
  /// Time in which a job must finish; 0 for classes answered while the caller
  /// waits.
  milliseconds Deadline{0};
  bool Idempotent = true;
  bool Open = false; ///< Needs no key.
  friend bool operator==(const WorkClass &, const WorkClass &) = default;
};

struct Pool {
  PoolId Id;
  unsigned SlotsPerVm = 8;
  FleetVersion SlotsVersion = 0; ///< Last change of the slots.
  unsigned MaxUnavailable = 1;   ///< Availability budget, in VMs.
  unsigned Generation = 0;       ///< Roll-outs bring each VM up to this.
  bool RolloutPaused = false;
  friend bool operator==(const Pool &, const Pool &) = default;
};

struct Zone {
  ZoneId Id;
  unsigned MaxUnavailable = 1;
  friend bool operator==(const Zone &, const Zone &) = default;
};

/// What is planned for a VM. Everything but Serving is a planned disruption.
enum class VmState { Serving, Draining, Rebooting };

struct Vm {
  VmId Id;
  PoolId Pool;
  FleetVersion PoolVersion = 0; ///< Last change of the pool.
  ZoneId Zone;
  RackId Rack;
  std::string Address;
  unsigned short Port = 0;
  VmState State = VmState::Serving;
  unsigned Generation = 0;
  /// Version in which the VM began to drain.
  FleetVersion DrainVersion = 0;
  /// Boots counted when its reboot was decided.
  std::uint64_t BootsBefore = 0;
  /// A pool that the VM joins at the end of its next drain; may be empty.
  PoolId MoveTo;
  friend bool operator==(const Vm &, const Vm &) = default;
};

/// One immutable version of the whole configuration.
struct Fleet {
  FleetVersion Version = 0;
  unsigned RackMaxUnavailable = 1;
  std::map<PoolId, Pool> Pools;
  std::map<ZoneId, Zone> Zones;
  std::map<VmId, Vm> Vms;
  std::map<TeamId, Team> Teams;
  std::map<ClassId, WorkClass> Classes;
  /// Keys that may change the fleet.
  std::vector<KeyRecord> OperatorKeys;
  friend bool operator==(const Fleet &, const Fleet &) = default;
};

/// \returns the longest run that any class allows.
milliseconds longestRun(const Fleet &Current);

/// \returns the name used in documents.
std::string_view toString(VmState State);

} // namespace sardinerill
