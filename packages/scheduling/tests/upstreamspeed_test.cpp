#include "placement.h"
#include "testsite.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

SchedulerOptions comparing(bool Compare = true) {
  return {.Policy = {.CompareUpstreamSpeed = Compare}};
}

StepSpec speculative(int Count, std::int64_t Cpu, int Millis) {
  StepSpec Step = stepOf(Count, Cpu, Millis);
  Step.Speculative = true;
  return Step;
}

/// Keeps all upstreams busy for a while, so that their speeds show.
void load(TestSite &Site, int Millis,
          const StepSpec &Step = stepOf(12, 1000, 500)) {
  for (int Elapsed = 0; Elapsed < Millis; Elapsed += 100) {
    if (Elapsed % 500 == 0)
      Site.submit(jobOf("load" + std::to_string(Site.NowMs), {Step}));
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
  Site.NowMs += 1100; // It is not avoided for its last failure any more.
  Site.submit(jobOf("last", {stepOf(8, 1000, 500)}));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 2);
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

TEST_CASE("a run on a slow upstream gets a copy, if its step allows it") {
  // Guards against jobs that wait for one slow run while capacity is idle, and
  // against second runs that are not allowed.
  for (const bool Allowed : {false, true}) {
    TestSite Site(comparing());
    addUneven(Site);
    load(Site, 12000);
    for (const char *Id : {"u2", "u3"})
      Site.JobScheduler.cordon(UpstreamId(Id), true);
    Site.submit(jobOf(
        "job", {Allowed ? speculative(1, 1000, 500) : stepOf(1, 1000, 500)}));
    REQUIRE(Site.schedule().size() == 1);
    const TaskId Task{JobId("job"), 0, 0, 0};
    for (const char *Id : {"u2", "u3"})
      Site.JobScheduler.cordon(UpstreamId(Id), false);
    int MaxRunning = 0;
    const std::int64_t Begin = Site.NowMs;
    while (Site.running(Task) > 0) {
      Site.advance(100);
      Site.schedule();
      MaxRunning = std::max(MaxRunning, Site.running(Task));
    }
    CHECK(MaxRunning == (Allowed ? 2 : 1));
    CHECK(Site.JobScheduler.speedCounts().Copies == Allowed);
    // Without a copy 1.5 s. Learned factors are above 1, so that it is late.
    CHECK(Site.NowMs - Begin <= 1500);
    Site.advance(100); // Lists the end of the slower run.
    Site.storeAll();
    const auto State = Site.JobScheduler.stateOf(JobId("job"));
    CHECK((State == JobState::Completed));
    CHECK(Site.usedCpu("u1") + Site.usedCpu("u2") + Site.usedCpu("u3") == 0);
  }
}

TEST_CASE("no copy is started of a task with one attempt left, or with "
          "checkpoints") {
  // Guards against copies that end a job by their failure, or overwrite the
  // checkpoints of the first run.
  TestSite Site(comparing());
  StepSpec Step = speculative(1, 1000, 500);
  std::int64_t Copies = 0;
  SUBCASE("neither") { Copies = 1; }
  SUBCASE("one attempt") {
    Site.Configuration.Queues.front().MaxAttempts = 1;
    Site.JobScheduler.configure(Site.Configuration);
  }
  SUBCASE("checkpoints") { Step.Checkpoints = true; }
  addUneven(Site);
  load(Site, 12000);
  Site.JobScheduler.cordon(UpstreamId("u2"), true);
  Site.JobScheduler.cordon(UpstreamId("u3"), true);
  Site.TaskDurationMs = 5000;
  Site.submit(jobOf("job", {Step}));
  REQUIRE(Site.schedule().size() == 1);
  Site.JobScheduler.cordon(UpstreamId("u2"), false);
  for (int Elapsed = 0; Elapsed < 3000; Elapsed += 100) {
    Site.advance(100);
    Site.schedule();
  }
  CHECK(Site.JobScheduler.speedCounts().Copies == Copies);
}

TEST_CASE("a copy needs idle capacity, a free ceiling and a slow upstream") {
  // Guards against copies that take the capacity of first runs or that do not
  // end earlier, and against copies for a job that has been cancelled.
  TestSite Site(comparing());
  addUneven(Site);
  bool Expected = false;
  bool Cancelled = false;
  bool Busy = false; ///< Whether the upstream for the copy runs something.
  StepSpec Unplaceable = stepOf(1, 1000, 500);
  Unplaceable.RequiredLabel = "none";
  SUBCASE("all are met") { Expected = true; }
  SUBCASE("work waits in the pool") {
    Busy = true;
    Site.submit(jobOf("wait", {Unplaceable}));
  }
  SUBCASE("work waits in another pool, and only idle VMs are left") {
    Site.submit(jobOf("wait", {Unplaceable}, "other"));
  }
  SUBCASE("the ceiling") {
    Site.Configuration.Organisations.front().Ceiling.CpuMilli = 1500;
  }
  SUBCASE("the task is long, its upstream normal") {
    Site.Upstreams.at("u1").Slowdown = 1;
  }
  SUBCASE("the job is cancelled") { Cancelled = true; }
  load(Site, 12000);
  Site.JobScheduler.configure(Site.Configuration);
  Site.TaskDurationMs = 5000;
  if (Busy) {
    StepSpec There = stepOf(1, 1000, 500);
    There.RequiredLabel = "rack-u2";
    Site.submit(jobOf("busy", {There}));
    REQUIRE(Site.schedule().size() == 1);
  }
  Site.JobScheduler.cordon(UpstreamId("u2"), true);
  Site.JobScheduler.cordon(UpstreamId("u3"), true);
  Site.submit(jobOf("job", {speculative(1, 1000, 500)}));
  REQUIRE(Site.schedule().size() == 1);
  for (int Elapsed = 0; Elapsed < 3000; Elapsed += 100) {
    Site.advance(100);
    Site.schedule();
  }
  if (Cancelled)
    Site.JobScheduler.cancelJob(JobId("job"), at(Site.NowMs));
  Site.JobScheduler.cordon(UpstreamId("u2"), false);
  CHECK(Site.schedule().size() == Expected);
}

TEST_CASE("a run without progress gets a copy before it is given up") {
  // Guards against losing 2.5 s to an upstream that hangs.
  TestSite Site(comparing());
  Site.add("u1", 1000);
  Site.add("u2", 1000);
  Site.submit(jobOf("job", {speculative(1, 1000, 500)}));
  REQUIRE(Site.schedule().size() == 1);
  for (int Elapsed = 0; Elapsed < 2000; Elapsed += 200) {
    Site.NowMs += 200;
    Site.poll(Site.Upstreams.at("u1"));
    Site.schedule();
  }
  CHECK(Site.JobScheduler.speedCounts().Copies == 1);
}

TEST_CASE("only runs whose duration shows the speed of an upstream count") {
  // Guards against avoiding upstreams with throttled tasks, or far from data.
  StepSpec Step = stepOf(12, 1000, 500);
  Step.MaxPerUpstream = 4;
  SUBCASE("best effort") { Step.BestEffort = true; }
  SUBCASE("another rack than that of the data") { Step.DataRack = "rack-x"; }
  TestSite Site(comparing());
  addUneven(Site);
  load(Site, 12000, Step);
  CHECK(Site.JobScheduler.speedCounts().SlowUpstreams == 0);
}

TEST_CASE("an upstream that hangs or does not answer starts is noticed early") {
  // Guards against learning of such an upstream only from ended runs, of which
  // there are none.
  TestSite Site(comparing());
  Site.add("u1", 4000);
  FakeUpstream &Upstream = Site.Upstreams.at("u1");
  const auto Counts = [&] {
    Site.schedule();
    return Site.JobScheduler.speedCounts();
  };
  SUBCASE("overdue runs") {
    load(Site, 12000);
    Site.NowMs += 60000;
    Site.TaskDurationMs = 50000;
    Site.submit(jobOf("job", {stepOf(4, 1000, 500)}));
    Site.schedule();
    for (int Elapsed = 0; Elapsed < 1500; Elapsed += 100)
      Site.advance(100);
    CHECK(Counts().SlowUpstreams == 1);
    CHECK(Counts().UnhealthyUpstreams == 0); // Each run counts once.
  }
  SUBCASE("no answer") {
    Upstream.Unreachable = true;
    Site.submit(jobOf("job", {stepOf(2, 1000, 500)}));
    Site.schedule();
    CHECK(Counts().UnhealthyUpstreams == 1);
  }
  SUBCASE("no progress") {
    Site.submit(jobOf("job", {stepOf(2, 1000, 500)}));
    Site.schedule();
    Site.NowMs += 2600;
    Site.poll(Upstream);
    Site.schedule();
    CHECK(Counts().UnhealthyUpstreams == 1);
  }
}

TEST_CASE("spreading counts racks and zones, and opens no idle VM") {
  // Guards against losing a step with one zone, and against VMs that are opened
  // for small tasks.
  const StepSpec Step{.Count = 8};
  StepRecord Record;
  TaskRecord Task;
  UpstreamRecord Busy;
  Busy.Answered = true;
  Busy.Report = {.Zone = ZoneId("z"),
                 .Capacity = {64000, 1000, 0},
                 .Labels = {"kind", "r"}};
  Busy.Used = {1000, 0, 0};
  Busy.Runs[{}] = std::make_shared<Run>();
  StepSpread Spread;
  Spread.add("r", "z");
  const PlacementRequest Request{
      .Step = &Step, .Record = &Record, .Task = &Task, .Spread = &Spread};
  UpstreamRecord Elsewhere = Busy;
  Elsewhere.Report.Labels = {"kind", "other"};
  const double SameZone = placementScore(Elsewhere, Request);
  CHECK(SameZone > placementScore(Busy, Request));
  Elsewhere.Report.Zone = ZoneId("other");
  CHECK(placementScore(Elsewhere, Request) > SameZone);
  Elsewhere.Used = {};
  Elsewhere.Runs.clear();
  CHECK(placementScore(Elsewhere, Request) < placementScore(Busy, Request));
  PlacementRequest HealthyOnly = Request;
  HealthyOnly.HealthyOnly = true;
  CHECK(canRun(Busy, HealthyOnly));
  Busy.Health = {.Slowdown = 2};
  CHECK_FALSE(canRun(Busy, HealthyOnly));
}

TEST_CASE(
    "a ceiling includes steps and copies beyond a task that has two runs") {
  // Guards against exceeding a ceiling after a takeover: the task may have been
  // done where this holder got no answer, or its copy may still run there.
  for (const bool Done : {false, true}) {
    TestSite Site({.Policy = {.CompareUpstreamSpeed = true},
                   .Term = 1,
                   .InheritedRunsUntil = at(5000)});
    Site.Configuration.Organisations.front().Ceiling.CpuMilli = 3500;
    Site.JobScheduler.configure(Site.Configuration);
    FakeUpstream &Upstream = Site.add("u1", 8000);
    Site.addVm("silent");
    std::vector<StepSpec> Steps{speculative(Done ? 2 : 1, 1000, 500)};
    if (!Done)
      Steps.push_back(stepOf(1, 1000, 500, {0}));
    Site.submit(jobOf("job", Steps), true);
    Upstream.Running[{{JobId("job"), 0, 0, 0}, 1}] = {5000, 10};
    if (Done) {
      const RunId Other{{JobId("job"), 0, 0, 1}, 1};
      Upstream.Running[Other] = {5000, 10};
      Upstream.end(Other, RunEnd::Done);
    }
    Site.poll(Upstream);
    Site.submit(jobOf("new", {stepOf(1, 1000, 500)}));
    CHECK(Site.schedule().empty());
  }
}

TEST_CASE("a ceiling includes copies that an earlier holder may have started") {
  // Guards against exceeding a ceiling after a takeover: one run of the task
  // has been listed, the other one is on an upstream that has not answered.
  for (const bool Allowed : {false, true}) {
    TestSite Site({.Policy = {.CompareUpstreamSpeed = true},
                   .Term = 1,
                   .InheritedRunsUntil = at(5000)});
    Site.Configuration.Organisations.front().Ceiling.CpuMilli = 2500;
    Site.JobScheduler.configure(Site.Configuration);
    FakeUpstream &Upstream = Site.add("u1", 8000);
    Site.addVm("silent");
    Site.submit(jobOf("job", {Allowed ? speculative(1, 1000, 500)
                                      : stepOf(1, 1000, 500)}),
                true);
    Upstream.Running[{{JobId("job"), 0, 0, 0}, 1}] = {5000, 10};
    Site.poll(Upstream);
    Site.submit(jobOf("new", {stepOf(1, 1000, 500)}));
    CHECK(Site.schedule().size() == (Allowed ? 0 : 1));
  }
}

TEST_CASE(
    "property: only speculative tasks have two runs, and no job is lost") {
  CHECK(rc::check([] {
    TestSite Site(comparing());
    Site.TaskDurationMs = 400;
    for (const char *Id : {"u1", "u2", "u3"})
      Site.add(Id, 4000);
    Site.Upstreams.at("u1").Slowdown = 8;
    Site.Upstreams.at("u2").Slowdown = 2;
    int Jobs = 0;
    std::set<JobId> Speculative;
    // Below 25: submit; 30: change reachability; 35: fail a run; 40: store
    // progress; otherwise: advance the clock by a multiple of that.
    const auto Actions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    const auto Check = [&] {
      Site.schedule();
      std::map<TaskId, int> Running;
      for (const auto &[Name, Each] : Site.Upstreams)
        for (const auto &[Run, State] : Each.Running)
          RC_ASSERT(++Running[Run.Task] <=
                    1 + int(Speculative.contains(Run.Task.Job)));
      for (const auto &[Name, Each] : Site.Upstreams) {
        RC_ASSERT(Site.usedCpu(Name) >= 0);
        RC_ASSERT(Site.usedCpu(Name) <= 4000);
      }
    };
    for (const int Action : Actions) {
      FakeUpstream &Upstream =
          Site.Upstreams.at("u" + std::to_string(1 + Action % 3));
      if (Action < 25) {
        JobSpec Spec = jobOf(
            "job" + std::to_string(Jobs++),
            {stepOf(1 + Action % 4, 1000, 200), stepOf(1, 500, 200, {0})});
        if (Action % 2) {
          Speculative.insert(Spec.Id);
          for (StepSpec &Step : Spec.Steps)
            Step.Speculative = true;
        }
        Site.submit(std::move(Spec));
      } else if (Action < 30) {
        Upstream.Unreachable = !Upstream.Unreachable;
      } else if (Action < 35 && !Upstream.Running.empty()) {
        Upstream.end(Upstream.Running.begin()->first, RunEnd::Failed);
      } else if (Action < 40) {
        Site.storeAll();
      } else {
        Site.advance(3 * Action);
      }
      Check();
    }
    // The fake site does not repeat stops that got no answer, so that only the
    // end of the upstreams settles the runs they were for.
    for (const char *Id : {"u1", "u2", "u3"}) {
      Site.Upstreams.erase(Id);
      Site.JobScheduler.removeUpstream(UpstreamId(Id), "test", at(Site.NowMs));
    }
    for (const char *Id : {"v1", "v2", "v3"})
      Site.add(Id, 4000);
    for (int Round = 0; Round < 150; ++Round) {
      Site.advance(100);
      Check();
      Site.storeAll();
    }
    for (int Job = 0; Job < Jobs; ++Job) {
      const auto State =
          Site.JobScheduler.stateOf(JobId("job" + std::to_string(Job)));
      RC_ASSERT(State == JobState::Completed || State == JobState::Failed);
    }
  }));
}
