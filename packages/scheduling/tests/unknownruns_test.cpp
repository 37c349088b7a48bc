#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// Listings that name runs of jobs that are not known yet.

namespace {

const JobId TestJob("0123456789abcdef");
const RunId InheritedRun{{TestJob, 0, 0, 0}, 65};

} // namespace

TEST_CASE("a task that a listing showed before its job was known is not "
          "started again") {
  // The table read at the takeover lacked the job. All upstreams had answered
  // when it was found, so that its task was started although one of them had
  // listed it.
  TestSite Site({.Term = 2,
                 .InheritedRunsUntil = at(20000),
                 .UnknownJobsUntil = at(20000)});
  Site.TaskDurationMs = 1000000;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.add("u2", 8000);
  Upstream.Running[InheritedRun] = {1000000, 30};
  Site.poll(Upstream);
  Site.NowMs += 10;
  SUBCASE("it is active") {
    Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
    CHECK(Site.schedule().empty());
    CHECK(Site.usedCpu("u1") == 1000);
    CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Running));
  }
  SUBCASE("it has ended since, as a newer listing shows") {
    Upstream.end(InheritedRun, RunEnd::Done);
    Site.poll(Upstream);
    Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
    CHECK(Site.schedule().empty());
    Site.storeAll();
    CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
    CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 1);
  }
  SUBCASE("it has vanished since, as a newer listing shows") {
    Upstream.Running.clear();
    Site.poll(Upstream);
    Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
    CHECK(Site.schedule().size() == 1);
  }
  SUBCASE("its upstream is gone") {
    Site.JobScheduler.retireUpstream(Upstream.Report.Id, "test",
                                     at(Site.NowMs));
    Site.Vms.erase(Site.Vms.begin());
    Site.JobScheduler.setHostedUpstreams(Site.Vms);
    Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
    CHECK(Site.schedule().size() == 1);
  }
}

TEST_CASE("an end that was held back is applied when its job becomes known") {
  // The upstream was taken down before it listed the end again.
  TestSite Site({.Term = 2,
                 .InheritedRunsUntil = at(20000),
                 .UnknownJobsUntil = at(20000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.add("u2", 8000);
  Upstream.Ended.push_back({1, InheritedRun, RunEnd::Done, ""});
  Site.poll(Upstream);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  Site.JobScheduler.retireUpstream(Upstream.Report.Id, "test", at(Site.NowMs));
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
}

TEST_CASE("an end is applied although one before it waits for its job") {
  // Guards against a task that runs again after a takeover: its upstream had
  // answered, but its end was listed behind one of a job that was not loaded.
  TestSite Site({.Term = 2,
                 .InheritedRunsUntil = at(20000),
                 .UnknownJobsUntil = at(20000)});
  const JobId Known("1123456789abcdef");
  Site.submit(jobOf(Known.str(), {stepOf(1, 1000, 500)}), true);
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Ended = {{1, InheritedRun, RunEnd::Done, ""},
                    {2, {{Known, 0, 0, 0}, 65}, RunEnd::Done, ""}};
  Site.poll(Upstream);
  Site.poll(Upstream); // Lists both again.
  CHECK(Site.schedule().empty());
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 0);
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(Known) == JobState::Completed));
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 0);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
  CHECK(Site.JobScheduler.acknowledgedSequence(Upstream.Report.Id) == 2);
}

TEST_CASE("runs of a job that turns out to have ended are stopped") {
  TestSite Site({.Term = 2, .UnknownJobsUntil = at(20000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Running[InheritedRun] = {1000000, 30};
  Site.poll(Upstream);
  Site.JobScheduler.addEndedJob({.Id = TestJob}, JobState::Cancelled,
                                at(Site.NowMs));
  Site.schedule();
  CHECK(Upstream.Running.empty());
}

TEST_CASE("an upstream gets no task while a run of a job that ended before the "
          "claim is being stopped there") {
  // Its size was not known, and the upstream was filled beyond its capacity.
  TestSite Site({.Term = 2, .UnknownJobsUntil = at(20000)});
  Site.JobScheduler.addEndedJob({.Id = TestJob}, JobState::Cancelled,
                                at(Site.NowMs));
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Running[InheritedRun] = {1000000, 30};
  Site.poll(Upstream);
  Site.submit(jobOf("1123456789abcdef", {stepOf(1, 8000, 500)}));
  CHECK(Site.schedule().empty());
  REQUIRE(Upstream.Running.empty());
  Site.poll(Upstream);
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("a run of a job that ended before the claim counts until its end is "
          "listed") {
  // Its upstream and its organisation got more than they may use meanwhile.
  TestSite Site({.Term = 2, .UnknownJobsUntil = at(20000)});
  Site.Configuration.Organisations[0].Ceiling.CpuMilli = 7000;
  Site.JobScheduler.configure(Site.Configuration);
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Running[InheritedRun] = {1000000, 30};
  const auto AddEndedJob = [&] {
    Site.JobScheduler.addEndedJob(jobOf(TestJob.str(), {stepOf(1, 6000, 500)}),
                                  JobState::Cancelled, at(Site.NowMs));
  };
  SUBCASE("the job is known first") {
    AddEndedJob();
    Site.poll(Upstream);
  }
  SUBCASE("the run is listed first") {
    Site.poll(Upstream);
    AddEndedJob();
  }
  CHECK(Site.usedCpu("u1") == 6000);
  Site.submit(jobOf("1123456789abcdef", {stepOf(1, 2000, 500)}));
  Site.submit(
      jobOf("2123456789abcdef", {stepOf(1, 3000, 500)}, "pool", "free"));
  Site.submit(
      jobOf("3123456789abcdef", {stepOf(1, 1500, 500)}, "pool", "free"));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Run.Task.Job == JobId("3123456789abcdef"));
  REQUIRE_FALSE(Upstream.Running.contains(InheritedRun));
  Site.poll(Upstream);
  CHECK(Site.usedCpu("u1") == 1500);
  CHECK(Site.schedule().size() == 2);
}

TEST_CASE("an upstream that lists a run of an unknown job gets no task until "
          "that has ended, and the run is stopped in the end") {
  TestSite Site({.Term = 2, .UnknownJobsUntil = at(20000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Site.TaskDurationMs = 1000000;
  Upstream.Running[InheritedRun] = {1000000, 30};
  Site.poll(Upstream);
  Site.submit(jobOf("1123456789abcdef", {stepOf(1, 8000, 500)}));
  SUBCASE("its capacity counts against all ceilings") {
    Site.add("u2", 8000);
    Site.Configuration.Organisations[0].Ceiling.CpuMilli = 15000;
    Site.JobScheduler.configure(Site.Configuration);
    CHECK(Site.schedule().empty());
    Site.Configuration.Organisations[0].Ceiling.CpuMilli = 16000;
    Site.JobScheduler.configure(Site.Configuration);
    CHECK(Site.schedule().size() == 1);
  }
  SUBCASE("it does not count as idle") {
    CHECK(Site.JobScheduler.loadOf(Upstream.Report.Id, at(Site.NowMs)).Runs ==
          1);
  }
  SUBCASE("its job stays unknown") {
    CHECK(Site.schedule().empty());
    Site.advance(20000 - Site.NowMs - 1);
    CHECK(Site.schedule().empty());
    REQUIRE(Upstream.Running.contains(InheritedRun));
    Site.advance(1);
    CHECK(Site.schedule().empty());
    REQUIRE(Upstream.Running.empty());
    Site.advance(1);
    CHECK(Site.schedule().size() == 1);
  }
}
