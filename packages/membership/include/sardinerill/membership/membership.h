#pragma once

#include "sardinerill/membership/membershiptypes.h"
#include "sardinerill/membership/peermessages.h"

#include <map>
#include <optional>
#include <random>
#include <set>

/// \file
/// Who the other daemons are, what they say of themselves, and what follows
/// for the freshness of the configuration. Pure: time and randomness come in.

namespace sardinerill {

/// Times and sizes of the gossip.
struct GossipOptions {
  /// Reports of others that ride along with one message.
  std::size_t EntriesPerMessage = 3;
  /// Silence after which a member is not asked for anything.
  Duration SilentAfter = seconds(10);
  /// Team loads in one report, largest first.
  std::size_t LoadsPerReport = 8;
};

/// A gossip that is to be sent.
struct OutgoingGossip {
  DaemonId To;
  Gossip Message;
};

/// One daemon's view of all.
class Membership {
public:
  Membership(DaemonId Self, Contact Where, GossipOptions Options);

  const DaemonId &self() const { return this->Self; }

  /// Starts one round: grows the heartbeat and picks whom to ask.
  /// Without a recent proof from the platform more members are asked, so that
  /// hearing all of them takes its place in time.
  std::vector<OutgoingGossip> tick(Instant Now, std::mt19937_64 &Random);
  /// Answers a peer's round.
  GossipReply answer(const DaemonId &From, const Gossip &Message, Instant Now);
  /// Takes the answer to an own round; one that was not asked for is dropped.
  void receive(const GossipReply &Message, Instant Now);

  /// \returns this daemon's report as of now, newer than any sent before.
  ReportPush pushReport(Instant Now);
  /// Takes a report that was pushed.
  void receive(const ReportPush &Message, Instant Now);

  /// Takes in the roster of the platform's table.
  void learnRoster(const std::map<DaemonId, Contact> &Roster, Instant Now);
  /// Drops a member for certain: the platform no longer lists its VM, or a
  /// successor runs there.
  void forget(const DaemonId &Gone);

  /// What this daemon says of itself from now on.
  void setVersion(FleetVersion Version);
  void setBusyDraining(std::vector<VmId> Busy);
  void setLoads(std::vector<TeamRunning> Loads);
  /// The platform named \p Version as the newest to a question asked at
  /// \p AskedAt.
  void proveNewest(FleetVersion Version, Instant AskedAt);
  /// \p From has \p Version in force.
  void noteVersion(const DaemonId &From, FleetVersion Version);

  /// \returns since when it is known that nothing newer was in force: by the
  /// platform, by a peer's evidence, or since every member was heard to know
  /// nothing newer.
  Instant freshSince() const;
  /// \returns the newest version heard of.
  FleetVersion newestHeard() const { return this->NewestHeard; }
  /// \returns members at which \p Version is not known to be in force.
  std::vector<DaemonId> pendingFor(FleetVersion Version) const;
  /// \returns members that still run work on \p Vm, or do not yet know version
  /// \p Version in which it drains.
  std::vector<DaemonId> busyOn(const VmId &Vm, FleetVersion Version) const;
  /// \returns running requests of \p Team in \p Pool at all other daemons.
  unsigned runningElsewhere(const PoolId &Pool, const TeamId &Team) const;

  /// \returns the other members heard lately.
  std::vector<DaemonId> alive(Instant Now) const;
  const std::map<DaemonId, Member> &members() const { return this->Others; }
  std::optional<Contact> contactOf(const DaemonId &Id) const;
  unsigned aliveInZone(const ZoneId &Zone, Instant Now) const;

private:
  void merge(const GossipEntry &Entry, Instant AsOf, Instant Now);
  std::vector<GossipEntry> entriesFor(const DaemonId &To, Instant Now);
  GossipEntry ownEntry(Instant Now) const;
  HeardAges heardAges(Instant Now) const;
  void takeAges(const HeardAges &Heard, Instant AskedAt);
  std::vector<DaemonId> everyone() const;
  OutgoingGossip ask(Instant Now, std::mt19937_64 &Random);
  void takeEvidence(const GossipEntry &Entry, Instant AsOf);
  void rebuildLoads();
  bool isSuperseded(const DaemonId &Id) const;

  struct LoadKey {
    PoolId Pool;
    TeamId Team;
    friend auto operator<=>(const LoadKey &, const LoadKey &) = default;
  };
  struct Asked {
    Instant At;
    DaemonId Whom;
  };

  DaemonId Self;
  Contact Where;
  GossipOptions Options;
  MemberReport Own;
  std::optional<Instant> ProvenAt;
  FleetVersion NewestHeard = 0;
  std::map<DaemonId, Member> Others;
  std::map<std::uint64_t, Asked> Outstanding;
  std::map<LoadKey, unsigned> LoadsElsewhere;
  std::uint64_t NextNonce = 1;
  std::size_t RelayCursor = 0;
};

} // namespace sardinerill
