#include "crashsuspects.h"
#include "pacing.h"
#include "placement.h"
#include "shares.h"
#include "testsite.h"
#include "waitingorder.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

/// One task and one upstream that can run it.
struct PlacementCase {
  PlacementCase() {
    this->Upstream.Answered = true;
    this->Upstream.Report = {.Id = UpstreamId("u"),
                             .Pool = PoolId("pool"),
                             .Capacity = {8000, 1000, 1},
                             .Labels = {"kind", "rack"}};
  }
  PlacementRequest request() const {
    return {.Step = &this->Step,
            .Record = &this->Record,
            .Pool = PoolId("pool"),
            .Task = &this->Task,
            .NeedsTicket = this->NeedsTicket,
            .Now = this->Now};
  }
  bool runs() const { return canRun(this->Upstream, this->request()); }
  double score() const {
    return placementScore(this->Upstream, this->request());
  }
  RunPtr addRun(const std::string &Job, Instant StartedAt) {
    const RunId Id{{JobId(Job), 0, 0, 0}, 1};
    auto Added = std::make_shared<Run>();
    Added->Id = Id;
    Added->Upstream = this->Upstream.Report.Id;
    Added->StartedAt = StartedAt;
    this->Upstream.Runs[Id] = Added;
    return Added;
  }

  UpstreamRecord Upstream;
  StepSpec Step = stepOf(1, 4000, 500);
  StepRecord Record;
  TaskRecord Task;
  bool NeedsTicket = false;
  Instant Now = at(10000);
};

constexpr int Endless = 1000000000;

/// A step of \p Count long-running tasks, of which \p Budget may be
/// unavailable.
StepSpec serviceOf(int Count, int Budget) {
  StepSpec Step = stepOf(Count, 1000, 1);
  Step.LongRunning = true;
  Step.MaxUnavailable = Budget;
  return Step;
}

/// Makes the long-running tasks on all upstreams ready, and lists them twice.
void makeReady(TestSite &Site) {
  for (int Listing = 0; Listing < 2; ++Listing) {
    Site.NowMs += 200;
    for (auto &[Id, Each] : Site.Upstreams) {
      for (auto &[Run, State] : Each.Running)
        State.second = 100;
      Site.poll(Each);
    }
  }
}

/// Runs a round without executing its commands. \returns those of type \p T.
template <typename T> std::vector<T> commandsOf(TestSite &Site) {
  Site.JobScheduler.schedule(at(Site.NowMs), Site.NowMs);
  std::vector<T> Found;
  for (const Command &Each : Site.JobScheduler.takeCommands())
    if (const auto *Wanted = std::get_if<T>(&Each))
      Found.push_back(*Wanted);
  return Found;
}

bool canInterrupt(TestSite &Site, const std::string &Id) {
  return Site.JobScheduler.canInterrupt(UpstreamId(Id), at(Site.NowMs));
}

} // namespace

TEST_CASE("work beyond the share of its organisation follows all other work of "
          "its priority") {
  // Guards against an organisation that delays the jobs of all others by
  // submitting a multiple of its usual rate.
  const WaitingWork Within{.CanMeetObjective = false};
  const WaitingWork Beyond{.OverShare = true};
  CHECK(isPlacedBefore(Within, Beyond));
  CHECK_FALSE(isPlacedBefore(Beyond, Within));
  const WaitingWork LowPriority{.Priority = 1};
  CHECK(isPlacedBefore(Beyond, LowPriority));
}

TEST_CASE(
    "timely work is ordered by remaining work and objective, late work by "
    "acceptance") {
  // Guards against late jobs that overtake each other until none ends.
  const WaitingWork Short{
      .RemainingCpuSeconds = 1, .Objective = at(9), .AcceptedAt = at(2)};
  const WaitingWork Long{
      .RemainingCpuSeconds = 2, .Objective = at(8), .AcceptedAt = at(1)};
  CHECK(isPlacedBefore(Short, Long));
  CHECK_FALSE(isPlacedBefore(Long, Short));
  WaitingWork Urgent = Short;
  Urgent.Objective = at(8);
  CHECK(isPlacedBefore(Urgent, Short));
  CHECK_FALSE(isPlacedBefore(Short, Urgent));
  WaitingWork LateShort = Short;
  LateShort.CanMeetObjective = false;
  WaitingWork LateLong = Long;
  LateLong.CanMeetObjective = false;
  CHECK(isPlacedBefore(LateLong, LateShort));
  CHECK_FALSE(isPlacedBefore(LateShort, LateLong));
}

TEST_CASE("a task runs only where its requests, label, limit and ticket allow "
          "it") {
  // Guards against a start that the upstream rejects, or that exceeds a limit.
  PlacementCase Case;
  REQUIRE(Case.runs());
  SUBCASE("the upstream takes no tasks") {
    Case.Upstream.Cordoned = true;
    CHECK_FALSE(Case.runs());
  }
  SUBCASE("another pool") {
    Case.Upstream.Report.Pool = PoolId("other");
    CHECK_FALSE(Case.runs());
  }
  SUBCASE("too little is free") {
    Case.Upstream.Used = {4001, 0, 0};
    CHECK_FALSE(Case.runs());
    Case.Step.BestEffort = true; // Reserves no CPU.
    CHECK(Case.runs());
    Case.Upstream.Used = {0, 901, 0};
    CHECK_FALSE(Case.runs());
  }
  SUBCASE("the label is missing") {
    Case.Step.RequiredLabel = "gpu";
    CHECK_FALSE(Case.runs());
    Case.Step.RequiredLabel = "kind";
    CHECK(Case.runs());
  }
  SUBCASE("the step has its maximum there") {
    Case.Step.MaxPerUpstream = 2;
    Case.Record.RunsPerUpstream[UpstreamId("u")] = 1;
    CHECK(Case.runs());
    Case.Record.RunsPerUpstream[UpstreamId("u")] = 2;
    CHECK_FALSE(Case.runs());
  }
  SUBCASE("there is no ticket, or it has expired") {
    Case.NeedsTicket = true;
    CHECK_FALSE(Case.runs());
    Case.Record.Tickets[UpstreamId("u")] = {"ticket", Case.Now};
    CHECK_FALSE(Case.runs());
    Case.Record.Tickets[UpstreamId("u")].second = Case.Now + milliseconds(1);
    CHECK(Case.runs());
  }
  SUBCASE("the task already runs there") {
    Case.Task.Runs.push_back(Case.addRun("job", at(0)));
    CHECK_FALSE(Case.runs());
  }
}

TEST_CASE("a suspect is not started beside runs that have just begun") {
  // Guards against suspecting others again when it crashes its next upstream.
  PlacementCase Case;
  Case.Task.Crashes.Suspected = true;
  const RunPtr Other = Case.addRun("other", Case.Now - milliseconds(10));
  CHECK_FALSE(Case.runs());
  Other->Settled = true;
  CHECK(Case.runs());
  Other->Settled = false;
  Other->StartedAt = Case.Now - SuspectAge;
  CHECK(Case.runs());
  Case.Task.Crashes.IdleOnlyUntil = Case.Now + milliseconds(1);
  CHECK_FALSE(Case.runs());
  Case.Upstream.Runs.clear();
  CHECK(Case.runs());
  Case.Upstream.OnProbation = Other;
  CHECK_FALSE(Case.runs());
}

TEST_CASE("failing upstreams are the last choice") {
  // Guards against an upstream whose tasks fail at once, and which is therefore
  // always free, taking every task.
  PlacementCase Case;
  Case.Upstream.Used = {4000, 0, 0};
  const double Normal = Case.score();
  Case.Upstream.AvoidUntil = Case.Now + milliseconds(1);
  Case.Upstream.ConsecutiveFailures = 1;
  const double FailedOnce = Case.score();
  CHECK(FailedOnce < Normal - 500);
  Case.Upstream.ConsecutiveFailures = 2;
  CHECK(Case.score() < FailedOnce);
  Case.Upstream.AvoidUntil = Case.Now;
  CHECK(Case.score() == Normal);
}

TEST_CASE("tasks are packed, except for serving and best-effort tasks") {
  // Guards against spreading short tasks over all VMs, none of which the
  // planner could move, and against serving tasks that slow each other down.
  PlacementCase Empty;
  PlacementCase Half;
  Half.Upstream.Used = {4000, 0, 0};
  CHECK(Half.score() > Empty.score());
  Empty.Step.TailLatencyTarget = Half.Step.TailLatencyTarget = milliseconds(50);
  CHECK(Half.score() < Empty.score());
  Empty.Step.TailLatencyTarget = Half.Step.TailLatencyTarget = {};
  Empty.Step.BestEffort = Half.Step.BestEffort = true;
  CHECK(Half.score() < Empty.score());
  // Relative to the capacity, not absolute.
  PlacementCase Large = Half;
  Large.Upstream.Report.Capacity.CpuMilli = 16000;
  CHECK(Large.score() > Half.score());
}

TEST_CASE("a suspect prefers the upstream with the fewest runs") {
  // Guards against losing many runs to one crash.
  PlacementCase Case;
  Case.Task.Crashes.Suspected = true;
  const double Alone = Case.score();
  Case.addRun("other", at(0));
  CHECK(Case.score() < Alone);
}

TEST_CASE("a task prefers the rack of its gang, then that of its data") {
  // Guards against slow access to input data, and slow gangs.
  PlacementCase Case;
  const double Normal = Case.score();
  Case.Step.DataRack = "rack";
  CHECK(Case.score() > Normal + 50);
  PlacementRequest Gang = Case.request();
  Gang.PreferredRack = "another";
  CHECK(placementScore(Case.Upstream, Gang) == Normal);
  Gang.PreferredRack = "rack";
  CHECK(placementScore(Case.Upstream, Gang) > Normal + 50);
}

TEST_CASE("only long-running tasks avoid VMs that are due for maintenance") {
  // Guards against leaving the VMs of a wave idle while short tasks wait.
  PlacementCase Case;
  Case.Upstream.MaintenanceDue = true;
  const double Short = Case.score();
  Case.Step.LongRunning = true;
  CHECK(Case.score() < Short - 100);
}

TEST_CASE("a task is suspected, proven and given up by its record") {
  // Guards against giving up a task that only happened to be nearby, and
  // against a deadly task that is never given up.
  const UpstreamCrash Crash{.Earliest = at(100), .Latest = at(110)};
  const Instant Now = at(200);
  CHECK_FALSE(isSuspect({}));
  CHECK(isSuspect({.Crashes = 1}));
  CHECK(isSuspect({.Suspected = true}));
  CHECK(isSuspect({.RecentStarts = 2}));
  CHECK_FALSE(isSuspect({.RecentStarts = 1}));
  CHECK(probationTime({.RecentStarts = 2}) > probationTime({}));
  CHECK_FALSE(isGivenUp({.Crashes = 2}));
  CHECK(isGivenUp({.Crashes = 2, .Proven = true}));
  CHECK(isGivenUp({.Crashes = 3}));

  const CrashRecord Alone = recordCrash({}, Crash, true, Now);
  CHECK(Alone.Suspected);
  CHECK(Alone.Crashes == 1);
  CHECK(Alone.Proven);
  CHECK(Alone.IdleOnlyUntil == Now + MaxWaitForIdle);
  const CrashRecord Several = recordCrash({}, Crash, false, Now);
  CHECK(Several.Crashes == 1);
  CHECK_FALSE(Several.Proven);
  CHECK(Several.IdleOnlyUntil == Instant{});
  // A crash whose time is known badly proves nothing.
  UpstreamCrash Vague = Crash;
  Vague.Latest = Vague.Earliest + milliseconds(401);
  CHECK_FALSE(recordCrash({}, Vague, true, Now).Proven);
  // A failing rack counts only against a task that was already on its own.
  UpstreamCrash Rack = Crash;
  Rack.WholeRack = true;
  CHECK(recordCrash({}, Rack, true, Now).Crashes == 0);
  CHECK(recordCrash({.Suspected = true}, Rack, false, Now).Crashes == 0);
  const CrashRecord Suspect = recordCrash({.Suspected = true}, Rack, true, Now);
  CHECK(Suspect.Crashes == 1);
  CHECK_FALSE(Suspect.Proven);
  CHECK(recordCrash({.Proven = true}, Vague, true, Now).Proven);
}

TEST_CASE("suspects of a crash are the known runs that had just begun") {
  // Guards against suspecting runs that were started after the crash.
  PlacementCase Case;
  const UpstreamCrash Crash{.Earliest = at(1000), .Latest = at(1100)};
  CrashRecord Record;
  const auto Suspects = [&](bool Known) {
    return suspectsOf(Case.Upstream, Crash,
                      [&](const RunPtr &) { return Known ? &Record : nullptr; })
        .size();
  };
  const RunPtr Candidate = Case.addRun("job", at(980));
  CHECK(Suspects(true) == 1);
  CHECK(Suspects(false) == 0);
  Candidate->Settled = true;
  CHECK(Suspects(true) == 0);
  Candidate->Settled = false;
  Candidate->StartedAt = at(1101);
  CHECK(Suspects(true) == 0);
  Candidate->StartedAt = at(949);
  CHECK(Suspects(true) == 0);
  Record.RecentStarts = 2;
  CHECK(Suspects(true) == 1);
}

TEST_CASE("a share admits its rate, and one job at least") {
  // Guards against marking an organisation's usual work as beyond its share.
  ShareLimiter Limiter;
  CHECK(Limiter.tryConsume(2, at(1000)));
  CHECK(Limiter.tryConsume(2, at(1000)));
  CHECK_FALSE(Limiter.tryConsume(2, at(1000)));
  // A job accepted earlier, which another daemon reports late, refills nothing
  // and takes nothing back.
  CHECK_FALSE(Limiter.tryConsume(2, at(500)));
  CHECK_FALSE(Limiter.tryConsume(2, at(1400)));
  CHECK(Limiter.tryConsume(2, at(1500)));
  // Unused shares are kept for one second at most.
  CHECK(Limiter.tryConsume(2, at(60000)));
  CHECK(Limiter.tryConsume(2, at(60000)));
  CHECK_FALSE(Limiter.tryConsume(2, at(60000)));
  ShareLimiter Slow;
  CHECK(Slow.tryConsume(0.1, at(0)));
  CHECK_FALSE(Slow.tryConsume(0.1, at(9000)));
  CHECK(Slow.tryConsume(0.1, at(10000)));
}

TEST_CASE(
    "the arrival rate ignores the order of reports and is never negative") {
  // Guards against a demand that explodes or turns negative after a peak.
  ArrivalRateEstimator Steady;
  for (int Ms = 0; Ms < 5000; Ms += 10)
    Steady.add(1, at(Ms));
  const double Rate = Steady.rate(at(5000));
  CHECK(Rate > 80);
  CHECK(Rate < 120);
  // A job accepted earlier is reported late.
  Steady.add(1, at(4000));
  CHECK(Steady.rate(at(5000)) < Rate * 1.1);
  CHECK(Steady.rate(at(5000)) > Rate * 0.9);
  CHECK(Steady.rate(at(4000)) <= Rate * 1.1);
  // The peak is over: the trend would be below zero.
  for (int Ms = 5010; Ms < 8000; Ms += 10)
    CHECK(Steady.expected(at(Ms), 2.2) >= 0);
  // A burst at one instant is limited to a multiple of the present rate.
  ArrivalRateEstimator Burst;
  for (int Job = 0; Job < 100; ++Job)
    Burst.add(1, at(1000));
  CHECK(Burst.expected(at(1000), 2.2) < 2.6 * 100 / 0.35);
  CHECK(Burst.expected(at(1000), 2.2) > Burst.rate(at(1000)));
  // Afterwards the few recent jobs show no trend.
  CHECK(Burst.expected(at(4000), 2.2) == doctest::Approx(Burst.rate(at(4000))));
  // A rise by 50 jobs a second each second, which the average lags behind.
  ArrivalRateEstimator Rising;
  double Due = 0;
  for (int Ms = 0; Ms < 9000; Ms += 2) {
    Due += 0.002 * (100 + 50 * std::max(0.0, (Ms - 5000) / 1000.0));
    for (; Due >= 1; Due -= 1)
      Rising.add(1, at(Ms));
  }
  CHECK(Rising.expected(at(9000), 2.2) == doctest::Approx(410).epsilon(0.05));
}

TEST_CASE("a task is interrupted as its budget allows") {
  // Guards against interrupting too many tasks of a step at once, and against
  // waves that wait for tasks without a budget.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  Site.add("u1", 8000);
  SUBCASE("two tasks of a step on one upstream") {
    Site.submit(jobOf("job", {serviceOf(2, 1)}));
    Site.schedule();
    makeReady(Site);
    CHECK_FALSE(canInterrupt(Site, "u1"));
  }
  SUBCASE("a budget for both, or none") {
    Site.submit(jobOf("job1", {serviceOf(2, 2)}));
    Site.submit(jobOf("job2", {serviceOf(2, -1)}));
    Site.schedule();
    makeReady(Site);
    CHECK(canInterrupt(Site, "u1"));
  }
  SUBCASE("a task that is itself unavailable") {
    Site.submit(jobOf("job", {serviceOf(1, 1)}));
    Site.schedule();
    CHECK(canInterrupt(Site, "u1"));
  }
  SUBCASE("short tasks, and tasks of an ended job") {
    StepSpec Short = stepOf(1, 1000, 500);
    Short.MaxUnavailable = 0;
    Site.submit(jobOf("job1", {Short}));
    Site.submit(jobOf("job2", {serviceOf(1, 0)}));
    Site.schedule();
    CHECK_FALSE(canInterrupt(Site, "u1"));
    Site.JobScheduler.cancelJob(JobId("job2"), at(Site.NowMs));
    CHECK(canInterrupt(Site, "u1"));
  }
}

TEST_CASE("the load of a task shows whether it is stuck, after a delay") {
  // Guards against counting serving tasks as stuck, whose load is a latency,
  // and tasks whose load has not been measured yet.
  for (const bool Serving : {false, true}) {
    TestSite Site;
    Site.TaskDurationMs = Endless;
    Site.add("u1", 1000);
    Site.add("u2", 1000).Hangs = true;
    StepSpec Step = serviceOf(2, 1);
    if (Serving)
      Step.TailLatencyTarget = milliseconds(50);
    Site.submit(jobOf("job", {Step}));
    Site.schedule();
    makeReady(Site);
    CHECK(canInterrupt(Site, "u1"));
    for (int Listing = 0; Listing < 5; ++Listing)
      makeReady(Site);
    CHECK(canInterrupt(Site, "u1") == Serving);
  }
}

TEST_CASE(
    "a long-running task moves to a VM due for maintenance only if its own "
    "is cordoned") {
  // Guards against moving a task twice in a wave, and against a wave that
  // waits for a task that fits nowhere else.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  Site.add("u1", 1000);
  Site.submit(jobOf("job", {serviceOf(1, 1)}));
  Site.schedule();
  Site.add("u2", 1000);
  makeReady(Site);
  Site.JobScheduler.setMaintenanceDue({UpstreamId("u1"), UpstreamId("u2")});
  CHECK(commandsOf<StopCommand>(Site).empty());
  Site.NowMs += 200;
  Site.JobScheduler.cordon(UpstreamId("u1"), true);
  CHECK(commandsOf<StopCommand>(Site).size() == 1);
}

TEST_CASE("an evacuation concerns active long-running tasks only") {
  // Guards against stopping short tasks, whose work is lost, and tasks whose
  // start has not been answered.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  Site.add("u1", 4000);
  Site.add("u2", 4000);
  StepSpec Short = stepOf(1, 1000, 500);
  Short.MaxUnavailable = 0;
  Site.submit(jobOf("short", {Short}));
  Site.schedule();
  const auto Evacuate = [&] {
    return Site.JobScheduler.evacuate(UpstreamId("u1"), at(Site.NowMs));
  };
  CHECK(Evacuate() == 0);
  CHECK(commandsOf<StopCommand>(Site).empty());
  Site.submit(jobOf("service", {serviceOf(1, 1)}));
  REQUIRE(commandsOf<StartCommand>(Site).size() == 1); // Not executed.
  CHECK(Evacuate() == 1);
  CHECK(commandsOf<StopCommand>(Site).empty());
}

TEST_CASE(
    "a task that is being evacuated does not block its upstream, and only "
    "upstreams with a budget are polled early") {
  // Guards against reporting a wave as blocked by a task that is moving, and
  // against polls of upstreams whose state changes nothing.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  Site.add("u1", 1000);
  Site.submit(jobOf("job1", {serviceOf(1, 1)}));
  Site.schedule();
  makeReady(Site);
  Site.add("u2", 2000);
  StepSpec Short = stepOf(1, 1000, 500);
  Short.MaxUnavailable = 0;
  Site.submit(jobOf("job2", {Short, serviceOf(1, -1)}));
  Site.schedule();
  REQUIRE(Site.usedCpu("u2") == 2000);
  Site.add("u3", 1000);
  const Instant Now = at(Site.NowMs);
  CHECK(Site.JobScheduler.blockingTask(UpstreamId("u1"), Now).Found);
  CHECK(Site.JobScheduler.evacuate(UpstreamId("u1"), Now) == 1);
  CHECK_FALSE(Site.JobScheduler.blockingTask(UpstreamId("u1"), Now).Found);
  CHECK_FALSE(Site.JobScheduler.needsEarlyPoll(UpstreamId("u2"), Now));
}

TEST_CASE("a short task without progress is restarted on another upstream") {
  // Guards against jobs that wait for an upstream that hangs.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  Site.add("u1", 2000);
  StepSpec Gang = stepOf(1, 1000, 500);
  Gang.Gang = true;
  Site.submit(jobOf("gang", {Gang}));
  Site.submit(jobOf("service", {serviceOf(1, -1)}));
  Site.schedule();
  Site.add("u2", 1000);
  Site.NowMs += 2600;
  Site.poll(Site.Upstreams.at("u1"));
  CHECK(commandsOf<StopCommand>(Site).empty());
  Site.JobScheduler.cancelJob(JobId("gang"), at(Site.NowMs));
  Site.schedule();
  Site.poll(Site.Upstreams.at("u1"));
  Site.JobScheduler.cordon(UpstreamId("u2"), true);
  Site.submit(jobOf("short", {stepOf(1, 1000, 500)}));
  REQUIRE(Site.schedule().size() == 1);
  Site.JobScheduler.cordon(UpstreamId("u2"), false);
  Site.NowMs += 2600; // Its upstream may be out of reach, not stuck.
  CHECK(commandsOf<StopCommand>(Site).empty());
  Site.poll(Site.Upstreams.at("u1"));
  Site.schedule();
  Site.poll(Site.Upstreams.at("u1"));
  Site.poll(Site.Upstreams.at("u2"));
  const std::vector<StartCommand> Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts.front().Upstream == UpstreamId("u2"));
}

TEST_CASE("a start without an answer is not taken for a stuck run") {
  // Guards against stopping a task that is about to begin.
  TestSite Site;
  Site.add("u1", 1000);
  Site.submit(jobOf("job", {stepOf(1, 1000, 500)}));
  REQUIRE(commandsOf<StartCommand>(Site).size() == 1); // Not executed.
  Site.NowMs += 2600;
  Site.poll(Site.Upstreams.at("u1"));
  CHECK(commandsOf<StopCommand>(Site).empty());
}

TEST_CASE(
    "best-effort runs follow the worst latency, and return once a pause is "
    "over") {
  // Guards against best-effort work beside a serving task above its target.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  StepSpec Strict = serviceOf(1, -1);
  Strict.TailLatencyTarget = milliseconds(500); // Listed: 1,000 ms.
  StepSpec Relaxed = Strict;
  Relaxed.TailLatencyTarget = milliseconds(5000);
  StepSpec BestEffort = stepOf(1, 1000, 500);
  BestEffort.BestEffort = true;
  Site.submit(jobOf("a", {Strict}));
  Site.submit(jobOf("b", {BestEffort}));
  Site.submit(jobOf("c", {Relaxed}));
  Site.schedule();
  Site.submit(jobOf("d", {BestEffort}));
  REQUIRE(commandsOf<StartCommand>(Site).size() == 1); // Not executed.
  const auto Paces = [&](int Millis) {
    Site.NowMs += Millis;
    Site.poll(Upstream);
    std::vector<int> Percents;
    for (const PaceCommand &Each : commandsOf<PaceCommand>(Site)) {
      CHECK(Each.Run.Task.Job == JobId("b"));
      Percents.push_back(Each.SpeedPercent);
    }
    return Percents;
  };
  CHECK(Paces(100) == std::vector<int>{0});
  CHECK(Paces(100).empty());
  Upstream.Hangs = true; // Listed: 0 ms.
  CHECK(Paces(700).empty());
  CHECK(Paces(100) == std::vector<int>{20});
  CHECK(Paces(800).empty());
  CHECK(Paces(100) == std::vector<int>{40});
}

TEST_CASE("a zone with few upstreams that have answered is not partitioned") {
  // Guards against giving up a small zone, or one that has just been added,
  // because of a few late answers.
  TestSite Site;
  const auto AddIn = [&](const std::string &Id, const std::string &Zone) {
    FakeUpstream &Added = Site.add(Id, 1000);
    Added.Report.Zone = ZoneId(Zone);
    Site.JobScheduler.updateUpstream(Added.Report, at(Site.NowMs));
    Site.poll(Added);
  };
  AddIn("u1", "a");
  AddIn("u2", "b");
  for (int Index = 0; Index < 7; ++Index) {
    UpstreamReport Report = Site.Upstreams.at("u1").Report;
    Report.Id = UpstreamId("silent" + std::to_string(Index));
    Site.JobScheduler.updateUpstream(Report, at(Site.NowMs));
  }
  Site.Upstreams.at("u1").Unreachable = true;
  Site.advance(500);
  StepSpec Step = stepOf(1, 1000, 500);
  Step.RequiredLabel = "rack-u1";
  Site.submit(jobOf("job", {Step}));
  CHECK(commandsOf<StartCommand>(Site).size() == 1);
}

TEST_CASE("jobs are ordered by priority, share, and what is left of them") {
  // Guards against work that was begun and is then overtaken until it is of no
  // use. In each case the job that goes first has the later id.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  const auto First = [&] {
    Site.add("u1", 1000);
    const std::vector<StartCommand> Starts = commandsOf<StartCommand>(Site);
    REQUIRE(Starts.size() == 1);
    return Starts.front().Run.Task.Job.str();
  };
  SUBCASE("priority") {
    QueueSettings Low = queueOf("pool");
    Low.Id = QueueId("low");
    Low.Priority = 1;
    Site.Configuration.Queues.push_back(Low);
    Site.JobScheduler.configure(Site.Configuration);
    JobSpec Spec = jobOf("a", {stepOf(1, 1000, 500)});
    Spec.Queue = Low;
    Site.submit(Spec);
    Site.submit(jobOf("z", {stepOf(1, 1000, 500)}));
    CHECK(First() == "z");
  }
  SUBCASE("share of one job a second") {
    Site.submit(jobOf("z", {stepOf(1, 1000, 500)}));
    Site.submit(jobOf("a", {stepOf(1, 1000, 500)}));
    CHECK(First() == "z");
  }
  SUBCASE("the objective includes the latency target") {
    Site.submit(jobOf("z", {stepOf(1, 1000, 1000)}));
    Site.NowMs += 1100;
    Site.submit(jobOf("a", {stepOf(2, 1000, 1000)}));
    CHECK(First() == "z");
  }
  SUBCASE("a started job is late only beyond a tolerance") {
    Site.add("u0", 1000);
    Site.submit(jobOf("z", {stepOf(2, 1000, 1000)}));
    REQUIRE(Site.schedule().size() == 1);
    Site.NowMs += 1500;
    Site.submit(jobOf("a", {stepOf(2, 1000, 1000)}));
    CHECK(First() == "z");
  }
}

TEST_CASE("ceilings hold for memory and accelerators, and for whole gangs") {
  // Guards against an organisation that uses more than it is allowed to.
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 8000);
  Upstream.Report.Capacity.Accelerators = 8;
  Site.JobScheduler.updateUpstream(Upstream.Report, at(Site.NowMs));
  StepSpec Step = stepOf(2, 1000, 500);
  Step.Requested.Accelerators = 1;
  std::size_t Expected = 1;
  Resources &Ceiling = Site.Configuration.Organisations.front().Ceiling;
  SUBCASE("memory") { Ceiling.MemoryMb = 150; }
  SUBCASE("accelerators") { Ceiling.Accelerators = 1; }
  SUBCASE("gang") {
    Ceiling.CpuMilli = 1500;
    Step.Gang = true;
    Expected = 0;
  }
  Site.JobScheduler.configure(Site.Configuration);
  Site.submit(jobOf("job", {Step}));
  CHECK(Site.schedule().size() == Expected);
}

TEST_CASE("a task that has just failed does not take the place of the next") {
  // Guards against a failing task that is restarted without a pause.
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 1000);
  Site.submit(jobOf("job", {stepOf(2, 1000, 500)}));
  const std::vector<StartCommand> Before = Site.schedule();
  REQUIRE(Before.size() == 1);
  REQUIRE(Before.front().Run.Task.Index == 0);
  Upstream.end(Before.front().Run, RunEnd::Failed);
  Site.poll(Upstream);
  const std::vector<StartCommand> After = Site.schedule();
  REQUIRE(After.size() == 1);
  CHECK(After.front().Run.Task.Index == 1);
}

TEST_CASE("suspects of a job are started one at a time, a gang as a whole") {
  // Guards against two suspects of one crash that cause the next one together.
  for (const bool Gang : {false, true}) {
    TestSite Site;
    Site.add("u1", 2000);
    StepSpec Step = stepOf(2, 1000, 500);
    Step.Gang = Gang;
    Site.submit(jobOf("job", {Step}));
    REQUIRE(Site.schedule().size() == 2);
    Site.NowMs += 10;
    Site.poll(Site.Upstreams.at("u1"));
    Site.Upstreams.erase("u1");
    Site.JobScheduler.recordFailedPoll(UpstreamId("u1"), true, at(Site.NowMs));
    Site.JobScheduler.removeEndedUpstream(UpstreamId("u1"), "test",
                                          at(Site.NowMs));
    for (const char *Id : {"u2", "u3", "u4"})
      Site.add(Id, 1000);
    CHECK(Site.schedule().size() == (Gang ? 2 : 1));
    CHECK(Site.schedule().empty());
  }
}

TEST_CASE("tickets are requested once, for upstreams that take tasks, and used "
          "while they are valid") {
  // Guards against flooding the advisor, and against starts that are rejected
  // for their ticket.
  TestSite Site;
  Site.TaskDurationMs = Endless;
  Site.Configuration.Queues.front().NeedsAdvice = true;
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 1000);
  Site.JobScheduler.cordon(UpstreamId("u1"), true);
  Site.submit(jobOf("job", {stepOf(1, 1000, 500)}));
  CHECK(commandsOf<AdviceRequest>(Site).empty()); // Nobody to ask for.
  for (int Index = 0; Index < 40; ++Index)
    Site.add("v" + std::to_string(Index), 1000);
  const std::vector<AdviceRequest> Requests = commandsOf<AdviceRequest>(Site);
  REQUIRE(Requests.size() == 1);
  CHECK(Requests.front().Candidates.size() == 30);
  CHECK(std::ranges::find(Requests.front().Candidates, UpstreamId("u1")) ==
        Requests.front().Candidates.end());
  CHECK(commandsOf<AdviceRequest>(Site).empty()); // Not answered yet.
  const auto Answer = [&](std::map<UpstreamId, std::string> Tickets) {
    Site.JobScheduler.handleAdvice(Requests.front(), Tickets, seconds(1),
                                   at(Site.NowMs));
  };
  Answer({});
  CHECK(commandsOf<AdviceRequest>(Site).size() == 1);
  Answer({{UpstreamId("v3"), "ticket"}});
  Site.NowMs += 850; // Too close to its end.
  CHECK(commandsOf<AdviceRequest>(Site).size() == 1);
  Answer({{UpstreamId("v3"), "ticket"}});
  const std::vector<StartCommand> Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts.front().Upstream == UpstreamId("v3"));
  CHECK(Starts.front().Ticket == "ticket");
  Site.NowMs += 2000; // Nothing is left to start.
  CHECK(commandsOf<AdviceRequest>(Site).empty());
}

TEST_CASE(
    "a gang starts again after its last run, from its latest checkpoint") {
  // Guards against two runs of a member, and members that differ in what they
  // resume from.
  TestSite Site;
  for (const char *Id : {"u1", "u2", "u3", "u4"})
    Site.add(Id, 1000);
  StepSpec Step = stepOf(2, 1000, 500);
  Step.Gang = true;
  Site.submit(jobOf("job", {Step}));
  std::vector<StartCommand> Starts = Site.schedule();
  REQUIRE(Starts.size() == 2);
  const auto EndRun = [&](const StartCommand &Start) {
    FakeUpstream &Upstream = Site.Upstreams.at(Start.Upstream.str());
    Upstream.end(Start.Run, RunEnd::Failed);
    Upstream.Ended.back().Checkpoint = Start.Run.Task.Index ? "c2" : "c1";
    Site.poll(Upstream);
  };
  EndRun(Starts[1]);
  Site.NowMs += 30;
  CHECK(Site.schedule().empty());
  EndRun(Starts[0]);
  CHECK(Site.schedule().empty()); // It has just failed.
  Site.NowMs += 30;
  Starts = Site.schedule();
  REQUIRE(Starts.size() == 2);
  CHECK(Starts[0].Checkpoint == "c2");
  CHECK(Starts[1].Checkpoint == "c2");
}

TEST_CASE("a gang prefers one rack, and keeps its limit for each upstream") {
  // Guards against gangs that are slow because they are spread over racks.
  TestSite Site;
  const auto AddIn = [&](const std::string &Id, const std::string &Rack) {
    FakeUpstream &Added = Site.add(Id, 1000);
    Added.Report.Labels = {"kind", Rack};
    Site.JobScheduler.updateUpstream(Added.Report, at(Site.NowMs));
  };
  StepSpec Step = stepOf(2, 1000, 500);
  Step.Gang = Step.SameRack = true;
  SUBCASE("the first rack is too small") {
    AddIn("a", "small");
    AddIn("b1", "large");
    AddIn("b2", "large");
  }
  SUBCASE("the last rack is too small") {
    AddIn("a1", "large");
    AddIn("a2", "large");
    AddIn("b", "small");
  }
  SUBCASE("the limit") {
    Site.add("c", 2000);
    Step.MaxPerUpstream = 1;
    Step.SameRack = false;
    Site.submit(jobOf("job", {Step}));
    CHECK(Site.schedule().empty());
    return;
  }
  Site.submit(jobOf("job", {Step}));
  const std::vector<StartCommand> Starts = Site.schedule();
  REQUIRE(Starts.size() == 2);
  for (const StartCommand &Start : Starts)
    CHECK(Site.Upstreams.at(Start.Upstream.str()).Report.Labels[1] == "large");
}

TEST_CASE("the ceiling of a gang includes inherited tasks on unanswered "
          "upstreams") {
  // Guards against exceeding a ceiling just after a takeover.
  for (const std::int64_t Ceiling : {2500, 3500}) {
    TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
    Site.Configuration.Organisations.front().Ceiling.CpuMilli = Ceiling;
    Site.JobScheduler.configure(Site.Configuration);
    Site.add("u1", 8000);
    Site.addVm("silent");
    Site.submit(jobOf("inherited", {stepOf(1, 1000, 500)}), true);
    StepSpec Step = stepOf(2, 1000, 500);
    Step.Gang = true;
    Site.submit(jobOf("gang", {Step}));
    CHECK(Site.schedule().size() == (Ceiling == 2500 ? 0 : 2));
  }
}
