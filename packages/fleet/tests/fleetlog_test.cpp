#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/fleet/fleetlog.h"
#include "sardinerill/platform/memoryplatform.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

json poolPatch(const std::string &Name, unsigned Budget) {
  return json{{"pools", {{Name, {{"maxUnavailable", Budget}}}}}};
}

/// One operator with a view that may have grown old.
struct Operator {
  FleetSnapshot View;
};

} // namespace

TEST_CASE("two operators racing on one version: one wins, the other is told") {
  MemoryPlatform Platform;
  FleetLog Log(Platform);
  auto First = Log.append({}, {0, poolPatch("bend", 1), "ann", {}});
  REQUIRE(First.has_value());
  auto Second = Log.append({}, {0, poolPatch("bend", 9), "bob", {}});
  REQUIRE_FALSE(Second.has_value());
  CHECK(Second.error().Kind == ErrorKind::VersionConflict);
  CHECK(Log.catchUp({})->Document == First->Document);
}

TEST_CASE("an invalid change names every fault and changes nothing") {
  MemoryPlatform Platform;
  FleetLog Log(Platform);
  json Bad{{"pools", {{"bend", {{"slots", 3}, {"maxUnavailable", -1}}}}},
           {"classes", {{"quote", {{"pool", "nowhere"}}}}}};
  auto Refused = Log.append({}, {0, Bad, "ann", {}});
  REQUIRE_FALSE(Refused.has_value());
  const std::string &Detail = Refused.error().Detail;
  for (const char *Fault :
       {"pools.bend.slots: is not known", "pools.bend.maxUnavailable",
        "classes.quote.targetMs: is missing", "nowhere"})
    CHECK(Detail.find(Fault) != std::string::npos);
  CHECK(Platform.commits() == 0);
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

// Promise: an accepted configuration never reverts. Naive version: a plain list
// of the documents whose change was acknowledged.
TEST_CASE("racing operators with lost replies never revert a version") {
  CHECK(rc::check("versions only grow and keep their content", [] {
    MemoryPlatform Platform;
    FleetLog Log(Platform);
    std::vector<Operator> Operators(3);
    std::vector<json> Accepted{json::object()};
    const auto Steps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U));
    for (unsigned Step : Steps) {
      Operator &Actor = Operators[Step % 3];
      const unsigned What = (Step / 3) % 4;
      if (What == 0)
        Platform.setFaults({.LoseReplies = 1});
      if (What == 1) {
        auto Seen = Log.catchUp(Actor.View);
        RC_ASSERT(Seen.has_value());
        RC_ASSERT(Seen->Version >= Actor.View.Version);
        Actor.View = *Seen;
        RC_ASSERT(Actor.View.Document == Accepted[Actor.View.Version]);
        continue;
      }
      auto Done = Log.append(
          Actor.View, {Actor.View.Version, poolPatch("p", Step % 50), "x", {}});
      if (!Done)
        continue;
      RC_ASSERT(Done->Version == Accepted.size());
      Accepted.push_back(Done->Document);
      Actor.View = *Done;
    }
    RC_ASSERT(Log.catchUp({})->Document == Accepted.back());
  }));
}

TEST_CASE("a limit carries the version that last changed it") {
  MemoryPlatform Platform;
  FleetLog Log(Platform);
  FleetSnapshot Newest;
  auto Change = [&](const json &Patch) {
    Newest = Log.append(Newest, {Newest.Version, Patch, "x", {}}).value();
  };
  Change({{"teams", {{"a", {{"ceiling", 3}}}, {"b", {{"ceiling", 1}}}}}});
  Change({{"teams", {{"a", {{"ceiling", 5}, {"ceilingVersion", 77}}}}}});
  Change({{"teams", {{"b", {{"share", 4}}}}}});
  const Fleet Read = parseFleet(Newest.Document, Newest.Version).value();
  CHECK(Read.Teams.at(TeamId("a")).CeilingVersion == 2);
  CHECK(Read.Teams.at(TeamId("b")).CeilingVersion == 1);
}

TEST_CASE("a daemon that starts after many changes reads the snapshot") {
  MemoryPlatform Platform;
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
  CHECK(Fresh->Stored >= 128);
  CHECK(Fresh->Document == Newest.Document);
}
