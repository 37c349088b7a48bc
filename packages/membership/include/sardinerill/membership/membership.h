#pragma once

#include "sardinerill/membership/membershiptypes.h"
#include "sardinerill/membership/peermessages.h"

#include <map>
#include <optional>
#include <random>
#include <set>

/// \file
/// Gossip-based membership: the known daemons, their latest reports, and the
/// time at which the fleet configuration was last confirmed to be the newest.
/// Does no I/O; the current time and the random source are passed in.

namespace sardinerill {

/// Timeouts and size limits of the gossip protocol.
struct GossipOptions {
  /// Maximum number of other members' reports relayed in one message.
  std::size_t MaxRelayedEntries = 3;
  /// Time without a new heartbeat after which a member is considered silent.
  Duration MemberTimeout = seconds(10);
  /// Maximum number of team loads in one report; the largest are kept.
  std::size_t MaxLoadsPerReport = 8;
};

/// A gossip message and the daemon to send it to.
struct OutgoingGossip {
  DaemonId To;
  Gossip Message;
};

/// One daemon's view of all members. Not thread-safe.
class Membership {
public:
  Membership(DaemonId Self, PeerEndpoint OwnEndpoint, GossipOptions Options);

  const DaemonId &self() const { return this->Self; }

  /// Starts a gossip round: increments the heartbeat and selects random members
  /// to exchange reports with. Without a recent confirmation of the fleet
  /// version it selects more members, so that contact with all of them confirms
  /// the version before keys are refused (setting cutOff.serveKeysForMs).
  /// \returns the messages to send.
  std::vector<OutgoingGossip> tick(Instant Now, std::mt19937_64 &Random);
  /// Merges a gossip message of another member.
  /// \returns the reply to send.
  GossipReply handleGossip(const DaemonId &From, const Gossip &Message,
                           Instant Now);
  /// Merges the reply to a gossip message sent by tick(). Replies with an
  /// unknown nonce are dropped.
  void handleGossipReply(const GossipReply &Message, Instant Now);

  /// Increments the heartbeat.
  /// \returns a message with this daemon's current report and its endpoint.
  ReportPush createReportPush(Instant Now);
  /// Merges a report pushed by another member.
  void handleReportPush(const ReportPush &Message, Instant Now);

  /// Updates the members from the roster in the platform's table: adds new
  /// members, updates endpoints, and removes older incarnations of members and
  /// silent members missing from two consecutive rosters.
  void applyRoster(const std::map<DaemonId, PeerEndpoint> &Roster, Instant Now);
  /// Removes a member that is certain to have stopped: the platform no longer
  /// lists its VM, or a newer daemon runs there.
  void removeMember(const DaemonId &Id);

  /// Sets the fleet version in force at this daemon; lower versions are
  /// ignored.
  void setVersion(FleetVersion Version);
  /// Sets the draining VMs that still run work of this daemon.
  void setDrainingVmsWithWork(std::vector<VmId> Vms);
  /// Sets this daemon's load by pool and team. Only the largest
  /// GossipOptions::MaxLoadsPerReport loads are reported.
  void setLoads(std::vector<TeamRunCount> Loads);
  /// Records that the platform reported \p Version as the newest, in reply to a
  /// request sent at \p RequestedAt.
  void confirmNewestVersion(FleetVersion Version, Instant RequestedAt);
  /// Records that \p From acknowledged having \p Version in force.
  void recordVersionAck(const DaemonId &From, FleetVersion Version);

  /// \returns the latest time for which it is confirmed that no fleet version
  /// newer than this daemon's was in force; Instant{} if there is none. It is
  /// confirmed by the platform, by a peer's confirmation, or by contact with
  /// every member while none of them knew a newer version.
  Instant confirmedNewestAt() const;
  /// \returns the newest fleet version set here or contained in a received
  /// message.
  FleetVersion newestKnownVersion() const { return this->NewestKnownVersion; }
  /// \returns all daemons, including this one, at which \p Version is not known
  /// to be in force.
  std::vector<DaemonId> daemonsBehind(FleetVersion Version) const;
  /// \returns all daemons, including this one, that run work on the draining
  /// \p Vm, or may run some because their last report is from before fleet
  /// version \p Version, which started the drain.
  std::vector<DaemonId> daemonsBusyOn(const VmId &Vm,
                                      FleetVersion Version) const;
  /// \returns the sum of the numbers of requests of \p Team running in \p Pool
  /// that the other daemons last reported. Each daemon reports only its largest
  /// loads, so the sum may be too low.
  unsigned runningOnOtherDaemons(const PoolId &Pool, const TeamId &Team) const;

  /// \returns the other members whose heartbeat increased within the member
  /// timeout.
  std::vector<DaemonId> aliveMembers(Instant Now) const;
  /// \returns all members except this daemon.
  const std::map<DaemonId, Member> &otherMembers() const {
    return this->Others;
  }
  /// \returns the endpoint of another member, or nothing if it is not a member.
  std::optional<PeerEndpoint> endpointOf(const DaemonId &Id) const;
  /// \returns the number of members alive in \p Zone, including this daemon.
  unsigned aliveInZone(const ZoneId &Zone, Instant Now) const;

private:
  /// Merges an entry whose report was created no earlier than \p AsOf;
  /// Instant{} if that is unknown.
  void merge(const GossipEntry &Entry, Instant AsOf, Instant Now);
  /// \returns the own report and the next reports, in round-robin order, of
  /// members other than \p To.
  std::vector<GossipEntry> buildEntries(const DaemonId &To, Instant Now);
  GossipEntry ownEntry(Instant Now) const;
  /// \returns the time since the last contact with each member.
  LastSeenAges lastSeenAges(Instant Now) const;
  void applyLastSeenAges(const LastSeenAges &LastSeen, Instant RequestedAt);
  /// \returns the sorted ids of all members, including this daemon.
  std::vector<DaemonId> memberIds() const;
  /// Creates a gossip message to a random member and records it as pending.
  OutgoingGossip createRequest(Instant Now, std::mt19937_64 &Random);
  /// Updates ConfirmedAt from \p Entry if its confirmation is later and for the
  /// same fleet version.
  void applyConfirmation(const GossipEntry &Entry, Instant AsOf);
  void rebuildRemoteLoads();
  /// \returns whether a newer incarnation of \p Id is a member.
  bool isSuperseded(const DaemonId &Id) const;

  struct LoadKey {
    PoolId Pool;
    TeamId Team;
    friend auto operator<=>(const LoadKey &, const LoadKey &) = default;
  };
  struct PendingRequest {
    Instant SentAt;
    DaemonId Recipient;
  };

  DaemonId Self;
  PeerEndpoint OwnEndpoint;
  GossipOptions Options;
  MemberReport OwnReport;
  std::optional<Instant> ConfirmedAt;
  FleetVersion NewestKnownVersion = 0;
  std::map<DaemonId, Member> Others;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  std::map<LoadKey, unsigned> RemoteLoads;
  std::uint64_t NextNonce = 1;
  /// Round-robin position of the relayed reports.
  std::size_t RelayCursor = 0;
};

} // namespace sardinerill
