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

TEST_CASE("runs of a job that turns out to have ended are stopped") {
  TestSite Site({.Term = 2, .UnknownJobsUntil = at(20000)});
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Running[InheritedRun] = {1000000, 30};
  Site.poll(Upstream);
  Site.JobScheduler.addEndedJob(TestJob, JobState::Cancelled, at(Site.NowMs));
  Site.schedule();
  CHECK(Upstream.Running.empty());
}
