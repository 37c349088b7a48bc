#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/fleet/fleettypes.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Data types of the membership: daemons, their endpoints and reports.

namespace sardinerill {

/// Zone and network endpoint at which peers reach a daemon.
struct PeerEndpoint {
  ZoneId Zone;
  std::string Address;
  unsigned short Port = 0;
  friend bool operator==(const PeerEndpoint &, const PeerEndpoint &) = default;
};

/// Identity of a daemon: one process on one VM. A restarted process has a new
/// incarnation and is a new member.
struct DaemonIdentity {
  std::string Vm;
  std::uint64_t Incarnation = 0;
  friend bool operator==(const DaemonIdentity &,
                         const DaemonIdentity &) = default;
};

/// \returns the identifier "vm#incarnation".
DaemonId makeDaemonId(const DaemonIdentity &Identity);
/// \returns the VM and incarnation in \p Id; incarnation 0 if there is none.
DaemonIdentity parseDaemonId(const DaemonId &Id);

/// Number of requests of one team that one daemon runs in one pool.
struct TeamRunCount {
  PoolId Pool;
  TeamId Team;
  unsigned Running = 0;
  friend bool operator==(const TeamRunCount &, const TeamRunCount &) = default;
};

/// State that a daemon reports about itself.
struct MemberReport {
  std::uint64_t Heartbeat = 0;
  FleetVersion Version = 0; ///< Fleet version in force at the daemon.
  /// Time since this version was confirmed to be the newest; Duration::max() if
  /// it never was.
  Duration ConfirmationAge = Duration::max();
  /// Draining VMs that still run work of the daemon.
  std::vector<VmId> DrainingVmsWithWork;
  /// The largest loads, see GossipOptions::MaxLoadsPerReport.
  std::vector<TeamRunCount> Loads;
  friend bool operator==(const MemberReport &, const MemberReport &) = default;
};

/// A report in a message, with its age and, in some messages, the daemon's
/// endpoint.
struct GossipEntry {
  DaemonId Id;
  Duration Age{0};
  MemberReport Report;
  /// Whether Report.Loads is present; relayed reports omit it.
  bool HasLoads = true;
  PeerEndpoint Endpoint; ///< The address is empty if it is omitted.
  friend bool operator==(const GossipEntry &, const GossipEntry &) = default;
};

/// Time since the last contact with each member. Contact is direct, by a reply
/// of the member, or indirect: the member replied to another one, whose reply
/// reported that contact. One byte per member, in the order of their ids.
struct LastSeenAges {
  /// Resolution of an age.
  static constexpr Duration Unit = std::chrono::milliseconds(250);
  /// Age that is unknown or above 254 units (63.5 s).
  static constexpr std::uint8_t Unknown = 255;

  /// Hash of the list of member ids. The ages apply only to the same list.
  std::uint64_t MemberIdsHash = 0;
  std::vector<std::uint8_t> Ages;
  friend bool operator==(const LastSeenAges &, const LastSeenAges &) = default;
};

/// A member as known to this daemon.
struct Member {
  DaemonId Id;
  PeerEndpoint Endpoint;
  MemberReport Report;
  /// Version acknowledged by VersionAck. The rest of the report may be older.
  FleetVersion AckedVersion = 0;
  /// Number of consecutive rosters that did not contain the member.
  unsigned MissedRosters = 0;
  /// Earliest time at which the report can have been created, by this daemon's
  /// clock; Instant{} if unknown.
  Instant ReportAsOf{};
  /// Time of the last known contact with the member, direct or through other
  /// members.
  Instant LastSeenAt{};
  /// Time at which a higher heartbeat was last received.
  Instant HeartbeatAt{};
  /// Whether any report of the member was received.
  bool HasReport = false;
};

} // namespace sardinerill
