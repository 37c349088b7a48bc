#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

/// A site with two organisations, "a" and "b".
struct FairSite : TestSite {
  explicit FairSite(bool FairShares = true, double Share = 1000)
      : TestSite({.Policy = {.FairShares = FairShares}}) {
    this->Configuration.Organisations = {
        {.Id = OrganisationId("a"), .Keys = {"ka"}, .Share = Share},
        {.Id = OrganisationId("b"), .Keys = {"kb"}, .Share = Share}};
    this->JobScheduler.configure(this->Configuration);
  }

  void submitFor(const std::string &Organisation, const std::string &Id,
                 std::vector<StepSpec> Steps) {
    this->submit(jobOf(Id, std::move(Steps), "pool", Organisation));
  }

  /// \returns the jobs of the tasks that a round starts, in order.
  std::vector<std::string> startedJobs() {
    std::vector<std::string> Jobs;
    for (const StartCommand &Start : this->schedule())
      Jobs.push_back(Start.Run.Task.Job.str());
    return Jobs;
  }
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("an organisation with many small jobs delays only its own work") {
  // Guards against the order by remaining time alone, in which small jobs of
  // one organisation take all of a full pool.
  for (const bool FairShares : {false, true}) {
    FairSite Site(FairShares);
    Site.add("u1", 4000);
    for (int Index = 0; Index < 6; ++Index)
      Site.submitFor("a", "a" + std::to_string(Index), {stepOf(1, 1000, 400)});
    Site.submitFor("b", "b0", {stepOf(1, 1000, 500)});
    Site.submitFor("b", "b1", {stepOf(1, 1000, 500)});
    CHECK(Site.startedJobs() == (FairShares ? Names{"a0", "b0", "a1", "b1"}
                                            : Names{"a0", "a1", "a2", "a3"}));
  }
}

TEST_CASE("what an organisation leaves unused goes to the others at once") {
  // Guards against shares that hold capacity back for organisations without
  // work.
  FairSite Site;
  Site.add("u1", 4000);
  for (int Index = 0; Index < 6; ++Index)
    Site.submitFor("a", "a" + std::to_string(Index), {stepOf(1, 1000, 400)});
  CHECK(Site.startedJobs() == Names{"a0", "a1", "a2", "a3"});
}

TEST_CASE("listed runs of an earlier holder count for the shares") {
  // Guards against a new holder that starts from zero use.
  FairSite Site;
  FakeUpstream &Upstream = Site.add("u1", 4000);
  Site.submit(jobOf("old", {stepOf(3, 1000, 900)}, "pool", "a"), true);
  for (int Index = 0; Index < 3; ++Index)
    Upstream.Running[{{JobId("old"), 0, 0, Index}, 1}] = {9000, 0};
  Site.poll(Upstream);
  Site.submitFor("a", "a0", {stepOf(1, 1000, 100)});
  Site.submitFor("b", "b0", {stepOf(1, 1000, 500)});
  CHECK(Site.startedJobs() == Names{"b0"});
  // The use ends with the runs.
  Site.TaskDurationMs = 100;
  Upstream.Running.clear();
  for (int Index = 0; Index < 3; ++Index)
    Upstream.Ended.push_back({++Upstream.LastSequence,
                              {{JobId("old"), 0, 0, Index}, 1},
                              RunEnd::Done,
                              ""});
  Site.poll(Upstream);
  Site.submitFor("b", "b1", {stepOf(4, 1000, 500)});
  CHECK(Site.startedJobs().front() == "a0");
}

TEST_CASE("a started job goes on before new jobs") {
  // Guards against half-finished jobs of an organisation with much use, which
  // hold capacity and end late.
  FairSite Site;
  Site.add("u1", 4000);
  Site.submitFor("a", "a0", {stepOf(4, 1000, 500), stepOf(2, 1000, 500, {0})});
  CHECK(Site.schedule().size() == 4);
  Site.advance(500);
  Site.submitFor("a", "a1", {stepOf(1, 1000, 100)});
  for (int Index = 0; Index < 6; ++Index)
    Site.submitFor("b", "b" + std::to_string(Index), {stepOf(1, 1000, 100)});
  const Names Started = Site.startedJobs();
  REQUIRE(Started.size() == 4);
  CHECK(Started[0] == "a0");
  CHECK(Started[1] == "a0");
  CHECK(Started[2] == "b0");
}

TEST_CASE("work without value waits for all other work, and still runs") {
  // Guards against capacity for jobs that end after three times their allowed
  // time, and against such jobs never being started.
  FairSite Site;
  Site.submitFor("a", "a0", {stepOf(1, 1000, 500)}); // Allowed time: 1.4 s.
  Site.advance(2600);
  Site.submitFor("a", "a1", {stepOf(1, 1000, 500)});
  Site.advance(1500); // a0: 4.1 s of 4.2 s, a1: late by 0.1 s.
  Site.submitFor("b", "b0", {stepOf(1, 1000, 500)});
  Site.add("u1", 1000);
  CHECK(Site.startedJobs() == Names{"b0"});
  Site.advance(500);
  CHECK(Site.startedJobs() == Names{"a1"});
  Site.advance(500);
  CHECK(Site.startedJobs() == Names{"a0"});
}

TEST_CASE("a new holder counts inherited jobs by time of acceptance") {
  // Guards against marks that depend on the order of loading: after a takeover
  // most jobs of an organisation counted as beyond its share, or none.
  FairSite Site(true, 1.0);
  Site.add("u1", 1000);
  const auto Inherit = [&](const std::string &Id, std::int64_t AcceptedMs) {
    Site.JobScheduler.addJob(jobOf(Id, {stepOf(1, 1000, 500)}, "pool", "a"),
                             std::nullopt, true, at(AcceptedMs),
                             at(Site.NowMs));
  };
  Site.NowMs = 3000;
  Inherit("a-second", 2150); // 50 ms after the first: beyond one a second.
  Inherit("b-first", 2100);
  CHECK(Site.startedJobs() == Names{"b-first"});
}

TEST_CASE("large jobs are not overtaken without limit") {
  // Guards against the starvation of the largest jobs while smaller ones keep
  // arriving.
  FairSite Site;
  Site.add("u1", 1000);
  int LargeStarted = 0;
  for (int Round = 0; Round < 60; ++Round) {
    const std::string Id = std::to_string(Round);
    Site.submitFor("a", "small" + Id, {stepOf(1, 1000, 400)});
    Site.submitFor("a", "spare" + Id, {stepOf(1, 1000, 500)});
    if (Round % 8 == 7)
      Site.submitFor("a", "vast" + Id, {stepOf(1, 1000, 2500)});
    for (const std::string &Started : Site.startedJobs())
      LargeStarted += Started.starts_with("vast");
    Site.advance(500);
  }
  CHECK(LargeStarted >= 2);
}
