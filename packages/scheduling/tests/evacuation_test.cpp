#include "testsite.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

const ZoneId Zone1("z1");
const ZoneId Zone2("z2");

/// Adds an upstream in \p Zone.
FakeUpstream &addIn(TestSite &Site, const std::string &Id, const ZoneId &Zone,
                    std::int64_t Cpu = 4000) {
  FakeUpstream &Added = Site.add(Id, Cpu);
  Added.Report.Zone = Zone;
  Site.JobScheduler.updateUpstream(Added.Report, at(Site.NowMs));
  return Added;
}

/// A long-running step of \p Count tasks of which one may be unavailable.
StepSpec serviceStep(int Count) {
  StepSpec Step = stepOf(Count, 1000, 500);
  Step.LongRunning = true;
  Step.MaxPerUpstream = 1;
  Step.MaxUnavailable = 1;
  return Step;
}

} // namespace

TEST_CASE("nothing is placed in an evacuated zone until the request is "
          "withdrawn") {
  TestSite Site;
  addIn(Site, "a", Zone1);
  Site.JobScheduler.setEvacuatedZones({Zone1});
  // An upstream that registers later is in the zone as well.
  addIn(Site, "b", Zone1);
  StepSpec Gang = stepOf(2, 500, 500);
  Gang.Gang = true;
  StepSpec BestEffort = stepOf(1, 500, 500);
  BestEffort.BestEffort = true;
  Site.submit(jobOf("j1", {stepOf(2, 500, 500)}));
  Site.submit(jobOf("j2", {Gang}));
  Site.submit(jobOf("j3", {BestEffort}));
  Site.submit(jobOf("j4", {serviceStep(1)}));
  Site.submit(jobOf("j5", {stepOf(1, 500, 500)}), true);
  CHECK(Site.schedule().empty());
  Site.JobScheduler.setEvacuatedZones({});
  CHECK(Site.schedule().size() >= 6);
}

TEST_CASE("work goes to other zones while a zone is evacuated") {
  TestSite Site;
  addIn(Site, "a", Zone1);
  addIn(Site, "b", Zone2);
  Site.JobScheduler.setEvacuatedZones({Zone1});
  Site.submit(jobOf("j1", {stepOf(6, 1000, 500)}));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 4); // The others wait for free capacity.
  for (const StartCommand &Each : Starts)
    CHECK(Each.Upstream == UpstreamId("b"));
}

TEST_CASE("short tasks in an evacuated zone end; a failed one restarts "
          "elsewhere") {
  TestSite Site;
  FakeUpstream &InZone = addIn(Site, "a", Zone1);
  Site.submit(jobOf("j1", {stepOf(2, 1000, 500)}));
  REQUIRE(Site.schedule().size() == 2);
  addIn(Site, "b", Zone2);
  Site.JobScheduler.setEvacuatedZones({Zone1});
  CHECK(Site.schedule().empty());
  CHECK(InZone.Running.size() == 2); // Nothing is stopped.
  InZone.end(InZone.Running.begin()->first, RunEnd::Failed);
  std::vector<StartCommand> Starts;
  for (int Round = 0; Round < 20 && Starts.empty(); ++Round) {
    Site.advance(100);
    Starts = Site.schedule();
  }
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Upstream == UpstreamId("b"));
}

TEST_CASE("long-running tasks leave an evacuated zone one at a time") {
  TestSite Site;
  Site.TaskDurationMs = 1000000;
  addIn(Site, "a1", Zone1);
  addIn(Site, "a2", Zone1);
  Site.submit(jobOf("j1", {serviceStep(2)}));
  REQUIRE(Site.schedule().size() == 2);
  addIn(Site, "b1", Zone2);
  addIn(Site, "b2", Zone2);
  const auto MakeReady = [&] {
    for (auto &[Id, Each] : Site.Upstreams)
      for (auto &[Run, State] : Each.Running)
        State.second = 100;
  };
  const auto InZone = [&] {
    return Site.Upstreams.at("a1").Running.size() +
           Site.Upstreams.at("a2").Running.size();
  };
  MakeReady();
  Site.advance(10);
  Site.advance(800);
  Site.JobScheduler.setEvacuatedZones({Zone1});
  Site.schedule();
  CHECK(InZone() == 1); // The budget of one lets one task move at a time.
  CHECK(Site.JobScheduler.evacuatedZoneLoads().at(Zone1).LongRunningTasks >= 1);
  for (int Round = 0; Round < 20; ++Round) {
    Site.advance(100);
    Site.schedule();
    MakeReady();
  }
  CHECK(InZone() == 0);
  const ZoneLoad Load = Site.JobScheduler.evacuatedZoneLoads().at(Zone1);
  CHECK(Load.Upstreams == 2);
  CHECK(Load.Runs == 0);
  CHECK_FALSE(Load.MayHaveMore);
}

TEST_CASE("a zone is not shown as empty before its upstreams have answered") {
  // They may run tasks of an earlier holder.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(60000)});
  Site.JobScheduler.setEvacuatedZones({Zone1});
  Site.JobScheduler.updateUpstream({.Id = UpstreamId("a"),
                                    .Pool = PoolId("pool"),
                                    .Zone = Zone1,
                                    .IncarnationStartMs = 1},
                                   at(Site.NowMs));
  CHECK(Site.JobScheduler.evacuatedZoneLoads().at(Zone1).MayHaveMore);
}
