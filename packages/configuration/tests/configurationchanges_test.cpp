#include "sardinerill/configuration/configurationchanges.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

QueueSettings queueOf(int Number, int Priority = 0) {
  return {.Id = QueueId("q" + std::to_string(Number)),
          .Host = "host",
          .PathPrefix = "/" + std::to_string(Number) + "/",
          .Pool = PoolId("pool"),
          .Priority = Priority,
          .LatencyTarget = milliseconds(600),
          .CallTimeout = seconds(3)};
}

SiteConfiguration configurationOf(std::int64_t Version,
                                  std::vector<QueueSettings> Queues) {
  return {.Version = Version,
          .Queues = std::move(Queues),
          .Pools = {{PoolId("pool"), {.Id = PoolId("pool")}}},
          .Organisations = {{.Id = OrganisationId("a"), .Keys = {"k"}}}};
}

bool haveSameContents(SiteConfiguration A, SiteConfiguration B) {
  const auto ById = [](const QueueSettings &X, const QueueSettings &Y) {
    return X.Id.str() < Y.Id.str();
  };
  std::ranges::sort(A.Queues, ById);
  std::ranges::sort(B.Queues, ById);
  return A.Version == B.Version && A.Queues == B.Queues && A.Pools == B.Pools &&
         A.Organisations == B.Organisations && A.Limits == B.Limits;
}

/// \returns the next version, with some queues added, removed or changed.
SiteConfiguration changed(SiteConfiguration Configuration) {
  Configuration.Version += *rc::gen::inRange(1, 4);
  const int Number = *rc::gen::inRange(0, 12);
  std::erase_if(Configuration.Queues, [&](const QueueSettings &Queue) {
    return Queue.Id == queueOf(Number).Id;
  });
  if (*rc::gen::arbitrary<bool>())
    Configuration.Queues.push_back(queueOf(Number, *rc::gen::inRange(0, 3)));
  Configuration.Organisations[0].Keys = {
      std::to_string(*rc::gen::inRange(0, 100))};
  return Configuration;
}

OperatorRowsUpdate roundTrip(const OperatorRowsUpdate &Update) {
  auto Decoded = decodeUpdate(encodeUpdate(Update));
  REQUIRE(Decoded.has_value());
  return *Decoded;
}

ConfigurationChanges changesBetween(const SiteConfiguration &Base,
                                    const SiteConfiguration &Next) {
  const auto Digest = decodeDigest(encodeDigest(digestOf(Base)));
  REQUIRE(Digest.has_value());
  CHECK(*Digest == digestOf(Base));
  return site::changesBetween(*Digest, Next, digestOf(Next));
}

} // namespace

TEST_CASE("changes lead from each version to the newest, whichever versions "
          "the answering daemon has seen") {
  // Guards against queues and keys that stay in use after their removal, for
  // example one that was added and removed between two versions.
  CHECK(rc::check([] {
    std::vector<SiteConfiguration> Versions{
        configurationOf(3, {queueOf(1), queueOf(2)})};
    const int Count = *rc::gen::inRange(1, 15);
    for (int Index = 0; Index < Count; ++Index)
      Versions.push_back(changed(Versions.back()));
    const SiteConfiguration &Newest = Versions.back();
    for (const SiteConfiguration &Known : Versions) {
      if (Known.Version == Newest.Version)
        continue;
      const OperatorRowsUpdate Update =
          roundTrip({.Changes = changesBetween(Known, Newest)});
      const auto Applied = applyChanges(Known, Update.Changes);
      RC_ASSERT(Applied.has_value());
      RC_ASSERT(haveSameContents(*Applied, Newest));
    }
  }));
}

TEST_CASE("what changes among many queues takes no transfer of the others") {
  // Guards against links that are filled by configurations of which daemons
  // have all but some bytes.
  std::vector<QueueSettings> Queues;
  for (int Number = 0; Number < 1655; ++Number)
    Queues.push_back(queueOf(Number));
  const SiteConfiguration Before = configurationOf(26, Queues);
  SiteConfiguration After = configurationOf(27, Queues);
  After.Organisations[0].Keys.clear();
  const std::string Text =
      encodeUpdate({.Changes = changesBetween(Before, After)});
  CHECK(Text.size() < 1000);
  const auto Applied = applyChanges(Before, decodeUpdate(Text)->Changes);
  REQUIRE(Applied.has_value());
  CHECK(Applied->organisationOfKey("k") == nullptr);
  CHECK(Applied->Queues == Queues);
  After.Queues[7].Priority = 3;
  CHECK(encodeUpdate({.Changes = changesBetween(Before, After)}).size() < 5000);
}

TEST_CASE("each setting of a queue is part of the digest") {
  // Guards against a changed setting that daemons keep as it was.
  const auto DigestWith = [](auto Change) {
    QueueSettings Queue = queueOf(1);
    Change(Queue);
    return digestOf(configurationOf(1, {Queue})).Groups;
  };
  const auto Unchanged = DigestWith([](QueueSettings &) {});
  const std::vector<std::function<void(QueueSettings &)>> Changes{
      [](QueueSettings &Queue) { Queue.Id = QueueId("other"); },
      [](QueueSettings &Queue) { Queue.Host = "other"; },
      [](QueueSettings &Queue) { Queue.PathPrefix = "/other/"; },
      [](QueueSettings &Queue) { Queue.Pool = PoolId("other"); },
      [](QueueSettings &Queue) { Queue.Priority = 9; },
      [](QueueSettings &Queue) { Queue.MaxAttempts = 9; },
      [](QueueSettings &Queue) { Queue.CriticalPathFactor = 9; },
      [](QueueSettings &Queue) { Queue.LatencyTarget = seconds(9); },
      [](QueueSettings &Queue) { Queue.CallTimeout = seconds(9); },
      [](QueueSettings &Queue) { Queue.Public = true; },
      [](QueueSettings &Queue) { Queue.NeedsAdvice = true; },
      [](QueueSettings &Queue) { Queue.Advisor.PerCall = seconds(9); },
      [](QueueSettings &Queue) { Queue.Advisor.PerUpstream = seconds(9); },
      [](QueueSettings &Queue) { Queue.Advisor.TicketValidity = seconds(9); }};
  for (const auto &Change : Changes)
    CHECK(DigestWith(Change) != Unchanged);
}

TEST_CASE("an update keeps waves, timings of advisors and limits") {
  QueueSettings Advised = queueOf(1);
  Advised.NeedsAdvice = true;
  Advised.Advisor = {.PerCall = milliseconds(60),
                     .PerUpstream = milliseconds(10),
                     .TicketValidity = seconds(3)};
  const OperatorRowsUpdate Update{
      .Position = 77,
      .Changes = {.From = 3,
                  .To = 4,
                  .Groups = {3, 255},
                  .Queues = {Advised, queueOf(2)},
                  .Pools = {{.Id = PoolId("pool"), .Standby = true}},
                  .Organisations = {{.Id = OrganisationId("a"),
                                     .Keys = {"k", "l"},
                                     .Share = 1.5,
                                     .Ceiling = {1, 2, 3}}},
                  .Limits = {.HeaderBytes = 1, .BodyBytes = 2}},
      .Waves = {{.Number = 5,
                 .Vms = {VmId("m1")},
                 .Period = seconds(9),
                 .MaxConcurrent = 2}},
      .Evacuations = "{}"};
  CHECK(roundTrip(Update) == Update);
}

TEST_CASE("changes that don't lead on, and malformed ones, are rejected") {
  const SiteConfiguration Base = configurationOf(5, {});
  for (const auto &[From, To] :
       {std::pair(6, 8), std::pair(4, 8), std::pair(5, 5), std::pair(5, 4)}) {
    const auto Applied = applyChanges(Base, {.From = From, .To = To});
    REQUIRE_FALSE(Applied.has_value());
    CHECK((Applied.error().Kind == ErrorKind::VersionConflict));
  }
  const std::string Text =
      encodeUpdate({.Changes = {.To = 1, .Queues = {queueOf(1)}}});
  for (std::size_t Size = 0; Size < Text.size(); ++Size)
    CHECK_FALSE(decodeUpdate(Text.substr(0, Size)).has_value());
  const std::string Digest = encodeDigest(digestOf(Base));
  for (std::size_t Size = 0; Size < Digest.size(); ++Size)
    CHECK_FALSE(decodeDigest(Digest.substr(0, Size)).has_value());
  CHECK_FALSE(decodeDigest(Digest + "0").has_value());
  CHECK(rc::check([&] {
    std::string Damaged = Text;
    Damaged[std::size_t(*rc::gen::inRange(0, int(Text.size())))] =
        *rc::gen::arbitrary<char>();
    (void)decodeUpdate(Damaged); // Must not throw.
    (void)decodeDigest(Damaged);
  }));
}
