#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/fleet/fleetlog.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

json poolPatch(const std::string &Name, unsigned Budget) {
  return json{{"pools", {{Name, {{"maxUnavailable", Budget}}}}}};
}

/// An operator whose copy of the fleet may be outdated.
struct Operator {
  FleetSnapshot LocalCopy;
};

} // namespace

TEST_CASE(
    "of two changes based on the same version, the second gets a conflict") {
  InMemoryPlatform Platform;
  FleetLog Log(Platform);
  auto First = Log.append({}, {0, poolPatch("bend", 1), "ann", {}});
  REQUIRE(First.has_value());
  auto Second = Log.append({}, {0, poolPatch("bend", 9), "bob", {}});
  REQUIRE_FALSE(Second.has_value());
  CHECK(Second.error().Kind == ErrorKind::VersionConflict);
  CHECK(Log.catchUp({})->Document == First->Document);
}

TEST_CASE("an invalid change is rejected with all errors and commits nothing") {
  InMemoryPlatform Platform;
  FleetLog Log(Platform);
  json InvalidPatch{
      {"pools", {{"bend", {{"slots", 3}, {"maxUnavailable", -1}}}}},
      {"classes", {{"quote", {{"pool", "nowhere"}}}}}};
  auto Rejected = Log.append({}, {0, InvalidPatch, "ann", {}});
  REQUIRE_FALSE(Rejected.has_value());
  const std::string &Detail = Rejected.error().Detail;
  for (const char *Fault :
       {"pools.bend.slots: unknown field", "pools.bend.maxUnavailable",
        "classes.quote.targetMs: is missing", "nowhere"})
    CHECK(Detail.find(Fault) != std::string::npos);
  CHECK(Platform.commitCount() == 0);
}

TEST_CASE("a diff applied as a patch gives the target document") {
  CHECK(rc::check("diff then patch", [] {
    auto Generate = [] {
      json Document = json::object();
      const auto Names =
          *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 6U));
      for (unsigned Name : Names)
        Document["pools"]["p" + std::to_string(Name)] = {
            {"maxUnavailable", *rc::gen::inRange(0U, 4U)}};
      return Document;
    };
    const json From = Generate();
    const json To = Generate();
    json Patched = From;
    Patched.merge_patch(diffDocuments(From, To));
    RC_ASSERT(Patched == To);
  }));
}

// Guards against an accepted configuration being reverted or overwritten when
// operators append from outdated copies and replies are lost. The reference
// model is a plain list of the documents whose change was acknowledged.
TEST_CASE("concurrent changes with lost replies never revert a version") {
  CHECK(rc::check("versions never decrease and keep their content", [] {
    InMemoryPlatform Platform;
    FleetLog Log(Platform);
    std::vector<Operator> Operators(3);
    std::vector<json> Accepted{json::object()};
    const auto Steps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U));
    for (unsigned Step : Steps) {
      Operator &Actor = Operators[Step % 3];
      const unsigned Action = (Step / 3) % 4;
      if (Action == 0)
        Platform.setFaults({.RepliesToDrop = 1});
      if (Action == 1) {
        auto CaughtUp = Log.catchUp(Actor.LocalCopy);
        RC_ASSERT(CaughtUp.has_value());
        RC_ASSERT(CaughtUp->Version >= Actor.LocalCopy.Version);
        Actor.LocalCopy = *CaughtUp;
        RC_ASSERT(Actor.LocalCopy.Document ==
                  Accepted[Actor.LocalCopy.Version]);
        continue;
      }
      auto Done = Log.append(
          Actor.LocalCopy,
          {Actor.LocalCopy.Version, poolPatch("p", Step % 50), "x", {}});
      if (!Done)
        continue;
      RC_ASSERT(Done->Version == Accepted.size());
      Accepted.push_back(Done->Document);
      Actor.LocalCopy = *Done;
    }
    RC_ASSERT(Log.catchUp({})->Document == Accepted.back());
  }));
}

TEST_CASE("a ceiling is stored with the version that last changed it") {
  InMemoryPlatform Platform;
  FleetLog Log(Platform);
  FleetSnapshot Newest;
  auto Change = [&](const json &Patch) {
    Newest = Log.append(Newest, {Newest.Version, Patch, "x", {}}).value();
  };
  Change({{"teams", {{"a", {{"ceiling", 3}}}, {"b", {{"ceiling", 1}}}}}});
  Change({{"teams", {{"a", {{"ceiling", 5}, {"ceilingVersion", 77}}}}}});
  Change({{"teams", {{"b", {{"share", 4}}}}}});
  const Fleet Parsed = parseFleet(Newest.Document, Newest.Version).value();
  CHECK(Parsed.Teams.at(TeamId("a")).CeilingVersion == 2);
  CHECK(Parsed.Teams.at(TeamId("b")).CeilingVersion == 1);
}

TEST_CASE("a daemon that starts after 200 changes loads a snapshot") {
  InMemoryPlatform Platform;
  FleetLog Log(Platform);
  FleetSnapshot Newest;
  for (unsigned Step = 0; Step < 200; ++Step) {
    auto Done =
        Log.append(Newest, {Newest.Version, poolPatch("p", Step), "x", {}});
    REQUIRE(Done.has_value());
    Newest = *Log.catchUp(*Done);
  }
  auto Fresh = Log.catchUp({});
  REQUIRE(Fresh.has_value());
  CHECK(Fresh->Version == 200);
  // The second snapshot or a later one; they are 64 changes apart.
  CHECK(Fresh->SnapshotVersion >= 128);
  CHECK(Fresh->Document == Newest.Document);
}
