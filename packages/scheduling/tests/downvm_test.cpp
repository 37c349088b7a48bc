#include "testsite.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// Upstreams whose VM is listed as down, and whose next process has the same
/// id. The list proves the end of the process that was there before, and
/// nothing about what a later process has accepted.

namespace {

const UpstreamId FirstId("u1");
const JobId TestJob("0123456789abcdef");
const RunId FirstRun{{TestJob, 0, 0, 0}, 1};

/// How old the state may be that a list shows, counted from the request.
constexpr std::int64_t MaxListAgeMs = 200;

/// u1, whose VM can go down, and u2, which is added later.
class DownVmSite : public TestSite {
public:
  FakeUpstream &first() { return this->Upstreams.at("u1"); }

  void loseContact() {
    this->first().Unreachable = true;
    this->JobScheduler.recordFailedPoll(FirstId, true, at(this->NowMs));
  }

  /// Applies a list that shows the VM of u1 as down.
  /// \param RequestedMs when the list was requested.
  void listAsDown(std::int64_t RequestedMs) {
    this->Vms[0].State = VmState::Down;
    this->JobScheduler.setHostedUpstreams(this->Vms);
    this->JobScheduler.retireEndedUpstreams(this->Vms, at(RequestedMs),
                                            at(this->NowMs));
  }

  /// The next process of u1 registers; it runs what it accepted before.
  void registerNext() {
    this->Vms[0].State = VmState::Up;
    this->first().Unreachable = false;
    ++this->first().Report.IncarnationStartMs;
    this->JobScheduler.setHostedUpstreams(this->Vms);
    this->JobScheduler.updateUpstream(this->first().Report, at(this->NowMs));
  }

  /// The next process of u1 has accepted the start; the holder is told so.
  void acceptFirstRun() {
    this->first().Running[FirstRun] = {this->NowMs + 60000, 0};
    this->JobScheduler.handleStartOutcome(
        FirstId, FirstRun, StartOutcome::Accepted, at(this->NowMs));
  }
};

/// Starts a job of one task on u1, whose process has ended, and leaves the
/// start without an outcome. The lost contact is noticed right after that, 100
/// ms ago. u2 is free.
void startBeforeLostContact(DownVmSite &Site) {
  Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  Site.JobScheduler.schedule(at(Site.NowMs), Site.NowMs);
  REQUIRE(Site.JobScheduler.takeCommands().size() == 1);
  Site.loseContact();
  Site.NowMs += 100;
  Site.add("u2", 8000);
}

} // namespace

TEST_CASE("an upstream gets no new tasks while its polls fail") {
  // The next process under the same id could accept a start before the holder
  // knows of it.
  DownVmSite Site;
  Site.add("u1", 8000);
  Site.loseContact();
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  CHECK(Site.schedule().empty());
  Site.advance(2000);
  CHECK(Site.schedule().empty());
  SUBCASE("until it answers again") { Site.first().Unreachable = false; }
  SUBCASE("while another upstream is free") { Site.add("u2", 8000); }
  Site.advance(10);
  CHECK(Site.schedule().size() == 1);
  CHECK(Site.running(FirstRun.Task) == 1);
}

TEST_CASE("a start that the next process accepted is not sent elsewhere when "
          "the list shows the VM as down") {
  DownVmSite Site;
  startBeforeLostContact(Site);
  const std::int64_t RequestedMs = Site.NowMs - 10;
  SUBCASE("accepted before the list is applied") {
    Site.acceptFirstRun();
    Site.listAsDown(RequestedMs);
    CHECK(Site.schedule().empty());
  }
  SUBCASE("accepted after the list is applied") {
    Site.listAsDown(RequestedMs);
    CHECK(Site.schedule().empty());
    Site.acceptFirstRun();
    CHECK(Site.schedule().empty());
  }
  SUBCASE("accepted shortly before the list was requested, which may be old") {
    Site.acceptFirstRun();
    Site.NowMs += 100;
    Site.listAsDown(Site.NowMs - 10);
    CHECK(Site.schedule().empty());
  }
  SUBCASE("accepted, and the registry still shows the old process") {
    Site.acceptFirstRun();
    Site.listAsDown(RequestedMs);
    Site.JobScheduler.updateUpstream(Site.first().Report, at(Site.NowMs));
    CHECK(Site.schedule().empty());
  }
  Site.NowMs += 10;
  Site.registerNext();
  CHECK(Site.schedule().empty());
  Site.advance(10);
  CHECK(Site.schedule().empty());
  CHECK(Site.running(FirstRun.Task) == 1);
  Site.first().end(FirstRun, RunEnd::Done);
  Site.advance(10);
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(TestJob) == JobState::Completed));
}

TEST_CASE("a start that the next process accepted before the end of the old "
          "one was noticed is not sent elsewhere") {
  // The connection of the long poll broke when the old process ended, but the
  // holder handles that after the answer to the start.
  DownVmSite Site;
  Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  Site.JobScheduler.schedule(at(Site.NowMs), Site.NowMs);
  REQUIRE(Site.JobScheduler.takeCommands().size() == 1);
  Site.add("u2", 8000);
  Site.NowMs += 50;
  Site.acceptFirstRun();
  Site.NowMs += 10;
  Site.JobScheduler.recordFailedPoll(FirstId, true, at(Site.NowMs));
  Site.NowMs += 20;
  Site.listAsDown(Site.NowMs - 10);
  CHECK(Site.schedule().empty());
  Site.NowMs += 10;
  Site.registerNext();
  Site.advance(10);
  CHECK(Site.schedule().empty());
  CHECK(Site.running(FirstRun.Task) == 1);
}

TEST_CASE("a start with an unknown outcome is barred at the next process "
          "before its task is started elsewhere") {
  DownVmSite Site;
  startBeforeLostContact(Site);
  Site.JobScheduler.handleStartOutcome(FirstId, FirstRun, StartOutcome::Unknown,
                                       at(Site.NowMs));
  Site.listAsDown(Site.NowMs - 10);
  CHECK(Site.schedule().empty());
  SUBCASE("the next process has executed it") {
    Site.registerNext();
    Site.first().Running[FirstRun] = {Site.NowMs + 60000, 0};
    Site.schedule(); // Executes the stop.
    CHECK(Site.running(FirstRun.Task) == 0);
  }
  SUBCASE("the next process has not got it") {
    Site.registerNext();
    CHECK(Site.schedule().empty());
    CHECK(Site.first().Fenced.contains(FirstRun));
  }
  Site.advance(10);
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("tasks of a VM that is down are started elsewhere once nothing can "
          "run them there") {
  DownVmSite Site;
  SUBCASE("confirmed well before the list was requested: at once") {
    Site.add("u1", 8000);
    Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
    REQUIRE(Site.schedule().size() == 1);
    Site.add("u2", 8000);
    Site.advance(10);
    Site.loseContact();
    Site.NowMs += 400;
    Site.listAsDown(Site.NowMs - 10);
  }
  SUBCASE("accepted, and the VM is still down in a later list") {
    startBeforeLostContact(Site);
    Site.acceptFirstRun();
    Site.listAsDown(Site.NowMs - 10);
    CHECK(Site.schedule().empty());
    Site.NowMs += 400;
    Site.listAsDown(Site.NowMs - 10);
  }
  SUBCASE("unknown outcome, and the VM runs another upstream") {
    startBeforeLostContact(Site);
    Site.JobScheduler.handleStartOutcome(FirstId, FirstRun,
                                         StartOutcome::Unknown, at(Site.NowMs));
    Site.listAsDown(Site.NowMs - 10);
    CHECK(Site.schedule().empty());
    Site.NowMs += 400;
    Site.Vms[0].State = VmState::Up;
    Site.Vms[0].Upstream = UpstreamId("u3");
    Site.JobScheduler.retireEndedUpstreams(Site.Vms, at(Site.NowMs - 10),
                                           at(Site.NowMs));
  }
  SUBCASE("unknown outcome, and the VM is down for longer than a call may be "
          "delayed") {
    startBeforeLostContact(Site);
    Site.JobScheduler.handleStartOutcome(FirstId, FirstRun,
                                         StartOutcome::Unknown, at(Site.NowMs));
    Site.listAsDown(Site.NowMs - 10);
    Site.NowMs += 11000;
    Site.listAsDown(Site.NowMs - 10);
    CHECK(Site.schedule().empty());
    Site.NowMs += 2000;
    Site.listAsDown(Site.NowMs - 10);
  }
  const auto Next = Site.schedule();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Upstream == UpstreamId("u2"));
  CHECK(Site.usedCpu("u1") == 0);
}

TEST_CASE("an upstream that waits for its next process is not taken for one "
          "that no VM runs") {
  // A VM that is down may be listed without an upstream.
  DownVmSite Site;
  startBeforeLostContact(Site);
  Site.acceptFirstRun();
  Site.listAsDown(Site.NowMs - 10);
  Site.NowMs += 1000;
  CHECK(Site.JobScheduler.unansweredUpstreams(at(Site.NowMs)).empty());
}

TEST_CASE("a late answer of the ended process does not bring its runs back") {
  DownVmSite Site;
  Site.add("u1", 8000);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  REQUIRE(Site.schedule().size() == 1);
  Site.advance(10);
  const RunListing Late = Site.first().listing(Site.NowMs);
  const Instant SentAt = at(Site.NowMs);
  const JobId Second("fedcba9876543210");
  Site.submit(jobOf(Second.str(), {stepOf(1, 1000, 500)}));
  Site.JobScheduler.schedule(at(Site.NowMs), Site.NowMs);
  REQUIRE(Site.JobScheduler.takeCommands().size() == 1);
  Site.loseContact();
  Site.NowMs += 400;
  Site.listAsDown(Site.NowMs - 10);
  Site.JobScheduler.applyListing(FirstId, Late, SentAt, at(Site.NowMs));
  CHECK(Site.usedCpu("u1") == 1000); // The start in flight.
}

TEST_CASE("property: no task runs twice while VMs go down and come back with "
          "the same upstream") {
  CHECK(rc::check([] {
    DownVmSite Site;
    Site.TaskDurationMs = 300;
    Site.add("u1", 4000);
    Site.add("u2", 2000);
    bool Down = false;
    std::int64_t DownListedMs = 0; ///< Latest state that a list may show.
    int Jobs = 0;
    // Below 30: submit; 40: u1 goes down; 45: the holder notices; 60: it comes
    // back, and accepts what is sent to it before the holder knows; 75: an old
    // list is applied; 85: advance the clock by that many ms; otherwise: the
    // same, and poll.
    const auto Actions = *rc::gen::container<std::vector<int>>(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 100)));
    for (const int Action : Actions) {
      FakeUpstream &First = Site.first();
      if (Action < 30) {
        Site.submit(jobOf("job" + std::to_string(Jobs++),
                          {stepOf(1 + Action % 4, 1000, 300)}));
      } else if (Action < 40 && !Down) {
        Down = true;
        First.Unreachable = true;
        First.Running.clear();
        First.Ended.clear();
        First.LastSequence = 0;
      } else if (Action < 45 && Down) {
        Site.loseContact();
        Site.NowMs += 10;
      } else if (Action < 60 && Down) {
        Down = false;
        First.Unreachable = false;
        ++First.Report.IncarnationStartMs;
        if (Action % 2)
          Site.JobScheduler.updateUpstream(First.Report, at(Site.NowMs));
      } else if (Action < 75 && DownListedMs > 0) {
        Site.listAsDown(std::min(DownListedMs + MaxListAgeMs, Site.NowMs));
      } else if (Action >= 75 && Action < 85) {
        Site.NowMs += Action;
      } else if (Action >= 85) {
        if (!Down)
          Site.JobScheduler.restartUpstream(
              FirstId, First.Report.IncarnationStartMs, at(Site.NowMs));
        Site.advance(Action);
      }
      if (Down)
        DownListedMs = Site.NowMs;
      Site.schedule();
      std::map<TaskId, int> Running;
      for (const auto &[Name, Each] : Site.Upstreams) {
        for (const auto &[Run, State] : Each.Running)
          RC_ASSERT(++Running[Run.Task] == 1);
        RC_ASSERT(Site.usedCpu(Name) >= 0);
      }
    }
  }));
}
