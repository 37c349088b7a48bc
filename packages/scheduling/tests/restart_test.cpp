#include "testsite.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// Upstreams that start again under the same id. A command names only the id,
/// so that the new process executes what the old one did not get.

namespace {

const JobId TestJob("0123456789abcdef");
const RunId FirstRun{{TestJob, 0, 0, 0}, 1};

/// Starts a job of one task on u1, which is the only upstream then, and adds
/// u2.
void startOnFirst(TestSite &Site, bool Answers, bool LongRunning = false) {
  Site.TaskDurationMs = 1000000;
  FakeUpstream &First = Site.add("u1", 8000);
  StepSpec Step = stepOf(1, 1000, 500);
  Step.LongRunning = LongRunning;
  Site.submit(jobOf(TestJob.str(), {Step}));
  First.Unreachable = !Answers;
  REQUIRE(Site.schedule().size() == 1);
  First.Unreachable = false;
  Site.add("u2", 8000);
}

/// Restarts u1 under its id. \param Keeps whether the new process, not the old
/// one, has executed the starts.
void restart(TestSite &Site, bool Keeps) {
  FakeUpstream &First = Site.Upstreams.at("u1");
  if (!Keeps)
    First.Running.clear();
  First.Ended.clear();
  First.LastSequence = 0;
  ++First.Report.IncarnationStartMs;
  Site.NowMs += 10;
  Site.JobScheduler.updateUpstream(First.Report, at(Site.NowMs));
}

} // namespace

TEST_CASE("a start that the new process of an upstream accepted is not sent "
          "elsewhere as well") {
  // The start was accepted just after the restart, which the holder learnt of
  // later. The run was dropped together with those of the old process.
  TestSite Site;
  startOnFirst(Site, true);
  SUBCASE("the new process lists it") {
    restart(Site, true);
    CHECK(Site.schedule().empty());
    Site.advance(10);
    CHECK(Site.schedule().empty());
    CHECK(Site.usedCpu("u1") == 1000);
  }
  SUBCASE("the new process lists its end") {
    restart(Site, true);
    CHECK(Site.schedule().empty());
    Site.Upstreams.at("u1").end(FirstRun, RunEnd::Done);
    Site.advance(10);
    CHECK(Site.schedule().empty());
    Site.storeAll();
    CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
  }
  SUBCASE("the old process had it") {
    restart(Site, false);
    CHECK(Site.schedule().empty());
    Site.advance(10);
    CHECK(Site.schedule().size() == 1);
  }
  SUBCASE("a listing requested before the restart was known proves nothing") {
    const Instant Before = at(Site.NowMs);
    restart(Site, true);
    RunListing Old{.IncarnationStartMs =
                       Site.Upstreams.at("u1").Report.IncarnationStartMs};
    Site.JobScheduler.applyListing(UpstreamId("u1"), Old, Before,
                                   at(Site.NowMs));
    CHECK(Site.schedule().empty());
  }
}

TEST_CASE("a start in flight during a restart of its upstream counts by its "
          "outcome") {
  // Its outcome was reported to the record of the new process, where the run
  // was unknown, and ignored.
  TestSite Site;
  FakeUpstream &First = Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  Site.JobScheduler.schedule(at(Site.NowMs), Site.NowMs);
  REQUIRE(Site.JobScheduler.takeCommands().size() == 1);
  Site.add("u2", 8000);
  restart(Site, false);
  CHECK(Site.schedule().empty());
  SUBCASE("accepted") {
    First.Running[FirstRun] = {Site.NowMs + 60000, 0};
    Site.JobScheduler.handleStartOutcome(
        First.Report.Id, FirstRun, StartOutcome::Accepted, at(Site.NowMs));
    Site.advance(10);
    CHECK(Site.schedule().empty());
  }
  SUBCASE("refused") {
    Site.JobScheduler.handleStartOutcome(First.Report.Id, FirstRun,
                                         StartOutcome::Refused, at(Site.NowMs));
    CHECK(Site.schedule().size() == 1);
  }
}

TEST_CASE("a start with an unknown outcome is barred at the new process") {
  // What the old process acknowledged does not bind the new one.
  TestSite Site;
  startOnFirst(Site, false);
  FakeUpstream &First = Site.Upstreams.at("u1");
  bool StopAcknowledged = false;
  SUBCASE("the stop is under way") {}
  SUBCASE("the old process has acknowledged the stop") {
    StopAcknowledged = true;
  }
  if (StopAcknowledged)
    Site.JobScheduler.handleStopOutcome(
        First.Report.Id, FirstRun, StopOutcome::Acknowledged, at(Site.NowMs));
  First.Fenced.clear();
  restart(Site, false);
  CHECK(Site.schedule().empty()); // Executes the stop.
  CHECK(First.Fenced.contains(FirstRun));
  Site.advance(10);
  const auto Next = Site.schedule();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Run.Number == 2);
}

TEST_CASE("the next listing decides about a long-running task with an unknown "
          "start, also after a restart") {
  TestSite Site;
  startOnFirst(Site, false, true);
  FakeUpstream &First = Site.Upstreams.at("u1");
  SUBCASE("it runs") {
    restart(Site, false);
    First.Running[FirstRun] = {Site.NowMs + 60000, 0};
    CHECK(Site.schedule().empty());
    Site.advance(10);
    CHECK(Site.schedule().empty());
    CHECK(First.Running.contains(FirstRun));
  }
  SUBCASE("it may start later") {
    restart(Site, false);
    CHECK(Site.schedule().empty());
    CHECK_FALSE(First.Fenced.contains(FirstRun));
    Site.advance(10);
    CHECK(Site.schedule().empty());
    CHECK(First.Fenced.contains(FirstRun));
    Site.advance(10);
    CHECK(Site.schedule().size() == 1);
  }
}

TEST_CASE("runs that the old process has listed are restarted at once") {
  TestSite Site;
  startOnFirst(Site, true);
  Site.advance(10);
  restart(Site, false);
  const auto Next = Site.schedule();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Upstream == UpstreamId("u2"));
  CHECK(Site.usedCpu("u1") == 0);
}

TEST_CASE("runs kept across a restart end with the process that is gone") {
  TestSite Site;
  startOnFirst(Site, true);
  restart(Site, false);
  CHECK(Site.schedule().empty());
  Site.JobScheduler.removeUpstream(UpstreamId("u1"), "test", at(Site.NowMs));
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("property: no task runs twice when upstreams restart under their "
          "ids") {
  CHECK(rc::check([] {
    TestSite Site;
    Site.TaskDurationMs = 300;
    for (const char *Id : {"u1", "u2", "u3"})
      Site.add(Id, 4000);
    int Jobs = 0;
    // Below 30: submit; 40: change reachability; 55: restart; 70: restart, and
    // the new process has accepted what was not listed yet; otherwise: advance
    // the clock by that many ms.
    const auto Actions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int Action : Actions) {
      FakeUpstream &Upstream =
          Site.Upstreams.at("u" + std::to_string(1 + Action % 3));
      if (Action < 30) {
        Site.submit(jobOf("job" + std::to_string(Jobs++),
                          {stepOf(1 + Action % 4, 1000, 300)}));
      } else if (Action < 40) {
        Upstream.Unreachable = !Upstream.Unreachable;
      } else if (Action < 70) {
        std::erase_if(Upstream.Running, [&](const auto &Entry) {
          return Action < 55 || Entry.second.second > 0;
        });
        Upstream.Ended.clear();
        Upstream.LastSequence = 0;
        ++Upstream.Report.IncarnationStartMs;
        Site.NowMs += 1;
        Site.JobScheduler.updateUpstream(Upstream.Report, at(Site.NowMs));
      } else {
        Site.advance(Action);
      }
      Site.schedule();
      std::map<TaskId, int> Running;
      for (const auto &[Name, Each] : Site.Upstreams) {
        for (const auto &[Run, State] : Each.Running)
          RC_ASSERT(++Running[Run.Task] == 1);
        RC_ASSERT(Site.usedCpu(Name) >= 0);
        RC_ASSERT(Site.usedCpu(Name) <= 4000);
      }
    }
  }));
}
