#include "testsite.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

const JobId TestJob("0123456789abcdef");

TaskId task(int Step, int Index) { return {TestJob, 0, Step, Index}; }

/// Starts a job of long-running tasks, one on each of the upstreams u1, u2...
void startLongRunning(TestSite &Site, int Tasks, int MaxUnavailable) {
  Site.TaskDurationMs = 1000000;
  StepSpec Service = stepOf(Tasks, 1000, 500);
  Service.LongRunning = true;
  Service.MaxPerUpstream = 1;
  Service.MaxUnavailable = MaxUnavailable;
  for (int Index = 1; Index <= Tasks; ++Index)
    Site.add("u" + std::to_string(Index), 8000);
  Site.submit(jobOf(TestJob.str(), {Service}));
  REQUIRE(int(Site.schedule().size()) == Tasks);
}

/// Makes all running tasks ready at the next listing.
void makeReady(TestSite &Site) {
  for (auto &[Id, Each] : Site.Upstreams)
    for (auto &[Run, State] : Each.Running)
      State.second = 100;
}

} // namespace

TEST_CASE("a job runs its steps in order and is shown as completed once it is "
          "stored") {
  TestSite Site;
  Site.add("u1", 8000);
  Site.submit(
      jobOf(TestJob.str(), {stepOf(2, 1000, 500), stepOf(1, 1000, 500, {0})}));
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Queued));
  CHECK(Site.schedule().size() == 2);
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Running));
  Site.advance(600);
  const auto Second = Site.schedule();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Run.Task == task(1, 0));
  Site.advance(600);
  CHECK((Site.JobScheduler.stateOf(TestJob) ==
         JobState::Running)); // Not stored yet.
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
}

TEST_CASE("no upstream is assigned more than its capacity") {
  TestSite Site;
  Site.add("u1", 3000);
  Site.add("u2", 2000);
  Site.submit(jobOf(TestJob.str(), {stepOf(10, 1000, 500)}));
  CHECK(Site.schedule().size() == 5);
  CHECK(Site.usedCpu("u1") == 3000);
  CHECK(Site.usedCpu("u2") == 2000);
}

TEST_CASE("an ended run is acknowledged only after its progress is stored") {
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(2, 1000, 500)}));
  Site.schedule();
  Site.advance(600);
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 0);
  Site.storeAll();
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 2);
}

TEST_CASE("a failed run that is listed again to the next holder counts once") {
  // An ended run may be listed to the previous and to the new holder. If its
  // failure counts twice, the job fails before its last attempt.
  TestSite First;
  FakeUpstream &Upstream = First.add("u1", 8000);
  First.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  const auto Starts = First.schedule();
  REQUIRE(Starts.size() == 1);
  Upstream.end(Starts[0].Run, RunEnd::Failed);
  First.poll(Upstream);
  const auto Changes = First.JobScheduler.takeProgress();
  REQUIRE(Changes.size() == 1);
  const auto Stored = decodeProgress(Changes[0].Text);
  REQUIRE(Stored.has_value());

  TestSite Second({.Term = 1});
  Second.JobScheduler.addJob(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}),
                             *Stored, true, at(1000), at(1000));
  FakeUpstream &Same = Second.add("u1", 8000);
  Same.Ended = Upstream.Ended;
  Second.poll(Same);
  const auto Again = Second.JobScheduler.takeProgress();
  CHECK(Again.empty());
}

TEST_CASE("a job fails after its maximum number of attempts, and no earlier") {
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  for (int Attempt = 1; Attempt <= 3; ++Attempt) {
    CHECK((Site.JobScheduler.stateOf(TestJob) != JobState::Failed));
    const auto Starts = Site.schedule();
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].Run.Number == Attempt);
    Upstream.end(Starts[0].Run, RunEnd::Failed);
    Site.poll(Upstream);
    Site.NowMs += 100;
  }
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Failed));
  CHECK(Site.schedule().empty());
}

TEST_CASE(
    "an unanswered start counts as running until its stop is acknowledged") {
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  Upstream.Unreachable = true;
  REQUIRE(Site.schedule().size() == 1);
  Site.add("u2", 8000);
  Site.NowMs += 1000;
  CHECK(Site.schedule()
            .empty()); // The run may be active on u1, or may start there later.
  CHECK(Site.usedCpu("u1") == 1000);
  Upstream.Unreachable = false;
  const RunId Run{task(0, 0), 1};
  Site.JobScheduler.handleStopOutcome(
      Upstream.Report.Id, Run, StopOutcome::Acknowledged, at(Site.NowMs));
  Site.NowMs += 10;
  Site.poll(Upstream);
  const auto Next = Site.schedule();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Run.Number == 2);
}

TEST_CASE("a long-running task whose start was answered late is not stopped") {
  // Many VMs join a pool at a peak, and answers to starts are read late. Tasks
  // that had begun were stopped while the others of their step were away.
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  StepSpec Step = stepOf(1, 1000, 500);
  Step.LongRunning = true;
  Step.MaxUnavailable = 0;
  Site.submit(jobOf(TestJob.str(), {Step}));
  Upstream.Unreachable = true; // The answer is late: the outcome is unknown.
  REQUIRE(Site.schedule().size() == 1);
  Upstream.Unreachable = false;
  const RunId Run{task(0, 0), 1};
  SUBCASE("it has begun") {
    Upstream.Running[Run] = {Site.NowMs + 60000, 100};
    CHECK(Site.schedule().empty());
    CHECK(Upstream.Running.contains(Run));
    Site.advance(100);
    CHECK(Site.schedule().empty());
    Site.advance(3000);
    CHECK(Site.schedule().empty());
    CHECK(Upstream.Running.contains(Run));
  }
  SUBCASE("it may begin later") {
    // It is barred by a stop, and started again once that is acknowledged.
    Site.advance(100);
    CHECK(Site.schedule().empty());
    Site.advance(100);
    const auto Next = Site.schedule();
    REQUIRE(Next.size() == 1);
    CHECK(Next[0].Run.Number == 2);
    CHECK(Upstream.Fenced.contains(Run));
  }
}

TEST_CASE("the stop of a long-running task that began late is not repeated") {
  // Orders are carried out late. The repeated stop, meant to bar the start,
  // ended the task at work while another of its step was away.
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  StepSpec Step = stepOf(1, 1000, 500);
  Step.LongRunning = true;
  Step.MaxUnavailable = 0;
  Site.submit(jobOf(TestJob.str(), {Step}));
  Upstream.Unreachable = true;
  REQUIRE(Site.schedule().size() == 1);
  const RunId Run{task(0, 0), 1};
  Site.NowMs += 100;
  Upstream.Unreachable = false;
  Site.poll(Upstream); // Does not list the run.
  Upstream.Unreachable = true;
  Site.schedule(); // The stop gets no answer.
  CHECK(Site.JobScheduler.wantsStop(Upstream.Report.Id, Run));
  Upstream.Unreachable = false;
  Upstream.Running[Run] = {Site.NowMs + 60000, 100};
  Site.advance(100);
  CHECK_FALSE(Site.JobScheduler.wantsStop(Upstream.Report.Id, Run));
  CHECK(Site.schedule().empty());
  Site.advance(3000);
  CHECK(Upstream.Running.contains(Run));
}

TEST_CASE(
    "inherited tasks that may run on unanswered upstreams are not started "
    "again") {
  // After a takeover, a run of an inherited job may be active or may have ended
  // on an upstream that has not answered yet. The job must not be started again
  // before it answers.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.add("u1", 8000);
  UpstreamReport Unanswered = Site.Upstreams.at("u1").Report;
  Unanswered.Id = UpstreamId("u2");
  Site.JobScheduler.updateUpstream(Unanswered, at(Site.NowMs));
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().empty());
  Site.submit(jobOf("ffffffffffffffff", {stepOf(1, 1000, 500)}), false);
  CHECK(Site.schedule().size() == 1); // Accepted after the takeover.
  Site.NowMs = 5001;
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Run.Task.Job == TestJob);
  CHECK(Starts[0].Run.Number > 64); // Not a number of the previous holder.
}

TEST_CASE(
    "inherited tasks are not restarted while an unregistered upstream may run "
    "them") {
  // The registry entries of the upstreams of a partitioned zone expire while
  // their tasks keep running. A new holder, here the second after the
  // partition, must not start these tasks again.
  TestSite Site({.Term = 2, .InheritedRunsUntil = at(5000)});
  Site.add("u1", 8000);
  Site.addVm("u2");
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().empty());
  Site.submit(jobOf("ffffffffffffffff", {stepOf(1, 1000, 500)}), false);
  CHECK(Site.schedule().size() == 1); // Accepted after the takeover.
  Site.NowMs = 5001;
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("inherited tasks wait until the VMs are listed and all upstreams "
          "answered") {
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  FakeUpstream &Only = Site.Upstreams["u1"];
  Only.Report = {.Id = UpstreamId("u1"),
                 .Pool = PoolId("pool"),
                 .IncarnationStartMs = 1,
                 .Capacity = {8000, 100000, 0}};
  Site.JobScheduler.updateUpstream(Only.Report, at(Site.NowMs));
  Site.poll(Only);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().empty());
  Site.addVm("u1");
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("ended runs of unknown jobs are not acknowledged") {
  TestSite Site({.UnknownJobsUntil = at(20000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Ended.push_back({1, {task(0, 0), 1}, RunEnd::Done, ""});
  Site.poll(Upstream);
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 0);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  Site.poll(Upstream);
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 1);
}

TEST_CASE("an ended run listed after one of an unknown job is not lost") {
  TestSite Site({.UnknownJobsUntil = at(20000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  const RunId Unknown{{JobId("ffffffffffffffff"), 0, 0, 0}, 1};
  Upstream.Ended.push_back(
      {++Upstream.LastSequence, Unknown, RunEnd::Done, ""});
  Upstream.end(Starts[0].Run, RunEnd::Done);
  Site.NowMs += 100;
  Site.poll(Upstream);
  CHECK(Site.schedule().empty());
  Site.submit(jobOf("ffffffffffffffff", {stepOf(1, 1000, 500)}));
  Site.poll(Upstream);
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
}

TEST_CASE("a late registry entry does not add a retired upstream again") {
  TestSite Site;
  const UpstreamReport Report = Site.add("u1", 8000).Report;
  Site.JobScheduler.retireUpstream(Report.Id, "test", at(2000));
  Site.JobScheduler.updateUpstream(Report, at(2100));
  CHECK(Site.JobScheduler.upstreams().empty());
  UpstreamReport Next = Report;
  Next.IncarnationStartMs = 2;
  Site.JobScheduler.updateUpstream(Next, at(2200));
  CHECK(Site.JobScheduler.upstreams().size() == 1);
}

TEST_CASE("ended incarnations of upstreams are not remembered for ever") {
  // Each move of a VM ends one, several thousand an hour on a large site.
  constexpr std::int64_t RetentionMs = 300000;
  TestSite Site;
  const UpstreamReport Report = Site.add("u1", 8000).Report;
  Site.JobScheduler.retireUpstream(Report.Id, "test", at(0));
  Site.JobScheduler.updateUpstream(Report, at(RetentionMs));
  CHECK(Site.JobScheduler.upstreams().empty());
  Site.JobScheduler.retireUpstream(UpstreamId("u2"), "test",
                                   at(RetentionMs + 1));
  Site.JobScheduler.updateUpstream(Report, at(RetentionMs + 2));
  CHECK(Site.JobScheduler.upstreams().size() == 1);
}

TEST_CASE(
    "tasks of a lost upstream restart elsewhere; a cancelled job's do not") {
  TestSite Site;
  Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  Site.schedule();
  Site.add("u2", 8000);
  Site.JobScheduler.removeUpstream(UpstreamId("u1"), "test", at(Site.NowMs));
  CHECK(Site.schedule().size() == 1);
  Site.JobScheduler.cancelJob(TestJob, at(Site.NowMs));
  Site.JobScheduler.removeUpstream(UpstreamId("u2"), "test", at(Site.NowMs));
  Site.add("u3", 8000);
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Cancelled));
}

TEST_CASE("a ceiling includes inherited tasks on unanswered upstreams") {
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.Configuration.Organisations[0].Ceiling = {3000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 8000);
  UpstreamReport Unanswered = Site.Upstreams.at("u1").Report;
  Unanswered.Id = UpstreamId("u2");
  Site.JobScheduler.updateUpstream(Unanswered, at(Site.NowMs));
  Site.submit(jobOf(TestJob.str(), {stepOf(2, 1000, 500)}), true);
  Site.submit(jobOf("ffffffffffffffff", {stepOf(3, 1000, 500)}), false);
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE(
    "a ceiling includes tasks of a cancelled job on unanswered upstreams") {
  // The previous holder is cut off with a zone that runs the job, and a caller
  // cancels it through a daemon of another zone.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.Configuration.Organisations[0].Ceiling = {3000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 8000);
  Site.addVm("u2");
  Site.submit(jobOf(TestJob.str(), {stepOf(2, 1000, 500)}), true);
  Site.JobScheduler.cancelJob(TestJob, at(Site.NowMs));
  Site.storeAll();
  Site.submit(jobOf("ffffffffffffffff", {stepOf(3, 1000, 500)}), false);
  CHECK(Site.schedule().size() == 1);
  Site.NowMs = 5001;
  CHECK(Site.schedule().size() == 2);
}

TEST_CASE("a ceiling includes steps that an earlier holder may have begun") {
  // Their dependencies may have ended on an upstream that has not answered.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.Configuration.Organisations[0].Ceiling = {4000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 8000);
  Site.addVm("u2");
  Site.submit(
      jobOf(TestJob.str(), {stepOf(1, 500, 500), stepOf(3, 1000, 500, {0})}),
      true);
  Site.submit(jobOf("ffffffffffffffff", {stepOf(4, 1000, 500)}), false);
  CHECK(Site.schedule().size() <= 1);
}

TEST_CASE(
    "a ceiling ignores steps whose dependencies certainly have not ended") {
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.Configuration.Organisations[0].Ceiling = {4000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  FakeUpstream &Answering = Site.add("u1", 8000);
  Site.addVm("u2");
  Site.submit(
      jobOf(TestJob.str(), {stepOf(1, 500, 500), stepOf(3, 1000, 500, {0})}),
      true);
  Answering.Running[{task(0, 0), 1}] = {60000, 0};
  Site.poll(Answering);
  Site.submit(jobOf("ffffffffffffffff", {stepOf(4, 1000, 500)}), false);
  CHECK(Site.schedule().size() == 3);
}

TEST_CASE("a run of a cancelled job that a new holder finds counts until it "
          "has ended") {
  // Callers cancel jobs also while there is no holder. A run that is being
  // stopped still uses its upstream, which may not guard its capacity.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.Configuration.Organisations[0].Ceiling = {5000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  FakeUpstream &Upstream = Site.add("u1", 4000);
  const RunId Run{task(0, 0), 1};
  Upstream.Running[Run] = {60000, 50};
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 3000, 500)}), true);
  Site.JobScheduler.cancelJob(TestJob, at(Site.NowMs));
  SUBCASE("its end is not stored yet") {}
  SUBCASE("its end is stored") { Site.storeAll(); }
  Site.poll(Upstream);
  CHECK(Site.usedCpu("u1") == 3000);
  Site.submit(jobOf("ffffffffffffffff", {stepOf(4, 1000, 500)}), false);
  CHECK(Site.schedule().size() == 1); // Its stop is sent as well.
  CHECK_FALSE(Upstream.Running.contains(Run));
  Site.NowMs += 10;
  Site.poll(Upstream);
  CHECK(Site.schedule().size() == 3);
  CHECK(Site.usedCpu("u1") == 4000);
}

TEST_CASE("an occurrence that an earlier holder began too early is not begun "
          "again") {
  // Its clock was ahead. The new holder finds the run before it has created the
  // occurrence itself.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  JobSpec Spec = jobOf(TestJob.str(), {stepOf(1, 1000, 500)});
  Spec.Schedule = {
      .Count = 1, .FirstDueMs = Site.NowMs + 2000, .IntervalMs = 1};
  Site.submit(Spec, true);
  const RunId Run{task(0, 0), 1};
  Upstream.Running[Run] = {Site.NowMs + 60000, 50};
  SUBCASE("its run is active") {
    Site.poll(Upstream);
    CHECK(Site.usedCpu("u1") == 1000);
    CHECK(Site.schedule().empty());
    Site.NowMs += 2000;
    CHECK(Site.schedule().empty());
  }
  SUBCASE("its run has ended") {
    Upstream.end(Run, RunEnd::Done);
    Site.poll(Upstream);
    CHECK(Site.schedule().empty());
    Site.storeAll();
    Site.NowMs += 2000;
    CHECK(Site.schedule().empty());
    Site.storeAll();
    CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
  }
  SUBCASE("its run has failed") {
    Upstream.end(Run, RunEnd::Failed);
    Site.poll(Upstream);
    Site.NowMs += 1000;
    CHECK(Site.schedule().empty()); // Not due yet.
    Site.NowMs += 1000;
    const auto Starts = Site.schedule();
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].Run.Number > 1);
  }
}

TEST_CASE(
    "an upstream that did not answer a start gets no tasks until it answers") {
  // If a zone is partitioned during a peak and the other VMs are full, only the
  // unreachable upstreams have free capacity. Tasks placed on them are lost
  // when their leases expire.
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000); // Has free capacity.
  Upstream.Unreachable = true;
  Site.submit(jobOf(TestJob.str(), {stepOf(2, 1000, 500)}));
  Site.schedule();
  Site.submit(jobOf("ffffffffffffffff", {stepOf(1, 500, 500)}));
  Site.NowMs += 10;
  CHECK(Site.schedule().empty());
  Upstream.Unreachable = false;
  Site.poll(Upstream);
  for (const int Index : {0, 1})
    Site.JobScheduler.handleStopOutcome(Upstream.Report.Id, {task(0, Index), 1},
                                        StopOutcome::Acknowledged,
                                        at(Site.NowMs));
  Site.NowMs += 10;
  Site.poll(Upstream);
  CHECK_FALSE(Site.schedule().empty());
}

TEST_CASE(
    "a zone that stops answering while others answer gets no more tasks") {
  TestSite Site;
  for (int Index = 0; Index < 16; ++Index) {
    FakeUpstream &Each = Site.add("u" + std::to_string(Index), 1000);
    Each.Report.Zone = ZoneId(Index < 8 ? "near" : "cut");
    Site.JobScheduler.updateUpstream(Each.Report, at(Site.NowMs));
  }
  Site.advance(10);
  for (int Index = 8; Index < 16; ++Index)
    Site.Upstreams.at("u" + std::to_string(Index)).Unreachable = true;
  Site.advance(400);
  Site.submit(jobOf(TestJob.str(), {stepOf(16, 1000, 500)}));
  const auto Starts = Site.schedule();
  CHECK(Starts.size() == 8);
  for (const StartCommand &Start : Starts)
    CHECK(Site.Upstreams.at(Start.Upstream.str()).Report.Zone ==
          ZoneId("near"));
}

TEST_CASE("ended runs of an answer that arrives out of order are applied") {
  // If an answer that lists an ended run arrives after a newer answer and is
  // ignored, and then the VM is taken down, the task is started again.
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.add("u2", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  Site.JobScheduler.applyEndedRuns(Starts[0].Upstream,
                                   {{1, Starts[0].Run, RunEnd::Done, ""}},
                                   at(Site.NowMs));
  Site.JobScheduler.retireUpstream(Upstream.Report.Id, "test", at(Site.NowMs));
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
}

TEST_CASE("an upstream can be cordoned before it is in the registry") {
  TestSite Site;
  Site.JobScheduler.cordon(UpstreamId("u1"), true);
  Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  CHECK(Site.schedule().empty());
  Site.JobScheduler.cordon(UpstreamId("u1"), false);
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("a cordon is kept as long as a VM runs the upstream") {
  TestSite Site;
  Site.add("u1", 8000);
  Site.JobScheduler.cordon(UpstreamId("u1"), true);
  Site.JobScheduler.setHostedUpstreams(Site.Vms);
  Site.JobScheduler.removeUpstream(UpstreamId("u1"), "silent", at(Site.NowMs));
  Site.JobScheduler.updateUpstream(Site.Upstreams.at("u1").Report,
                                   at(Site.NowMs));
  Site.poll(Site.Upstreams.at("u1"));
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  CHECK(Site.schedule().empty()); // The same incarnation.
  Site.JobScheduler.setHostedUpstreams({});
  Site.JobScheduler.removeUpstream(UpstreamId("u1"), "gone", at(Site.NowMs));
  Site.JobScheduler.updateUpstream(Site.Upstreams.at("u1").Report,
                                   at(Site.NowMs));
  Site.poll(Site.Upstreams.at("u1"));
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("late work counts only partly as demand for VMs") {
  // If late work counts fully, it keeps VMs in its pool that a pool at the
  // beginning of its peak needs (261 VMs against 22 in one case).
  TestSite Site;
  Site.submit(jobOf(TestJob.str(), {stepOf(10, 1000, 500)}));
  const auto Demand = [&] {
    return Site.JobScheduler.demand(at(Site.NowMs)).at(PoolId("pool")).CpuMilli;
  };
  CHECK(Demand() == 10000);
  Site.NowMs += 5000;
  CHECK(Demand() == 2000);
}

TEST_CASE("the use by inherited tasks is bounded by the unanswered capacity") {
  // If all waiting tasks count as possibly running after a takeover, new jobs
  // of the same organisations reach their ceilings and are not started.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  Site.Configuration.Organisations[0].Ceiling = {10000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 8000);
  Site.Vms.push_back({.Id = VmId("vm-u2"),
                      .Pool = PoolId("pool"),
                      .State = VmState::Up,
                      .Capacity = {4000, 100000, 0},
                      .Upstream = UpstreamId("u2")});
  Site.JobScheduler.setHostedUpstreams(Site.Vms);
  Site.submit(jobOf(TestJob.str(), {stepOf(50, 1000, 500)}), true);
  Site.submit(jobOf("ffffffffffffffff", {stepOf(8, 1000, 500)}), false);
  CHECK(Site.schedule().size() ==
        6); // The ceiling of 10 less the 4 that u2 may run.
}

TEST_CASE("a gang starts completely or not at all, with one run number") {
  TestSite Site;
  Site.add("u1", 2000);
  StepSpec Gang = stepOf(3, 1000, 500);
  Gang.Gang = true;
  Site.submit(jobOf(TestJob.str(), {Gang}));
  CHECK(Site.schedule().empty());
  Site.add("u2", 2000);
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 3);
  for (const StartCommand &Start : Starts)
    CHECK(Start.Run.Number == Starts[0].Run.Number);
}

TEST_CASE("an availability budget of one lets one task move at a time") {
  TestSite Site;
  startLongRunning(Site, 2, 1);
  Site.add("u3", 8000); // Free capacity for the evacuated task.
  makeReady(Site);
  Site.advance(10);
  Site.advance(800); // Both are available.
  CHECK(Site.JobScheduler.canInterrupt(UpstreamId("u1"), at(Site.NowMs)));
  Site.JobScheduler.evacuate(UpstreamId("u1"), at(Site.NowMs));
  CHECK_FALSE(Site.JobScheduler.canInterrupt(UpstreamId("u2"), at(Site.NowMs)));
  Site.JobScheduler.evacuate(UpstreamId("u2"), at(Site.NowMs));
  Site.schedule();
  CHECK(Site.Upstreams.at("u2").Running.size() == 1);
}

TEST_CASE("a long-running task that fits nowhere else is not evacuated") {
  TestSite Site;
  startLongRunning(Site, 2, 1);
  makeReady(Site);
  Site.advance(10);
  Site.advance(800);
  CHECK(Site.JobScheduler.evacuate(UpstreamId("u1"), at(Site.NowMs)) == 1);
  Site.schedule();
  CHECK(Site.Upstreams.at("u1").Running.size() == 1);
  const auto Blocking =
      Site.JobScheduler.blockingTask(UpstreamId("u1"), at(Site.NowMs));
  REQUIRE(Blocking.Found);
  CHECK_FALSE(Blocking.FitsElsewhere);
}

TEST_CASE(
    "stop commands of the previous holder may take effect after a takeover") {
  // Upstreams list tasks that the previous holder stopped shortly before the
  // takeover as running for another 0.4 s. The new holder must not count them
  // as available.
  TestSite Site({.Term = 1, .StopsPendingUntil = at(2500)});
  startLongRunning(Site, 3, 1);
  Site.add("u4", 8000);
  makeReady(Site);
  Site.advance(10);
  Site.advance(800);
  REQUIRE(Site.NowMs < 2500);
  CHECK_FALSE(Site.JobScheduler.canInterrupt(UpstreamId("u1"), at(Site.NowMs)));
  Site.advance(1000);
  CHECK(Site.JobScheduler.canInterrupt(UpstreamId("u1"), at(Site.NowMs)));
}

TEST_CASE("long-running tasks are evacuated before maintenance begins") {
  // Several tasks of a step with a budget of one (seven in one case) may be on
  // one VM of the wave. They move one at a time, which takes too long if it
  // begins only when the pool's peak is over.
  TestSite Site;
  startLongRunning(Site, 2, 1);
  Site.add("u3", 8000);
  Site.add("u4", 8000);
  makeReady(Site);
  Site.advance(10);
  Site.advance(800);
  Site.JobScheduler.setMaintenanceDue({UpstreamId("u1"), UpstreamId("u2")});
  Site.schedule();
  const auto OnDue = [&] {
    return Site.Upstreams.at("u1").Running.size() +
           Site.Upstreams.at("u2").Running.size();
  };
  CHECK(OnDue() == 1); // The budget lets one task move at a time.
  for (int Step = 0; Step < 10; ++Step) {
    Site.advance(100);
    Site.schedule();
    makeReady(Site);
  }
  CHECK(OnDue() == 0);
  // They are not moved again to another VM that is due.
  Site.JobScheduler.setMaintenanceDue(
      {UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3"), UpstreamId("u4")});
  Site.schedule();
  CHECK(OnDue() == 0);
}

TEST_CASE("tasks that a pending command will end count as unavailable") {
  // Two VMs with tasks of the same step may be due to be taken down within a
  // short time (20 ms). A budget of one allows only the first.
  TestSite Site;
  startLongRunning(Site, 2, 1);
  makeReady(Site);
  Site.advance(10);
  Site.advance(800);
  CHECK(Site.JobScheduler.canInterrupt(UpstreamId("u2"), at(Site.NowMs)));
  Site.JobScheduler.setTakedownPending(UpstreamId("u1"), true);
  CHECK_FALSE(Site.JobScheduler.canInterrupt(UpstreamId("u2"), at(Site.NowMs)));
  Site.JobScheduler.setTakedownPending(UpstreamId("u1"),
                                       false); // The command was rejected.
  CHECK(Site.JobScheduler.canInterrupt(UpstreamId("u2"), at(Site.NowMs)));
}

TEST_CASE("long-running tasks avoid VMs that are due for maintenance") {
  // Tasks evacuated from one VM of a wave to another VM of the same wave have
  // to be moved again, and delay the wave each time.
  TestSite Site;
  Site.add("u1", 8000);
  Site.add("u2", 8000);
  Site.JobScheduler.setMaintenanceDue({UpstreamId("u1")});
  StepSpec Service = stepOf(1, 1000, 500);
  Service.LongRunning = true;
  Site.submit(jobOf(TestJob.str(), {Service}));
  auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Upstream == UpstreamId("u2"));
  // Placed on a VM that is due if there is no other.
  Site.JobScheduler.setMaintenanceDue({UpstreamId("u1"), UpstreamId("u2")});
  Site.submit(jobOf("ffffffffffffffff", {Service}));
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE(
    "an upstream with a starting task is polled early if evacuations wait") {
  TestSite Site;
  startLongRunning(Site, 2, 1);
  const auto PolledEarly = [&] {
    return Site.JobScheduler.needsEarlyPoll(UpstreamId("u2"), at(Site.NowMs));
  };
  CHECK_FALSE(PolledEarly()); // No evacuation is pending.
  Site.JobScheduler.evacuate(UpstreamId("u1"), at(Site.NowMs));
  CHECK(PolledEarly());
  makeReady(Site);
  Site.advance(10);
  Site.advance(300);
  Site.JobScheduler.evacuate(UpstreamId("u1"), at(Site.NowMs));
  CHECK_FALSE(PolledEarly()); // The task is available.
}

TEST_CASE("stuck tasks count as unavailable") {
  // Upstreams that hang still list their tasks at 100 percent, but these tasks
  // must not count as available.
  TestSite Site;
  startLongRunning(Site, 4, 3);
  for (const char *Id : {"u5", "u6", "u7"})
    Site.add(Id, 8000); // Free capacity for evacuated tasks.
  makeReady(Site);
  Site.advance(10);
  Site.Upstreams.at("u4").Hangs = true;
  Site.advance(800);
  for (const char *Id : {"u1", "u2", "u3"})
    Site.JobScheduler.evacuate(UpstreamId(Id), at(Site.NowMs));
  Site.JobScheduler.cordon(UpstreamId("u1"), true);
  Site.JobScheduler.cordon(UpstreamId("u2"), true);
  Site.schedule();
  CHECK(Site.Upstreams.at("u1").Running.empty());
  CHECK(Site.Upstreams.at("u2").Running.empty());
  CHECK(Site.Upstreams.at("u3").Running.size() == 1);
}

TEST_CASE("property: evacuations respect a budget, whichever tasks are stuck") {
  CHECK(rc::check([] {
    const int Tasks = *rc::gen::inRange(2, 6);
    const int Budget = *rc::gen::inRange(1, Tasks);
    TestSite Site;
    startLongRunning(Site, Tasks, Budget);
    Site.add("u8", 80000);
    makeReady(Site);
    Site.advance(10);
    int Hung = 0;
    for (int Index = 1; Index <= Tasks; ++Index) {
      const bool Hangs = *rc::gen::arbitrary<bool>();
      Site.Upstreams.at("u" + std::to_string(Index)).Hangs = Hangs;
      Hung += Hangs;
    }
    Site.advance(800);
    int Stopped = 0;
    for (int Index = 1; Index <= Tasks; ++Index) {
      const std::string Id = "u" + std::to_string(Index);
      Site.JobScheduler.evacuate(UpstreamId(Id), at(Site.NowMs));
      Site.schedule();
      Stopped +=
          Site.Upstreams.at(Id).Running.empty() && !Site.Upstreams.at(Id).Hangs;
    }
    RC_ASSERT(Stopped <= std::max(0, Budget - Hung));
  }));
}

TEST_CASE("a task last listed as starting may be available by now") {
  // A task may become available after the last listing. If it is interrupted as
  // if it were still starting while another task of its step is unavailable,
  // the budget is exceeded.
  TestSite Site;
  startLongRunning(Site, 2, 1);
  Site.advance(100); // Both are still starting.
  CHECK_FALSE(Site.JobScheduler.canInterrupt(UpstreamId("u1"), at(Site.NowMs)));
  Site.JobScheduler.evacuate(UpstreamId("u1"), at(Site.NowMs));
  Site.schedule();
  CHECK(Site.Upstreams.at("u1").Running.size() == 1);
}

TEST_CASE("tasks on an upstream without a recent answer count as unavailable") {
  // Tasks on a failed rack must not count as available because of an old
  // listing.
  TestSite Site;
  startLongRunning(Site, 2, 1);
  makeReady(Site);
  Site.advance(10);
  Site.Upstreams.at("u2").Unreachable = true;
  Site.advance(1000);
  Site.advance(1000);
  CHECK_FALSE(Site.JobScheduler.canInterrupt(UpstreamId("u1"), at(Site.NowMs)));
}

TEST_CASE("an upstream that has not answered does not count as empty") {
  // Just after a takeover, tasks may run on upstreams that have not answered
  // the new holder yet. Their VMs must not be moved.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  const UpstreamReport Report = Site.add("u1", 8000).Report;
  UpstreamReport Unanswered = Report;
  Unanswered.Id = UpstreamId("u2");
  Site.JobScheduler.updateUpstream(Unanswered, at(Site.NowMs));
  CHECK(Site.JobScheduler.loadOf(Report.Id, at(Site.NowMs)).Fresh);
  CHECK_FALSE(Site.JobScheduler.loadOf(Unanswered.Id, at(Site.NowMs)).Fresh);
  CHECK(Site.JobScheduler.canInterrupt(Report.Id, at(Site.NowMs)));
  CHECK_FALSE(Site.JobScheduler.canInterrupt(Unanswered.Id, at(Site.NowMs)));
  CHECK_FALSE(Site.JobScheduler.canInterrupt(UpstreamId("u3"), at(Site.NowMs)));
  CHECK_FALSE(Site.JobScheduler.loadOf(Report.Id, at(Site.NowMs + 3000)).Fresh);
}

TEST_CASE("property: no task runs twice when answers are lost and runs fail") {
  CHECK(rc::check([] {
    TestSite Site;
    Site.add("u1", 4000);
    Site.add("u2", 4000);
    Site.add("u3", 4000);
    int Jobs = 0;
    // Below 30: submit; 40: change reachability; 50: fail a run; 60: store
    // progress; otherwise: advance the clock by that many ms.
    const auto Actions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int Action : Actions) {
      const std::string Id = "u" + std::to_string(1 + Action % 3);
      FakeUpstream &Upstream = Site.Upstreams.at(Id);
      if (Action < 30)
        Site.submit(jobOf(
            "job" + std::to_string(Jobs++),
            {stepOf(1 + Action % 4, 1000, 300), stepOf(1, 500, 300, {0})}));
      else if (Action < 40)
        Upstream.Unreachable = !Upstream.Unreachable;
      else if (Action < 50 && !Upstream.Running.empty())
        Upstream.end(Upstream.Running.begin()->first, RunEnd::Failed);
      else if (Action < 60)
        Site.storeAll();
      else
        Site.advance(Action);
      Site.schedule();
      std::map<TaskId, int> Running;
      for (const auto &[Name, Each] : Site.Upstreams)
        for (const auto &[Run, State] : Each.Running)
          RC_ASSERT(++Running[Run.Task] == 1);
      for (const auto &[Name, Each] : Site.Upstreams) {
        const auto Used = std::int64_t(Site.usedCpu(Name));
        RC_ASSERT(Used >= 0);
        RC_ASSERT(Used <= 4000);
      }
    }
  }));
}
