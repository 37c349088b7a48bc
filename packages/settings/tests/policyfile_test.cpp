#include "sardinerill/settings/policyfile.h"

#include <doctest/doctest.h>

using namespace sardinerill;

namespace {

std::string errorOf(const std::string &Text) {
  const auto Policy = parsePolicy("policy.yaml", Text);
  return Policy ? "" : Policy.error().Detail;
}

} // namespace

TEST_CASE("a switch that is not given is off") {
  const auto Policy =
      parsePolicy("policy.yaml", "scheduling:\n  fair-shares: true\n");
  REQUIRE(Policy);
  CHECK(*Policy == site::SchedulingPolicy{.FairShares = true});
}

TEST_CASE("a misspelt or ambiguous policy is refused with its line") {
  CHECK(errorOf("scheduling:\n  fair-share: true\n") ==
        "policy.yaml:2: unknown key \"fair-share\" in \"scheduling\"");
  CHECK(errorOf("scheduling:\n  fair-shares: maybe\n") ==
        "policy.yaml:2: \"fair-shares\" must be true or false");
  CHECK(errorOf("scheduling:\n  fair-shares: true\n  fair-shares: false\n") ==
        "policy.yaml:3: \"fair-shares\" is given more than once");
  CHECK(errorOf("schedule:\n  fair-shares: true\n") ==
        "policy.yaml:1: unknown section \"schedule\"");
  CHECK(errorOf("scheduling: on\n") ==
        "policy.yaml:1: \"scheduling\" must be a map");
  CHECK_FALSE(errorOf("scheduling: [").empty());
  CHECK_FALSE(errorOf("").empty());
}

TEST_CASE("a policy file that can't be read is an error") {
  CHECK_FALSE(loadPolicy("/nonexistent/policy.yaml"));
}
