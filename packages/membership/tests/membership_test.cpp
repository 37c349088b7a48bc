#include "sardinerill/membership/membership.h"
#include "sardinerill/membership/peermessages.h"

#include <array>
#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

DaemonId daemonAt(int Number, std::uint64_t Incarnation = 1) {
  return makeDaemonId({"entry-" + std::to_string(Number), Incarnation});
}

PeerEndpoint endpointAt(int Number) {
  return {ZoneId("z" + std::to_string(Number % 3)), "127.0.0.1",
          static_cast<unsigned short>(1000 + Number)};
}

/// Daemons whose messages are delivered synchronously by the test.
struct Cluster {
  std::vector<Membership> Views;
  Instant Now{seconds(1000)};
  std::mt19937_64 Random{7};
  std::set<std::pair<int, int>> CutLinks;

  explicit Cluster(int Count) {
    std::map<DaemonId, PeerEndpoint> Roster;
    for (int Number = 0; Number < Count; ++Number)
      Roster[daemonAt(Number)] = endpointAt(Number);
    for (int Number = 0; Number < Count; ++Number) {
      this->Views.emplace_back(daemonAt(Number), endpointAt(Number),
                               GossipOptions{});
      this->Views.back().applyRoster(Roster, this->Now);
    }
  }

  int numberOf(const DaemonId &Id) const {
    return std::stoi(Id.str().substr(6));
  }

  bool isLinkCut(int A, int B) const {
    return this->CutLinks.contains({std::min(A, B), std::max(A, B)});
  }

  /// Advances the time by one second and runs a gossip round of every daemon.
  void runRound() {
    this->Now += seconds(1);
    for (std::size_t From = 0; From < this->Views.size(); ++From) {
      for (const OutgoingGossip &Out :
           this->Views[From].tick(this->Now, this->Random)) {
        const auto To = std::size_t(this->numberOf(Out.To));
        if (this->isLinkCut(int(From), int(To)))
          continue;
        auto Reply = this->Views[To].handleGossip(this->Views[From].self(),
                                                  Out.Message, this->Now);
        this->Views[From].handleGossipReply(Reply, this->Now);
      }
    }
  }
};

} // namespace

TEST_CASE("gossip spreads a new fleet version to 48 daemons within 8 rounds") {
  Cluster Daemons(48);
  for (int Round = 0; Round < 30; ++Round)
    Daemons.runRound();
  Daemons.Views[0].setVersion(9);
  int Rounds = 0;
  auto CountOutdated = [&] {
    return std::count_if(
        Daemons.Views.begin(), Daemons.Views.end(),
        [](const Membership &M) { return M.newestKnownVersion() < 9; });
  };
  while (CountOutdated() > 0 && Rounds < 100) {
    Daemons.runRound();
    ++Rounds;
  }
  // A new version must reach all daemons within 8 s, which is 8 rounds, by
  // gossip alone, without polling the platform's table.
  CHECK(Rounds <= 8);
}

TEST_CASE(
    "a confirmation spreads only to daemons with the same fleet version") {
  Cluster Daemons(8);
  for (Membership &Each : Daemons.Views)
    Each.setVersion(3);
  Daemons.Views[0].setVersion(4);
  for (int Round = 0; Round < 20; ++Round) {
    Daemons.Views[0].confirmNewestVersion(4, Daemons.Now);
    Daemons.runRound();
  }
  CHECK(Daemons.Views[0].confirmedNewestAt() >= Daemons.Now - seconds(2));
  CHECK(Daemons.Views[1].confirmedNewestAt() == Instant{});
  Daemons.Views[1].setVersion(4);
  for (int Round = 0; Round < 20; ++Round) {
    Daemons.Views[0].confirmNewestVersion(4, Daemons.Now);
    Daemons.runRound();
  }
  CHECK(Daemons.Views[1].confirmedNewestAt() >= Daemons.Now - seconds(10));
}

TEST_CASE(
    "without the platform, contact with all members confirms the version") {
  for (int Count : {6, 48}) {
    Cluster Daemons(Count);
    for (Membership &Each : Daemons.Views)
      Each.setVersion(3);
    for (int Round = 0; Round < 60; ++Round)
      Daemons.runRound();
    Duration Oldest{0};
    for (int Round = 0; Round < 60; ++Round) {
      Daemons.runRound();
      for (Membership &Each : Daemons.Views)
        Oldest = std::max(Oldest, Daemons.Now - Each.confirmedNewestAt());
    }
    // The default of the setting cutOff.serveKeysForMs.
    CHECK(Oldest <= seconds(10));
  }
  Cluster Daemons(6);
  for (Membership &Each : Daemons.Views)
    Each.setVersion(3);
  for (int Round = 0; Round < 60; ++Round)
    Daemons.runRound();
  // One daemon is cut off from all others, so it cannot learn of newer
  // versions.
  for (int Other = 1; Other < 6; ++Other)
    Daemons.CutLinks.insert({0, Other});
  for (int Round = 0; Round < 20; ++Round)
    Daemons.runRound();
  CHECK(Daemons.Views[0].confirmedNewestAt() < Daemons.Now - seconds(10));
}

// Guards against refusing work as soon as a newer version is announced, while
// the last confirmation is still recent enough.
TEST_CASE("learning of a newer version keeps the last confirmation") {
  Membership View(daemonAt(0), endpointAt(0), {});
  View.setVersion(3);
  View.confirmNewestVersion(3, Instant(seconds(100)));
  (void)View.handleGossip(daemonAt(1), Gossip{1, 4, {}, {}},
                          Instant(seconds(101)));
  CHECK(View.newestKnownVersion() == 4);
  CHECK(View.confirmedNewestAt() == Instant(seconds(100)));
  View.setVersion(4);
  CHECK(View.confirmedNewestAt() == Instant(seconds(100)));
}

// Guards against accepting a withdrawn key: a daemon must not consider its
// configuration confirmed for a time at which a newer version was already in
// force at a daemon that it had contact with.
TEST_CASE(
    "an outdated daemon's confirmation is never later than the start of the "
    "newer version") {
  CHECK(rc::check("confirmation time", [] {
    Cluster Daemons(5);
    for (Membership &Each : Daemons.Views)
      Each.setVersion(1);
    std::optional<Instant> NewVersionAt;
    const auto Steps =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000));
    for (int Step : Steps) {
      const int A = Step % 5;
      const int B = (Step / 5) % 5;
      if (Step % 7 == 0 && A != B)
        Daemons.CutLinks.insert({std::min(A, B), std::max(A, B)});
      if (Step % 11 == 0)
        Daemons.CutLinks.clear();
      if (Step % 97 == 0 && !NewVersionAt) {
        Daemons.Views[std::size_t(A)].setVersion(2);
        NewVersionAt = Daemons.Now;
      }
      if (!NewVersionAt && Step % 3 == 0)
        Daemons.Views[std::size_t(B)].confirmNewestVersion(1, Daemons.Now);
      Daemons.runRound();
      for (std::size_t Each = 0; NewVersionAt && Each < 5; ++Each)
        if (Daemons.Views[Each].daemonsBehind(2).front() ==
            Daemons.Views[Each].self())
          RC_ASSERT(Daemons.Views[Each].confirmedNewestAt() <= *NewVersionAt);
    }
  }));
}

TEST_CASE(
    "a restarted daemon replaces its old incarnation, whose later messages "
    "are ignored") {
  Membership View(daemonAt(0), endpointAt(0), {});
  const Instant Now(seconds(5));
  auto ReceiveHeartbeat = [&](std::uint64_t Incarnation,
                              std::uint64_t Heartbeat) {
    GossipEntry Entry{
        daemonAt(1, Incarnation), Duration(0), {}, true, endpointAt(1)};
    Entry.Report.Heartbeat = Heartbeat;
    View.handleGossip(daemonAt(1, Incarnation), Gossip{1, 0, {Entry}, {}}, Now);
  };
  ReceiveHeartbeat(1, 50);
  ReceiveHeartbeat(2, 1);
  ReceiveHeartbeat(1, 51);
  REQUIRE(View.otherMembers().size() == 1);
  CHECK(View.otherMembers().begin()->first == daemonAt(1, 2));
}

TEST_CASE("a report older than the member timeout does not add a member") {
  Membership View(daemonAt(0), endpointAt(0), {});
  GossipEntry Entry{daemonAt(1), seconds(11), {}, true, endpointAt(1)};
  Entry.Report.Heartbeat = 50;
  (void)View.handleGossip(daemonAt(2), Gossip{1, 0, {Entry}, {}},
                          Instant(seconds(5)));
  CHECK(View.otherMembers().empty());
  Entry.Age = seconds(1);
  (void)View.handleGossip(daemonAt(2), Gossip{2, 0, {Entry}, {}},
                          Instant(seconds(5)));
  CHECK(View.otherMembers().size() == 1);
}

TEST_CASE(
    "a pushed report clears a busy VM and a late older report is ignored") {
  Membership Observer(daemonAt(0), endpointAt(0), {});
  Membership BusyDaemon(daemonAt(1), endpointAt(1), {});
  Observer.setVersion(7);
  BusyDaemon.setVersion(7);
  Observer.applyRoster({{daemonAt(1), endpointAt(1)}}, Instant(seconds(1)));
  BusyDaemon.setDrainingVmsWithWork({VmId("w1")});
  const ReportPush Busy = BusyDaemon.createReportPush(Instant(seconds(1)));
  BusyDaemon.setDrainingVmsWithWork({});
  const ReportPush Done = BusyDaemon.createReportPush(Instant(seconds(2)));
  Observer.handleReportPush(Busy, Instant(seconds(2)));
  CHECK(Observer.daemonsBusyOn(VmId("w1"), 7).size() == 1);
  Observer.handleReportPush(Done, Instant(seconds(2)));
  CHECK(Observer.daemonsBusyOn(VmId("w1"), 7).empty());
  // The older report arrives after the newer one.
  Observer.handleReportPush(Busy, Instant(seconds(3)));
  CHECK(Observer.daemonsBusyOn(VmId("w1"), 7).empty());
}

// The team's share would be counted as used by a daemon that is gone.
TEST_CASE("the load of a member that left the roster no longer counts") {
  for (const bool IsReplaced : {false, true}) {
    Membership View(daemonAt(0), endpointAt(0), {});
    Instant Now(seconds(1000));
    GossipEntry Entry{daemonAt(1), Duration(0), {}, true, endpointAt(1)};
    Entry.Report.Heartbeat = 1;
    Entry.Report.Loads = {{PoolId("p"), TeamId("t"), 6}};
    View.handleReportPush(ReportPush{Entry}, Now);
    CHECK(View.runningOnOtherDaemons(PoolId("p"), TeamId("t")) == 6);
    std::map<DaemonId, PeerEndpoint> Roster;
    if (IsReplaced)
      Roster[daemonAt(1, 2)] = endpointAt(1);
    for (int Round = 0; Round < 3; ++Round) {
      Now += seconds(60);
      View.applyRoster(Roster, Now);
    }
    REQUIRE_FALSE(View.otherMembers().contains(daemonAt(1)));
    CHECK(View.runningOnOtherDaemons(PoolId("p"), TeamId("t")) == 0);
  }
}

// Guards against finishing a drain too early: an acknowledgement says nothing
// about the busy VMs in the last report, which may predate the version.
TEST_CASE(
    "an acknowledged version does not update the list of draining VMs with "
    "work") {
  Membership View(daemonAt(0), endpointAt(0), {});
  View.setVersion(7);
  View.applyRoster({{daemonAt(1), endpointAt(1)}}, Instant(seconds(1)));
  View.recordVersionAck(daemonAt(1), 7);
  CHECK(View.daemonsBehind(7).empty());
  CHECK(View.daemonsBusyOn(VmId("w1"), 7) ==
        std::vector<DaemonId>{daemonAt(1)});
}

TEST_CASE(
    "decoding an encoded message returns the same message, with gossip ages "
    "rounded up") {
  const PeerCodec Codec("secret");
  GossipEntry Entry{daemonAt(3), milliseconds(4), {}, true, endpointAt(3)};
  Entry.Report = {
      9, 8, milliseconds(7), {VmId("w")}, {{PoolId("p"), TeamId("t"), 6}}};
  const std::vector<PeerMessage> Messages{
      VersionHint{4},
      VersionAck{5},
      LoanRequestMessage{{1, ResourceId("team/a"), 2, true}},
      LoanReply{1,
                ResourceId("team/a"),
                {{daemonAt(1), 7}, 2, milliseconds(2000), 5, seconds(30)}},
      LoanReturn{ResourceId("vm/b"), 3},
      FleetRequest{1},
      FleetReply{2, nlohmann::json{{"pools", 1}}}};
  for (const PeerMessage &Message : Messages) {
    auto Decoded = Codec.decode(Codec.encode({daemonAt(1), Message}));
    REQUIRE(Decoded.has_value());
    CHECK(*Decoded == PeerEnvelope{daemonAt(1), Message});
  }
  auto Decoded =
      Codec.decode(Codec.encode({daemonAt(1), Gossip{2, 0, {Entry}, {}}}));
  REQUIRE(Decoded.has_value());
  const GossipEntry &DecodedEntry =
      std::get<Gossip>(Decoded->Message).Entries.at(0);
  CHECK(DecodedEntry.Endpoint == Entry.Endpoint);
  CHECK(DecodedEntry.Report.Loads == Entry.Report.Loads);
  // Ages may only be rounded up.
  CHECK(DecodedEntry.Report.ConfirmationAge >= Entry.Report.ConfirmationAge);
}

namespace {

constexpr std::size_t MacBytes = 16;

/// \returns a frame with \p Payload whose authentication code is right.
std::string seal(const std::string &Secret, const std::string &Payload) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  HMAC(EVP_sha256(), Secret.data(), int(Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Mac.data(), nullptr);
  return std::string(Mac.begin(), Mac.begin() + MacBytes) + Payload;
}

/// One message of each type.
std::vector<PeerMessage> messagesOfAllTypes() {
  GossipEntry Entry{daemonAt(2), milliseconds(4), {}, true, endpointAt(2)};
  Entry.Report = {
      9, 8, milliseconds(7), {VmId("w")}, {{PoolId("p"), TeamId("t"), 6}}};
  return {Gossip{1, 2, {Entry}, {5, {1, 2}}},
          GossipReply{1, 2, {Entry}, {5, {1, 2}}},
          VersionHint{4},
          VersionAck{5},
          LoanRequestMessage{{1, ResourceId("team/a"), 2, true}},
          LoanReply{1,
                    ResourceId("team/a"),
                    {{daemonAt(1), 7}, 2, milliseconds(2000), 5, seconds(30)}},
          LoanReturn{ResourceId("vm/b"), 3},
          FleetRequest{1},
          FleetReply{2, nlohmann::json{{"pools", 1}}},
          ReportPush{Entry}};
}

} // namespace

TEST_CASE("empty, forged and changed frames are refused") {
  const PeerCodec Codec("secret");
  CHECK_FALSE(Codec.decode("").has_value());
  CHECK(PeerCodec("other")
            .decode(Codec.encode({daemonAt(1), VersionHint{1}}))
            .error()
            .Kind == ErrorKind::NotPermitted);
  CHECK(rc::check("frames with one byte overwritten", [&] {
    const PeerMessage Message = *rc::gen::elementOf(messagesOfAllTypes());
    const std::string Frame = Codec.encode({daemonAt(1), Message});
    std::string Changed = Frame;
    Changed[*rc::gen::inRange<std::size_t>(0, Frame.size())] =
        *rc::gen::arbitrary<char>();
    const auto Decoded = Codec.decode(Changed);
    RC_ASSERT(Decoded.has_value() == (Changed == Frame));
    if (!Decoded)
      RC_ASSERT((Decoded.error().Kind == ErrorKind::NotPermitted));
  }));
}

// A peer of another build, or one with a fault, signs what it sends: the
// authentication code doesn't keep malformed messages out.
TEST_CASE("a malformed message of a peer that knows the secret is refused or "
          "harmless") {
  const std::string Secret = "secret";
  const PeerCodec Codec(Secret);
  CHECK(messagesOfAllTypes().size() == std::variant_size_v<PeerMessage>);
  std::size_t Refused = 0;
  std::size_t Accepted = 0;
  CHECK(rc::check("payloads that were changed before they were signed", [&] {
    const PeerMessage Message = *rc::gen::elementOf(messagesOfAllTypes());
    std::string Payload = Codec.encode({daemonAt(1), Message}).substr(MacBytes);
    const auto Changes = *rc::gen::inRange(1, 4);
    for (int Change = 0; Change < Changes; ++Change)
      Payload[*rc::gen::inRange<std::size_t>(0, Payload.size())] =
          static_cast<char>(
              *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 256)));
    if (*rc::gen::inRange(0, 5) == 4)
      Payload.resize(*rc::gen::inRange<std::size_t>(0, Payload.size()));
    const auto Decoded = Codec.decode(seal(Secret, Payload));
    if (!Decoded) {
      ++Refused;
      RC_ASSERT((Decoded.error().Kind == ErrorKind::BadRequest));
      RC_ASSERT_FALSE(Decoded.error().Detail.empty());
      return;
    }
    ++Accepted;
    // What was accepted keeps its type and can be sent on.
    const auto Again = Codec.decode(Codec.encode(*Decoded));
    RC_ASSERT(Again.has_value());
    RC_ASSERT(Again->From == Decoded->From);
    RC_ASSERT(Again->Message.index() == Decoded->Message.index());
    Membership View(daemonAt(0), endpointAt(0), {});
    const Instant Now(seconds(1000));
    std::mt19937_64 Random(7);
    if (const auto *Request = std::get_if<Gossip>(&Decoded->Message)) {
      (void)View.handleGossip(Decoded->From, *Request, Now);
    } else if (auto *Reply = std::get_if<GossipReply>(&Decoded->Message)) {
      View.applyRoster({{daemonAt(1), endpointAt(1)}}, Now);
      GossipReply Expected = *Reply;
      Expected.Nonce = View.tick(Now, Random).front().Message.Nonce;
      View.handleGossipReply(Expected, Now);
    } else if (const auto *Push = std::get_if<ReportPush>(&Decoded->Message)) {
      View.handleReportPush(*Push, Now);
    }
    // A confirmation or report from the future would keep a withdrawn key.
    RC_ASSERT(View.confirmedNewestAt() <= Now);
    for (const OutgoingGossip &Out : View.tick(Now + seconds(1), Random))
      RC_ASSERT(
          Codec.decode(Codec.encode({View.self(), Out.Message})).has_value());
  }));
  // At any number of cases, both outcomes have a share of them.
  CHECK(Refused > (Refused + Accepted) / 4);
  CHECK(Accepted > (Refused + Accepted) / 10);
}
