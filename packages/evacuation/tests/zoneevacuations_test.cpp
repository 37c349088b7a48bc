#include "sardinerill/evacuation/zoneevacuations.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

const ZoneId Zone1("z1");
const ZoneId Zone2("z2");

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

EvacuationRow request(const ZoneId &Zone, std::int64_t Version) {
  return {.Zone = Zone, .Version = Version};
}

EvacuationRow removal(const ZoneId &Zone, std::int64_t Version) {
  return {.Zone = Zone, .Version = Version, .Requested = false};
}

} // namespace

TEST_CASE("a request is in force until its removal, in the feed or missing "
          "from a full read") {
  ZoneEvacuations Evacuations;
  CHECK(Evacuations.applyChanges({{request(Zone1, 5)}}, at(10)).size() == 1);
  CHECK(Evacuations.applyChanges({{request(Zone2, 6)}}, at(20)).size() == 1);
  CHECK(Evacuations.zones() == std::set{Zone1, Zone2});
  CHECK(Evacuations.applyChanges({{removal(Zone1, 7)}}, at(30)).size() == 1);
  CHECK(Evacuations.zones() == std::set{Zone2});
  CHECK(Evacuations.applyFullRead({}, 8, at(40)).size() == 1);
  CHECK(Evacuations.zones().empty());
}

TEST_CASE("older information does not override newer information") {
  // The table answers reads from an older state after it has lost its history.
  // Taken for new, they would start tasks in a zone that is being evacuated,
  // or never start any there again.
  ZoneEvacuations Evacuations;
  Evacuations.applyChanges({{request(Zone1, 5)}}, at(10));
  CHECK(Evacuations.applyFullRead({}, 4, at(20)).empty());
  CHECK(Evacuations.isEvacuated(Zone1));
  Evacuations.applyChanges({{removal(Zone1, 9)}}, at(30));
  CHECK(Evacuations.applyFullRead({{request(Zone1, 5)}}, 8, at(40)).empty());
  CHECK_FALSE(Evacuations.isEvacuated(Zone1));
}

TEST_CASE("a request that is removed and made again is a new request") {
  // The status of the old one must not be shown for the new one.
  ZoneEvacuations Evacuations;
  Evacuations.applyChanges({{request(Zone1, 5)}}, at(10));
  // The daemon missed the removal.
  const auto Changes =
      Evacuations.applyFullRead({{request(Zone1, 8)}}, 9, at(500));
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].RequestVersion == 8);
  CHECK((Changes[0].Since == at(500)));
  // Read again without a change, it keeps its time.
  CHECK(Evacuations.applyFullRead({{request(Zone1, 8)}}, 12, at(900)).empty());
  CHECK((Evacuations.known()[0].Since == at(500)));
}

TEST_CASE("a request made and removed between two reads changes nothing") {
  ZoneEvacuations Evacuations;
  CHECK(Evacuations.applyChanges({{removal(Zone1, 6)}}, at(10)).empty());
  CHECK(Evacuations.zones().empty());
  // The request itself, read later from an older state, stays withdrawn.
  CHECK(Evacuations.applyFullRead({{request(Zone1, 5)}}, 5, at(20)).empty());
  CHECK(Evacuations.zones().empty());
}

TEST_CASE("what a peer knows covers what a stale read has missed") {
  ZoneEvacuations Peer;
  Peer.applyChanges({{request(Zone1, 7), removal(Zone2, 8)}}, at(10));
  ZoneEvacuations Restarted;
  Restarted.applyFullRead({{request(Zone2, 3)}}, 5, at(20));
  const auto States = decodeEvacuations(encodeEvacuations(Peer.known()));
  REQUIRE(States.has_value());
  CHECK(Restarted.applyPeerState(*States, at(30)).size() == 2);
  CHECK(Restarted.zones() == std::set{Zone1});
  // The stale peer of a daemon that is up to date changes nothing.
  Restarted.applyChanges({{removal(Zone1, 9)}}, at(40));
  CHECK(Restarted.applyPeerState(*States, at(50)).empty());
}

TEST_CASE("a malformed answer of a peer is an error") {
  for (const char *Text :
       {"", "\xff", "[]", "{}", R"({"zones":1})", R"({"zones":[1]})",
        R"({"zones":[{"zone":"","requested":true,"request-version":1,)"
        R"("known-at":1}]})",
        R"({"zones":[{"zone":"z","requested":1,"request-version":1,)"
        R"("known-at":1}]})"})
    CHECK_FALSE(decodeEvacuations(Text).has_value());
}

TEST_CASE("property: in any order of arrival, the newest information wins") {
  CHECK(rc::check([] {
    // The history of one zone: at each version the row exists or not.
    const auto History = *rc::gen::nonEmpty<std::vector<bool>>();
    const auto rowAt = [&](std::size_t Version) -> std::optional<std::int64_t> {
      if (!History[Version])
        return std::nullopt;
      while (Version > 0 && History[Version - 1])
        --Version;
      return std::int64_t(Version) + 1;
    };
    ZoneEvacuations Evacuations;
    std::size_t Newest = 0;
    const auto Order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, History.size()));
    for (const std::size_t Version : Order) {
      Newest = std::max(Newest, Version);
      std::vector<EvacuationRow> Rows;
      if (const auto Row = rowAt(Version))
        Rows.push_back(request(Zone1, *Row));
      Evacuations.applyFullRead(Rows, std::int64_t(Version) + 1, at(0));
    }
    RC_ASSERT(Evacuations.isEvacuated(Zone1) ==
              (!Order.empty() && History[Newest]));
  }));
}

TEST_CASE("a daemon starts no task before it knows the operators' rows") {
  // A new process that becomes the holder would start tasks in a zone whose
  // evacuation its predecessor knew of.
  OperatorRowsAge Rows;
  CHECK((Rows.startHold(at(0), true) == StartHold::NotInformed));
  Rows.recordRead(at(100));
  // The read may be stale; the peers have not answered yet.
  CHECK((Rows.startHold(at(150), true) == StartHold::NotInformed));
  Rows.endQuestions();
  CHECK((Rows.startHold(at(200), true) == StartHold::None));
}

TEST_CASE("the answer of a peer permits to start tasks while the table is "
          "away") {
  OperatorRowsAge Rows;
  Rows.endQuestions(); // No peer has answered.
  CHECK((Rows.startHold(at(9000), false) == StartHold::NotInformed));
  Rows.recordPeerState(at(9000));
  CHECK((Rows.startHold(at(9100), false) == StartHold::None));
  CHECK((Rows.startHold(at(90000), false) == StartHold::None));
}

TEST_CASE("nothing is started while the table answers but not for the "
          "operators' rows") {
  OperatorRowsAge Rows;
  Rows.recordRead(at(0));
  Rows.endQuestions();
  CHECK((Rows.startHold(at(2500), true) == StartHold::None));
  CHECK((Rows.startHold(at(2501), true) == StartHold::Stale));
  // Without the table no request can be acknowledged.
  CHECK((Rows.startHold(at(60000), false) == StartHold::None));
  // The state of a peer, whose own reads may be old, does not end this.
  Rows.recordPeerState(at(2600));
  CHECK((Rows.startHold(at(2700), true) == StartHold::Stale));
  Rows.recordRead(at(2650));
  CHECK((Rows.startHold(at(2700), true) == StartHold::None));
}

TEST_CASE("one lost answer in a row of long polls does not hold starts") {
  // A poll sent at 0 is answered after its wait of 1 s; the next one is lost
  // and fails 1.7 s later; a third, without a wait, is answered at once.
  CHECK((OperatorRowsAge::answerTime(at(0), seconds(1), true, at(1020)) ==
         at(1000)));
  OperatorRowsAge Rows;
  Rows.endQuestions();
  Rows.recordRead(
      OperatorRowsAge::answerTime(at(0), seconds(1), true, at(1020)));
  CHECK((Rows.startHold(at(3000), true) == StartHold::None));
  // An answer that came early, or with a change, was true when it was asked
  // for; when it was given is not known.
  CHECK(
      (OperatorRowsAge::answerTime(at(0), seconds(1), true, at(400)) == at(0)));
  CHECK((OperatorRowsAge::answerTime(at(0), seconds(1), false, at(1020)) ==
         at(0)));
}
