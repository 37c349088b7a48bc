#include "../../base/tests/logcapture.h"
#include "sardinerill/control/fleetreplica.h"
#include "sardinerill/control/leaderlease.h"
#include "sardinerill/control/maintenancecontroller.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

/// Runs the work and its completion handler synchronously.
struct InlineBackground : IBackgroundExecutor {
  void run(std::function<void()> Work, std::function<void()> Done) override {
    Work();
    Done();
  }
};

struct RecordingPeers : IPeerSender {
  std::vector<std::pair<DaemonId, PeerMessage>> Sent;
  void send(const DaemonId &To, const PeerMessage &Message) override {
    this->Sent.emplace_back(To, Message);
  }
};

/// The fleet replica of one daemon with its dependencies.
struct TestDaemon {
  InMemoryPlatform &Platform;
  InlineBackground Background;
  RecordingPeers Peers;
  Membership Members;
  PlatformCallLimiter Limiter{1000, 1};
  ManualClock Clock;
  Metrics Stats;
  FleetReplica Replica;
  std::vector<FleetVersion> Adopted;

  TestDaemon(InMemoryPlatform &Platform, const std::string &Name)
      : Platform(Platform), Members(DaemonId(Name + "#1"), PeerEndpoint{}, {}),
        Replica(Platform, Background, Peers, Members, Limiter, Clock, Stats) {
    this->Clock.advance(seconds(100));
    this->Replica.setVersionAppliedHandler(
        [this](const std::shared_ptr<const Fleet> &Newest) {
          this->Adopted.push_back(Newest->Version);
        });
  }

  Result<FleetVersion> change(unsigned Budget) {
    Result<FleetVersion> Outcome = 0;
    this->Replica.append(
        FleetChange{this->Replica.snapshot().Version,
                    json{{"pools", {{"p", {{"maxUnavailable", Budget}}}}}},
                    "test",
                    {}},
        [&](Result<FleetVersion> Written) { Outcome = Written; });
    return Outcome;
  }
};

} // namespace

// Guards against an accepted configuration being reverted. Platform outages,
// lost replies, peers with older versions and restarted daemons must not lower
// the version in force or change a version's document.
TEST_CASE(
    "the version in force never decreases, whether read from the platform or "
    "received from peers") {
  CHECK(rc::check("fleet replicas", [] {
    InMemoryPlatform Platform;
    std::vector<std::unique_ptr<TestDaemon>> Daemons;
    for (int Index = 0; Index < 3; ++Index)
      Daemons.push_back(
          std::make_unique<TestDaemon>(Platform, std::to_string(Index)));
    std::map<FleetVersion, json> Documents;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            60, rc::gen::pair(rc::gen::inRange(0U, 6U),
                              rc::gen::inRange(0U, 1000U)));
    for (const auto &[Event, Detail] : Events) {
      TestDaemon &Daemon = *Daemons[Detail % 3];
      TestDaemon &Other = *Daemons[(Detail + 1) % 3];
      Daemon.Clock.advance(seconds(10));
      switch (Event) {
      case 0:
        (void)Daemon.change(Detail % 40);
        break;
      case 1:
        Daemon.Replica.poll();
        break;
      case 2:
        Platform.setFaults(
            {.Unavailable = Detail % 3 == 0, .RepliesToDrop = int(Detail % 2)});
        break;
      case 3:
        Daemon.Replica.onFleetReply(
            FleetReply{Other.Replica.snapshot().Version,
                       Other.Replica.snapshot().Document});
        break;
      case 4:
        Daemon.Replica.onVersionHint(Other.Members.self(),
                                     Other.Replica.snapshot().Version);
        break;
      default:
        // A restarted daemon has no state.
        Daemons[Detail % 3] =
            std::make_unique<TestDaemon>(Platform, std::to_string(Detail % 3));
      }
      for (const auto &Checked : Daemons) {
        RC_ASSERT(
            std::is_sorted(Checked->Adopted.begin(), Checked->Adopted.end()));
        const FleetSnapshot &Now = Checked->Replica.snapshot();
        const auto [Entry, IsNew] =
            Documents.emplace(Now.Version, Now.Document);
        RC_ASSERT(Entry->second == Now.Document);
      }
    }
  }));
}

TEST_CASE(
    "a daemon that can't reach the platform fetches the fleet from a peer") {
  InMemoryPlatform Platform;
  TestDaemon Old(Platform, "old");
  REQUIRE(Old.change(3).has_value());
  Platform.setFaults({.Unavailable = true});
  TestDaemon New(Platform, "new");
  New.Members.applyRoster(
      {{Old.Members.self(), PeerEndpoint{ZoneId("z"), "x", 1}}},
      New.Clock.now());
  GossipEntry Entry{Old.Members.self(), Duration(0), {}, true, {}};
  Entry.Report.Heartbeat = 1;
  Entry.Report.Version = 1;
  (void)New.Members.handleGossip(Old.Members.self(), Gossip{1, 1, {Entry}, {}},
                                 New.Clock.now());
  New.Replica.poll();
  REQUIRE(New.Peers.Sent.size() == 1);
  CHECK(std::get<FleetRequest>(New.Peers.Sent[0].second).KnownVersion == 0);
  Old.Replica.onFleetRequest(New.Members.self(), 0);
  New.Replica.onFleetReply(std::get<FleetReply>(Old.Peers.Sent.back().second));
  CHECK(New.Replica.snapshot().Version == 1);
  CHECK(New.Replica.snapshot().Document == Old.Replica.snapshot().Document);
}

TEST_CASE("a member acknowledges a change once it has read it") {
  InMemoryPlatform Platform;
  TestDaemon A(Platform, "a");
  TestDaemon B(Platform, "b");
  A.Members.applyRoster({{B.Members.self(), PeerEndpoint{ZoneId("z"), "x", 1}}},
                        A.Clock.now());
  REQUIRE(A.change(3).has_value());
  CHECK(A.Members.daemonsBehind(1) == std::vector<DaemonId>{B.Members.self()});
  // One notification suffices: the acknowledgement is sent once the version has
  // been read.
  B.Replica.onVersionHint(A.Members.self(), 1);
  const VersionAck Ack = std::get<VersionAck>(B.Peers.Sent.back().second);
  A.Members.recordVersionAck(B.Members.self(), Ack.Version);
  CHECK(A.Members.daemonsBehind(1).empty());
}

TEST_CASE("committing a change confirms that the configuration is up to date") {
  InMemoryPlatform Platform;
  TestDaemon A(Platform, "a");
  A.Replica.poll();
  const Instant FreshBefore = A.Clock.now();
  A.Clock.advance(seconds(1));
  REQUIRE(A.change(3).has_value());
  CHECK(A.Members.confirmedNewestAt() > FreshBefore);
}

TEST_CASE("a holder that was suspended past its lease's expiry cannot commit") {
  InMemoryPlatform Platform;
  FleetLog Log(Platform);
  const DaemonId Paused("paused#1");
  const DaemonId Next("next#1");
  const LeaderLease First =
      acquireOrRenewLeaderLease(Platform, "d", {}, Paused).value();
  LeaderLease LastRead = readLeaderLease(Platform, "d").value();
  LastRead.FirstSeenAt = Instant(seconds(1));
  CHECK((decideLeaseAction(LastRead, Next, Instant(seconds(5)), seconds(10)) ==
         LeaseAction::Wait));
  CHECK((decideLeaseAction(LastRead, Next, Instant(seconds(11)), seconds(10)) ==
         LeaseAction::Acquire));
  const LeaderLease Acquired =
      acquireOrRenewLeaderLease(Platform, "d", LastRead, Next).value();
  CHECK(Acquired.FencingToken == First.FencingToken + 1);
  const json Patch{{"rackMaxUnavailable", 5}};
  auto LateChange =
      Log.append({}, {0, Patch, "paused", {leaseCondition("d", First)}});
  REQUIRE_FALSE(LateChange.has_value());
  CHECK(LateChange.error().Kind == ErrorKind::VersionConflict);
  CHECK_FALSE(
      acquireOrRenewLeaderLease(Platform, "d", First, Paused).has_value());
  CHECK(Log.append({}, {0, Patch, "next", {leaseCondition("d", Acquired)}})
            .has_value());
}

// Guards against requests in flight being cut off by a planned reboot: a daemon
// that the lease holder has not discovered may still run work on the VM.
TEST_CASE(
    "a VM is rebooted only after every daemon of the roster has reported") {
  struct IdleVmObserver : IVmObserver {
    bool isEjected(const VmId &) const override { return false; }
    unsigned runningTaskCount(const VmId &) const override { return 0; }
  };
  InMemoryPlatform Platform;
  Platform.setVms({{VmId("w"), VmListState::Live, 1}});
  // A registered daemon from which the holder has received no report.
  REQUIRE(registerDaemon(Platform, {"other", 1},
                         PeerEndpoint{ZoneId("z"), "127.0.0.1", 1})
              .has_value());
  TestDaemon Holder(Platform, "holder");
  IdleVmObserver Observer;
  MaintenanceController Controller(Platform, Holder.Background, Holder.Replica,
                                   Holder.Members, Observer, Holder.Limiter,
                                   Holder.Clock, Holder.Stats);
  const json Document{{"rackMaxUnavailable", 1},
                      {"pools", {{"p", {{"generation", 1}}}}},
                      {"zones", {{"z", json::object()}}},
                      {"vms",
                       {{"w",
                         {{"pool", "p"},
                          {"zone", "z"},
                          {"rack", "r"},
                          {"address", "10.0.0.1"},
                          {"port", 1}}}}}};
  Holder.Replica.append(FleetChange{0, Document, "test", {}},
                        [](const Result<FleetVersion> &) {});
  auto StateOf = [&] {
    return Holder.Replica.current()->Vms.at(VmId("w")).State;
  };
  for (int Round = 0; Round < 5; ++Round) {
    Holder.Clock.advance(seconds(6));
    Controller.tick();
  }
  CHECK((StateOf() == VmState::Draining));
  CHECK(Platform.rebootedVms().empty());
  GossipEntry Entry{DaemonId("other#1"), Duration(0), {}, true, {}};
  Entry.Report.Heartbeat = 1;
  Entry.Report.Version = Holder.Replica.current()->Version;
  Holder.Members.handleReportPush(ReportPush{Entry}, Holder.Clock.now());
  for (int Round = 0; Round < 5; ++Round) {
    Holder.Clock.advance(seconds(6));
    Controller.tick();
  }
  CHECK((StateOf() == VmState::Serving));
  CHECK(Platform.rebootedVms() == std::vector<VmId>{VmId("w")});
}

TEST_CASE("a released lease can be acquired at once") {
  InMemoryPlatform Platform;
  const LeaderLease Held =
      acquireOrRenewLeaderLease(Platform, "d", {}, DaemonId("a#1")).value();
  REQUIRE(releaseLeaderLease(Platform, "d", Held).has_value());
  const LeaderLease LastRead = readLeaderLease(Platform, "d").value();
  CHECK((decideLeaseAction(LastRead, DaemonId("b#1"), Instant{}, seconds(10)) ==
         LeaseAction::Acquire));
}

TEST_CASE("a restarted daemon registers with a higher incarnation") {
  InMemoryPlatform Platform;
  const PeerEndpoint Endpoint{ZoneId("z"), "127.0.0.1", 1};
  CHECK(registerDaemon(Platform, {"vm", 100}, Endpoint).value() == 100);
  Platform.setFaults({.RepliesToDrop = 1});
  // The restarted daemon's clock is behind, so it requests a lower incarnation.
  CHECK(registerDaemon(Platform, {"vm", 50}, Endpoint).value() == 101);
  CHECK(readRoster(Platform)->size() == 1);
  // A late sign-off of the previous process does not remove the new row.
  REQUIRE(deregisterDaemon(Platform, {"vm", 100}).has_value());
  CHECK(readRoster(Platform)->size() == 1);
  REQUIRE(deregisterDaemon(Platform, {"vm", 101}).has_value());
  CHECK(readRoster(Platform)->empty());
}

// Peers ignore an incarnation that is lower than the stored one. A row that is
// raised at each renewal makes the running process an old one.
TEST_CASE("a running daemon never registers an incarnation other than its "
          "own") {
  InMemoryPlatform Platform;
  const PeerEndpoint Endpoint{ZoneId("z"), "127.0.0.1", 1};
  const DaemonIdentity Self{"vm", 100};
  const auto IsStored = [&](std::uint64_t Incarnation) {
    const auto Roster = readRoster(Platform);
    return Roster->size() == 1 &&
           Roster->contains(makeDaemonId({"vm", Incarnation}));
  };
  // The daemon started while the platform was away; an earlier process is
  // stored.
  REQUIRE(registerDaemon(Platform, {"vm", 40}, Endpoint).has_value());
  CHECK(renewRegistration(Platform, Self, Endpoint).has_value());
  CHECK(IsStored(100));
  // Renewed again, because the reply of the roster was lost.
  CHECK(renewRegistration(Platform, Self, Endpoint).has_value());
  CHECK(IsStored(100));
  // The row was removed by an operator.
  REQUIRE(deregisterDaemon(Platform, Self).has_value());
  Platform.setFaults({.RepliesToDrop = 1});
  CHECK(renewRegistration(Platform, Self, Endpoint).has_value());
  CHECK(IsStored(100));
}

TEST_CASE("a running daemon learns of a higher stored incarnation and leaves "
          "it in place") {
  InMemoryPlatform Platform;
  const PeerEndpoint Endpoint{ZoneId("z"), "127.0.0.1", 1};
  REQUIRE(registerDaemon(Platform, {"vm", 200}, Endpoint).has_value());
  const auto Renewed = renewRegistration(Platform, {"vm", 100}, Endpoint);
  REQUIRE_FALSE(Renewed.has_value());
  CHECK((Renewed.error().Kind == ErrorKind::VersionConflict));
  CHECK(readRoster(Platform)->contains(makeDaemonId({"vm", 200})));
  Platform.setFaults({.Unavailable = true});
  const auto Unknown = renewRegistration(Platform, {"vm", 100}, Endpoint);
  REQUIRE_FALSE(Unknown.has_value());
  CHECK((Unknown.error().Kind == ErrorKind::PlatformUnavailable));
}

// Peers don't gossip with a daemon whose row they can't read.
TEST_CASE("a roster row that can't be decoded is logged and doesn't hide the "
          "others") {
  InMemoryPlatform Platform;
  REQUIRE(registerDaemon(Platform, {"good", 1},
                         PeerEndpoint{ZoneId("z"), "127.0.0.1", 1})
              .has_value());
  REQUIRE(Platform
              .commit({makeWriteId(),
                       {},
                       {{RowKey{"daemons", "broken"}, R"({"zone": 3})"}}})
              .has_value());
  Result<std::map<DaemonId, PeerEndpoint>> Roster;
  const std::string Log = captureLog([&] { Roster = readRoster(Platform); });
  REQUIRE(Roster.has_value());
  CHECK(Roster->size() == 1);
  CHECK(Roster->contains(DaemonId("good#1")));
  CHECK(Log.find("event=roster.row_unreadable daemon=broken") !=
        std::string::npos);
}
