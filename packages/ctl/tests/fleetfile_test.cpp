#include "fleetfile.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using nlohmann::json;

// Fleet files contain neither keys nor VM states. Applying a file must not
// remove them, and must not change a VM's pool without draining the VM first.
TEST_CASE("applying a file preserves maintained fields and turns a pool change "
          "into a move") {
  const json Current{
      {"operators", {{"keys", {{"ann", json::object()}}}}},
      {"teams", {{"a", {{"ceiling", 2}, {"keys", {{"k", json::object()}}}}}}},
      {"vms", {{"w1", {{"pool", "p"}, {"state", "draining"}}}}}};
  const json Wanted{{"teams", {{"a", {{"ceiling", 3}}}}},
                    {"vms", {{"w1", {{"pool", "q"}}}}}};
  const json Patch = computePatch(Current, Wanted);
  CHECK(Patch == json{{"teams", {{"a", {{"ceiling", 3}}}}},
                      {"vms", {{"w1", {{"moveTo", "q"}}}}}});
  CHECK(renderDiff(Current, Patch) ==
        "teams.a.ceiling: 2 -> 3\nvms.w1.moveTo: (none) -> \"q\"\n");
}

TEST_CASE("YAML values keep their types, and errors contain the line") {
  auto Parsed = parseFleetFile("a: {n: 12, t: \"12\", b: true, w: word}\n");
  REQUIRE(Parsed.has_value());
  CHECK(*Parsed ==
        json{{"a", {{"n", 12}, {"t", "12"}, {"b", true}, {"w", "word"}}}});
  auto Duplicate = parseFleetFile("a: 1\na: 2\n");
  REQUIRE_FALSE(Duplicate.has_value());
  CHECK(Duplicate.error().Detail.find("line 2") != std::string::npos);
}

TEST_CASE("a dotted path is converted to a merge patch") {
  CHECK(makePatch("teams.a.ceiling", "12") ==
        json{{"teams", {{"a", {{"ceiling", 12}}}}}});
  CHECK(makePatch("teams.a", "null") == json{{"teams", {{"a", nullptr}}}});
}
