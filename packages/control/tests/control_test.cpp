#include "sardinerill/control/dutylease.h"
#include "sardinerill/control/fleetkeeper.h"
#include "sardinerill/control/maintenanceduty.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/platform/memoryplatform.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

/// Runs both halves at once.
struct InlineBackground : IBackground {
  void run(std::function<void()> Work, std::function<void()> Done) override {
    Work();
    Done();
  }
};

struct SentPeers : IPeers {
  std::vector<std::pair<DaemonId, PeerMessage>> Sent;
  void send(const DaemonId &To, const PeerMessage &Message) override {
    this->Sent.emplace_back(To, Message);
  }
};

/// One daemon's keeper with everything around it.
struct Keeping {
  MemoryPlatform &Platform;
  InlineBackground Background;
  SentPeers Peers;
  Membership Members;
  PlatformGate Gate{1000, 1};
  ManualClock Clock;
  Metrics Figures;
  FleetKeeper Keeper;
  std::vector<FleetVersion> Adopted;

  Keeping(MemoryPlatform &Platform, const std::string &Name)
      : Platform(Platform), Members(DaemonId(Name + "#1"), Contact{}, {}),
        Keeper(Platform, Background, Peers, Members, Gate, Clock, Figures) {
    this->Clock.advance(seconds(100));
    this->Keeper.setAdopted([this](const std::shared_ptr<const Fleet> &Newest) {
      this->Adopted.push_back(Newest->Version);
    });
  }

  Result<FleetVersion> change(unsigned Budget) {
    Result<FleetVersion> Outcome = 0;
    this->Keeper.append(
        FleetChange{this->Keeper.snapshot().Version,
                    json{{"pools", {{"p", {{"maxUnavailable", Budget}}}}}},
                    "test",
                    {}},
        [&](Result<FleetVersion> Written) { Outcome = Written; });
    return Outcome;
  }
};

} // namespace

// Promise: an accepted configuration never reverts.
TEST_CASE("versions in force only grow, whatever brings them") {
  CHECK(rc::check("keepers", [] {
    MemoryPlatform Platform;
    std::vector<std::unique_ptr<Keeping>> All;
    for (int Number = 0; Number < 3; ++Number)
      All.push_back(
          std::make_unique<Keeping>(Platform, std::to_string(Number)));
    std::map<FleetVersion, json> Documents;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            60, rc::gen::pair(rc::gen::inRange(0U, 6U),
                              rc::gen::inRange(0U, 1000U)));
    for (const auto &[Event, Detail] : Events) {
      Keeping &Each = *All[Detail % 3];
      Keeping &Other = *All[(Detail + 1) % 3];
      Each.Clock.advance(seconds(10));
      switch (Event) {
      case 0:
        (void)Each.change(Detail % 40);
        break;
      case 1:
        Each.Keeper.poll();
        break;
      case 2:
        Platform.setFaults(
            {.Down = Detail % 3 == 0, .LoseReplies = int(Detail % 2)});
        break;
      case 3:
        Each.Keeper.onFleetReply(FleetReply{Other.Keeper.snapshot().Version,
                                            Other.Keeper.snapshot().Document});
        break;
      case 4:
        Each.Keeper.onVersionHint(Other.Members.self(),
                                  Other.Keeper.snapshot().Version);
        break;
      default:
        // A replacement starts with nothing.
        All[Detail % 3] =
            std::make_unique<Keeping>(Platform, std::to_string(Detail % 3));
      }
      for (const auto &Any : All) {
        RC_ASSERT(std::is_sorted(Any->Adopted.begin(), Any->Adopted.end()));
        const FleetSnapshot &Now = Any->Keeper.snapshot();
        const auto [Known, Fresh] =
            Documents.emplace(Now.Version, Now.Document);
        RC_ASSERT(Known->second == Now.Document);
      }
    }
  }));
}

TEST_CASE("a daemon that can't reach the platform learns from a peer") {
  MemoryPlatform Platform;
  Keeping Old(Platform, "old");
  REQUIRE(Old.change(3).has_value());
  Platform.setFaults({.Down = true});
  Keeping New(Platform, "new");
  New.Members.learnRoster({{Old.Members.self(), Contact{ZoneId("z"), "x", 1}}},
                          New.Clock.now());
  GossipEntry Entry{Old.Members.self(), Duration(0), {}, true, {}};
  Entry.Report.Heartbeat = 1;
  Entry.Report.Version = 1;
  (void)New.Members.answer(Old.Members.self(), Gossip{1, 1, {Entry}, {}},
                           New.Clock.now());
  New.Keeper.poll();
  REQUIRE(New.Peers.Sent.size() == 1);
  CHECK(std::get<FleetAsk>(New.Peers.Sent[0].second).Known == 0);
  Old.Keeper.onFleetAsk(New.Members.self(), 0);
  New.Keeper.onFleetReply(std::get<FleetReply>(Old.Peers.Sent.back().second));
  CHECK(New.Keeper.snapshot().Version == 1);
  CHECK(New.Keeper.snapshot().Document == Old.Keeper.snapshot().Document);
}

TEST_CASE("a change is told to every member, and each acknowledges") {
  MemoryPlatform Platform;
  Keeping A(Platform, "a");
  Keeping B(Platform, "b");
  A.Members.learnRoster({{B.Members.self(), Contact{ZoneId("z"), "x", 1}}},
                        A.Clock.now());
  REQUIRE(A.change(3).has_value());
  CHECK(A.Members.pendingFor(1) == std::vector<DaemonId>{B.Members.self()});
  // One hint is enough: the acknowledgement follows once the version is read.
  B.Keeper.onVersionHint(A.Members.self(), 1);
  const VersionAck Ack = std::get<VersionAck>(B.Peers.Sent.back().second);
  A.Members.noteVersion(B.Members.self(), Ack.Version);
  CHECK(A.Members.pendingFor(1).empty());
}

TEST_CASE("a daemon that commits a change goes on honouring keys") {
  MemoryPlatform Platform;
  Keeping A(Platform, "a");
  A.Keeper.poll();
  const Instant Before = A.Clock.now();
  A.Clock.advance(seconds(1));
  REQUIRE(A.change(3).has_value());
  CHECK(A.Members.freshSince() > Before);
}

TEST_CASE("a holder that was paused past its lease can commit nothing") {
  MemoryPlatform Platform;
  FleetLog Log(Platform);
  const DaemonId Paused("paused#1");
  const DaemonId Next("next#1");
  const DutyView First = holdDuty(Platform, "d", {}, Paused).value();
  DutyView Seen = readDuty(Platform, "d").value();
  Seen.SeenAt = Instant(seconds(1));
  CHECK((decideDuty(Seen, Next, Instant(seconds(5)), seconds(10)) ==
         DutyAction::Wait));
  CHECK((decideDuty(Seen, Next, Instant(seconds(11)), seconds(10)) ==
         DutyAction::Take));
  const DutyView Taken = holdDuty(Platform, "d", Seen, Next).value();
  CHECK(Taken.Fence == First.Fence + 1);
  const json Patch{{"rackMaxUnavailable", 5}};
  auto Late = Log.append({}, {0, Patch, "paused", {fenceOf("d", First)}});
  REQUIRE_FALSE(Late.has_value());
  CHECK(Late.error().Kind == ErrorKind::VersionConflict);
  CHECK_FALSE(holdDuty(Platform, "d", First, Paused).has_value());
  CHECK(Log.append({}, {0, Patch, "next", {fenceOf("d", Taken)}}).has_value());
}

// Promise: a planned stop cuts off no request in flight.
TEST_CASE("a VM is not rebooted before every daemon of the roster reported") {
  struct NothingKnown : IMaintenanceView {
    bool isSuspected(const VmId &) const override { return false; }
    unsigned runningOn(const VmId &) const override { return 0; }
  };
  MemoryPlatform Platform;
  Platform.setVms({{VmId("w"), VmListState::Live, 1}});
  // Another daemon that the holder has not heard of.
  REQUIRE(registerDaemon(Platform, {"other", 1},
                         Contact{ZoneId("z"), "127.0.0.1", 1})
              .has_value());
  Keeping Holder(Platform, "holder");
  NothingKnown View;
  MaintenanceDuty Duty(Platform, Holder.Background, Holder.Keeper,
                       Holder.Members, View, Holder.Gate, Holder.Clock,
                       Holder.Figures);
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
  Holder.Keeper.append(FleetChange{0, Document, "test", {}},
                       [](const Result<FleetVersion> &) {});
  auto StateOf = [&] {
    return Holder.Keeper.current()->Vms.at(VmId("w")).State;
  };
  for (int Round = 0; Round < 5; ++Round) {
    Holder.Clock.advance(seconds(6));
    Duty.tick();
  }
  CHECK((StateOf() == VmState::Draining));
  CHECK(Platform.rebooted().empty());
  GossipEntry Entry{DaemonId("other#1"), Duration(0), {}, true, {}};
  Entry.Report.Heartbeat = 1;
  Entry.Report.Version = Holder.Keeper.current()->Version;
  Holder.Members.receive(ReportPush{Entry}, Holder.Clock.now());
  for (int Round = 0; Round < 5; ++Round) {
    Holder.Clock.advance(seconds(6));
    Duty.tick();
  }
  CHECK((StateOf() == VmState::Serving));
  CHECK(Platform.rebooted() == std::vector<VmId>{VmId("w")});
}

TEST_CASE("a dropped duty is taken at once") {
  MemoryPlatform Platform;
  const DutyView Held = holdDuty(Platform, "d", {}, DaemonId("a#1")).value();
  REQUIRE(dropDuty(Platform, "d", Held).has_value());
  const DutyView Seen = readDuty(Platform, "d").value();
  CHECK((decideDuty(Seen, DaemonId("b#1"), Instant{}, seconds(10)) ==
         DutyAction::Take));
}

TEST_CASE("a restarted daemon registers above its predecessor") {
  MemoryPlatform Platform;
  const Contact Where{ZoneId("z"), "127.0.0.1", 1};
  CHECK(registerDaemon(Platform, {"vm", 100}, Where).value() == 100);
  Platform.setFaults({.LoseReplies = 1});
  // Its clock is behind.
  CHECK(registerDaemon(Platform, {"vm", 50}, Where).value() == 101);
  CHECK(readRoster(Platform)->size() == 1);
  // A predecessor that signs off late takes nothing away.
  REQUIRE(signOff(Platform, {"vm", 100}).has_value());
  CHECK(readRoster(Platform)->size() == 1);
  REQUIRE(signOff(Platform, {"vm", 101}).has_value());
  CHECK(readRoster(Platform)->empty());
}
