#include "configurationfreshness.h"

#include "fakestore.h"
#include "peerapi.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

constexpr auto MaxSinceNamed = ConfigurationFreshness::MaxTimeSinceNamed;
constexpr auto MaxTableAge = ConfigurationFreshness::MaxTableAge;

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

ConfigurationFreshness usingVersion(std::int64_t Version) {
  ConfigurationFreshness Freshness;
  Freshness.recordInForce(Version);
  return Freshness;
}

} // namespace

TEST_CASE("a daemon is behind until the version that a peer names arrives") {
  // Guards against 404 and 401 by the older version while it is read.
  ConfigurationFreshness Freshness = usingVersion(28);
  CHECK((Freshness.recordPeerAnswer("28", at(0)) == PeerVersionKind::NotNewer));
  CHECK_FALSE(Freshness.isBehind(at(0)));
  CHECK((Freshness.recordPeerAnswer("32", at(0)) == PeerVersionKind::Newer));
  for (std::int64_t Millis = 1000; Millis <= 20000; Millis += 1000) {
    CHECK((Freshness.recordPeerAnswer("31", at(Millis)) ==
           PeerVersionKind::Repeated));
    CHECK(Freshness.isBehind(at(Millis)));
  }
  Freshness.recordInForce(30);
  CHECK(Freshness.isBehind(at(20000)));
  Freshness.recordInForce(32);
  CHECK_FALSE(Freshness.isBehind(at(20000)));
}

TEST_CASE("a version that no peer names any more is not waited for") {
  // Guards against calls that are refused for ever after one wrong answer.
  ConfigurationFreshness Freshness = usingVersion(28);
  Freshness.recordPeerAnswer("40", at(0));
  const Instant Lapsed = at(0) + MaxSinceNamed;
  CHECK(Freshness.isBehind(Lapsed - milliseconds(1)));
  CHECK_FALSE(Freshness.isBehind(Lapsed));
}

TEST_CASE("the table disproves a version that it does not have") {
  // Guards against a peer that names a wrong version in every answer.
  ConfigurationFreshness Freshness = usingVersion(28);
  Freshness.recordPeerAnswer("40", at(0));
  const Instant Later = at(0) + MaxTableAge;
  // Such an answer may be of before version 40.
  CHECK_FALSE(Freshness.recordTableAnswer(Later - milliseconds(1)));
  Freshness.recordPeerAnswer("40", Later);
  CHECK(Freshness.recordTableAnswer(Later));
  CHECK((Freshness.recordPeerAnswer("40", Later) == PeerVersionKind::NotNewer));
  CHECK_FALSE(Freshness.isBehind(Later));
  CHECK((Freshness.recordPeerAnswer("29", Later) == PeerVersionKind::Newer));
  CHECK(Freshness.isBehind(Later));
}

TEST_CASE("what is not a version leaves the state as it was") {
  // Guards against refusals because of a faulty peer, and of older builds that
  // send no version.
  ConfigurationFreshness Freshness = usingVersion(28);
  const ConfigurationFreshness Before = Freshness;
  for (const char *Text : {"-1", "x", "29x", " 29", "29.5", "1000029",
                           "9223372036854775807", "9223372036854775808"})
    CHECK(
        (Freshness.recordPeerAnswer(Text, at(0)) == PeerVersionKind::Rejected));
  CHECK((Freshness.recordPeerAnswer("", at(0)) == PeerVersionKind::NotNewer));
  CHECK((Freshness == Before));
  ConfigurationFreshness Empty;
  CHECK((Empty.recordPeerAnswer("5", at(0)) == PeerVersionKind::NotNewer));
  CHECK((Empty == ConfigurationFreshness()));
}

TEST_CASE("every answer to a peer names the version in force") {
  // Guards against daemons that learn of a newer version only from the table,
  // which they can't read in time.
  FakeStore Store;
  std::int64_t Version = 0;
  const PeerApiDeps Deps{.Store = Store,
                         .IsActiveHolder = [] { return false; },
                         .ConfigurationVersion = [&] { return Version; }};
  const auto Ask = [&](std::string Target) {
    boost::asio::io_context Context;
    return announcedConfigurationVersion(
        runToEnd<HttpResponse>(Context, [&]() -> Async<HttpResponse> {
          return handlePeerRequest(Deps, {.Method = "GET", .Target = Target});
        }));
  };
  CHECK(Ask("/alive").empty());
  Version = 32;
  for (const char *Target : {"/alive", "/relay/any", "/jobs/1", "/none"})
    CHECK(Ask(Target) == "32");
}

TEST_CASE("the time behind counts from the oldest version that is missing") {
  // Guards against calls by an old configuration while newer versions follow
  // one another, and against refusals by a daemon that keeps up with them.
  ConfigurationFreshness Freshness = usingVersion(28);
  CHECK(Freshness.timeBehind(at(0)) == Duration::zero());
  for (std::int64_t Step = 0; Step < 10; ++Step)
    Freshness.recordPeerAnswer(std::to_string(29 + Step), at(500 * Step));
  CHECK(Freshness.timeBehind(at(5000)) == milliseconds(5000));
  Freshness.recordInForce(36);
  CHECK(Freshness.timeBehind(at(5000)) == milliseconds(1000));
  Freshness.recordInForce(38);
  CHECK(Freshness.timeBehind(at(5000)) == Duration::zero());
  // A version that was named long ago and is named again.
  Freshness.recordPeerAnswer("40", at(6000));
  const Instant Lapsed = at(6000) + MaxSinceNamed;
  CHECK(Freshness.timeBehind(Lapsed) == Duration::zero());
  Freshness.recordPeerAnswer("40", Lapsed);
  CHECK(Freshness.timeBehind(Lapsed + milliseconds(10)) == milliseconds(10));
  // The table does not have it.
  CHECK(Freshness.recordTableAnswer(Lapsed + MaxTableAge));
  CHECK(Freshness.timeBehind(Lapsed + MaxTableAge) == Duration::zero());
}
