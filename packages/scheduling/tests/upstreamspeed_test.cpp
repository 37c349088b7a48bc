#include "placement.h"
#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

SchedulerOptions comparing(bool Compare = true) {
  return {.Policy = {.CompareUpstreamSpeed = Compare}};
}

/// Keeps all upstreams busy for a while, so that their speeds show.
void load(TestSite &Site, int Millis) {
  for (int Elapsed = 0; Elapsed < Millis; Elapsed += 100) {
    if (Elapsed % 500 == 0)
      Site.submit(
          jobOf("load" + std::to_string(Site.NowMs), {stepOf(12, 1000, 500)}));
    Site.schedule();
    Site.advance(100);
    Site.storeAll();
  }
  for (int Elapsed = 0; Elapsed < 8000; Elapsed += 100) {
    Site.schedule();
    Site.advance(100);
  }
}

/// Three upstreams, the first of which takes three times as long.
void addUneven(TestSite &Site) {
  for (const char *Id : {"u1", "u2", "u3"})
    Site.add(Id, 4000);
  Site.Upstreams.at("u1").Slowdown = 3;
}

} // namespace

TEST_CASE("a slow upstream is the last choice, if speeds are compared") {
  // Guards against steps that end late because one of their tasks ran on a slow
  // upstream while others were free.
  for (const bool Compare : {false, true}) {
    TestSite Site(comparing(Compare));
    addUneven(Site);
    load(Site, 12000);
    CHECK(Site.JobScheduler.speedCounts().UnhealthyUpstreams == Compare);
    Site.submit(jobOf("job", {stepOf(8, 1000, 500)}));
    CHECK(Site.schedule().size() == 8);
    CHECK((Site.usedCpu("u1") == 0) == Compare);
    // It is used nevertheless if the others are full.
    Site.submit(jobOf("next", {stepOf(4, 1000, 500)}));
    CHECK(Site.schedule().size() == 4);
  }
}

TEST_CASE("an upstream that fails tasks stays the last choice between them") {
  // Guards against an upstream that fails every second task: its consecutive
  // failures are reset by each success.
  TestSite Site(comparing());
  Site.add("u1", 1000);
  for (int Run = 0; Run < 8; ++Run) {
    Site.submit(jobOf("job" + std::to_string(Run), {stepOf(1, 1000, 500)}));
    const auto Starts = Site.schedule();
    REQUIRE(Starts.size() == 1);
    FakeUpstream &Upstream = Site.Upstreams.at("u1");
    Upstream.end(Starts.front().Run, Run % 2 ? RunEnd::Done : RunEnd::Failed);
    Site.poll(Upstream);
    Site.JobScheduler.cancelJob(JobId("job" + std::to_string(Run)),
                                at(Site.NowMs));
  }
  Site.add("u2", 1000);
  Site.submit(jobOf("last", {stepOf(1, 1000, 500)}));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts.front().Upstream == UpstreamId("u2"));
}

TEST_CASE("the last tasks of a step prefer health to racks and maintenance") {
  // Guards against a step that ends on an upstream known to be slow.
  const StepSpec Step{.Count = 8, .DataRack = "rack"};
  StepRecord Record;
  TaskRecord Task;
  UpstreamRecord Sick;
  Sick.Report.Labels = {"kind", "rack"};
  Sick.Health = {.Slowdown = 2};
  UpstreamRecord Healthy;
  Healthy.MaintenanceDue = true;
  PlacementRequest Request{.Step = &Step, .Record = &Record, .Task = &Task};
  CHECK(placementScore(Sick, Request) > placementScore(Healthy, Request));
  Request.EndsStep = true;
  CHECK(placementScore(Sick, Request) < placementScore(Healthy, Request));
}

TEST_CASE("a step is spread over racks, but not over more VMs") {
  // Guards against losing a whole step with one rack, and against opening VMs
  // that the planner could have moved.
  TestSite Site(comparing());
  const auto AddIn = [&](const std::string &Id, const std::string &Rack) {
    FakeUpstream &Added = Site.add(Id, 32000);
    Added.Report.Labels = {"kind", Rack};
    Site.JobScheduler.updateUpstream(Added.Report, at(Site.NowMs));
    return Id;
  };
  // Equal load on two VMs of one rack and one of another.
  std::vector<std::string> Busy;
  for (const auto &[Id, Rack] : std::map<std::string, std::string>{
           {"a1", "a"}, {"a2", "a"}, {"b1", "b"}}) {
    Busy.push_back(AddIn(Id, Rack));
    StepSpec Own = stepOf(1, 8000, 500);
    Own.MaxPerUpstream = 1;
    for (const std::string &Earlier : Busy)
      Site.JobScheduler.cordon(UpstreamId(Earlier), Earlier != Id);
    Site.submit(jobOf("own" + Id, {Own}));
    REQUIRE(Site.schedule().size() == 1);
  }
  for (const std::string &Id : Busy)
    Site.JobScheduler.cordon(UpstreamId(Id), false);
  AddIn("c1", "c");
  StepSpec Step = stepOf(2, 1000, 500);
  Step.MaxPerUpstream = 1;
  Site.submit(jobOf("job", {Step}));
  Site.schedule();
  CHECK(Site.usedCpu("a1") == 9000);
  CHECK(Site.usedCpu("a2") == 8000);
  CHECK(Site.usedCpu("b1") == 9000);
  CHECK(Site.usedCpu("c1") == 0);
}
