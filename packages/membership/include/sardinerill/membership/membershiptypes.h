#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/fleet/fleettypes.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Plain types of who the other daemons are.

namespace sardinerill {

/// Where a daemon's peers reach it.
struct Contact {
  ZoneId Zone;
  std::string Address;
  unsigned short Port = 0;
  friend bool operator==(const Contact &, const Contact &) = default;
};

/// One process on one VM: a restart is a new daemon.
struct DaemonName {
  std::string Vm;
  std::uint64_t Incarnation = 0;
  friend bool operator==(const DaemonName &, const DaemonName &) = default;
};

/// \returns "vm#incarnation".
DaemonId daemonIdOf(const DaemonName &Name);
/// \returns the parts of \p Id; incarnation 0 where it has none.
DaemonName daemonNameOf(const DaemonId &Id);

/// Requests of one team running in one pool, at one daemon.
struct TeamRunning {
  PoolId Pool;
  TeamId Team;
  unsigned Running = 0;
  friend bool operator==(const TeamRunning &, const TeamRunning &) = default;
};

/// What a daemon says of itself.
struct MemberReport {
  std::uint64_t Heartbeat = 0;
  FleetVersion Version = 0; ///< In force at the daemon.
  /// Age of its proof that this version is the newest.
  Duration EvidenceAge = Duration::max();
  /// VMs being drained that still run work of the daemon.
  std::vector<VmId> BusyDraining;
  std::vector<TeamRunning> Loads;
  friend bool operator==(const MemberReport &, const MemberReport &) = default;
};

/// A report as it travels: how old it is, and where the daemon is if the
/// receiver may not know yet.
struct GossipEntry {
  DaemonId Id;
  Duration Age{0};
  MemberReport Report;
  /// Whether the report's loads are sent along; relayed ones leave them out.
  bool HasLoads = true;
  Contact Where; ///< Address empty where it is left out.
  friend bool operator==(const GossipEntry &, const GossipEntry &) = default;
};

/// How long ago each member was heard, by any chain of dated answers: one byte
/// a member, in the order of their ids.
struct HeardAges {
  static constexpr Duration Unit = std::chrono::milliseconds(250);
  static constexpr std::uint8_t Unknown = 255;

  /// Names the list of members; another list's ages mean nothing.
  std::uint64_t RosterHash = 0;
  std::vector<std::uint8_t> Ages;
  friend bool operator==(const HeardAges &, const HeardAges &) = default;
};

/// A member as it is known here.
struct Member {
  DaemonId Id;
  Contact Where;
  MemberReport Report;
  /// Acknowledged outside a report; says nothing of what the report lists.
  FleetVersion AckedVersion = 0;
  /// Rosters in a row that the member was missing from.
  unsigned MissingFromRoster = 0;
  /// The report was true then, by this daemon's clock.
  Instant ReportAsOf{};
  /// The member was heard then, if only by a chain of others.
  Instant AsOf{};
  /// The heartbeat last grew then.
  Instant HeardAt{};
  bool WasHeard = false;
};

} // namespace sardinerill
