#include "upstreamlink.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

/// \file
/// The link of an upstream whose process starts again under the same id.

namespace {

const UpstreamId Id("u1");
const RunId FirstRun{{JobId("0123456789abcdef"), 0, 0, 0}, 1};

/// What the upstream answers, set by the test.
struct Script {
  ManualClock &Clock;
  std::int64_t Born = 1;
  std::int64_t ClockMs = 1000; ///< Clock in the answers to polls.
  /// The only open connection, on which polls without a limit are answered.
  ConnectionNumber Connection = 1;
  std::optional<std::int64_t> AcceptedLeaseMs; ///< Of the last start.
  std::optional<std::int64_t> PolledLeaseMs;   ///< Latest of all polls.
  bool Silent = false;
  bool NextPollHangs = false;
  Duration SilentPollTime = milliseconds(500);
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended; ///< Those that are acknowledged are forgotten.
  StartOutcome Start = StartOutcome::Accepted;
  std::optional<std::int64_t> StartClockMs; ///< Clock in the answer to a start.
  bool StartMayAnswer = true;
  bool StopMayAnswer = true;
  std::function<void()> OnPoll = [] {};
};

class ScriptedClient : public IUpstreamClient {
public:
  explicit ScriptedClient(Script &Answers) : Answers(Answers) {}
  Async<PollResponse> poll(PollRequest Request, Duration) override {
    co_await sleepFor(milliseconds(1));
    if (Request.NewestConnection.value_or(this->Answers.Connection) <
        this->Answers.Connection)
      co_return PollResponse{.Outcome = PollOutcome::NoConnection};
    if (std::exchange(this->Answers.NextPollHangs, false)) {
      co_await sleepFor(milliseconds(100));
      co_return PollResponse{};
    }
    this->Answers.Clock.advance(
        this->Answers.Silent ? this->Answers.SilentPollTime : milliseconds(1));
    this->Answers.OnPoll();
    if (this->Answers.Silent)
      co_return PollResponse{};
    std::erase_if(this->Answers.Ended, [&](const EndedRun &Each) {
      return Each.Sequence <= Request.AckedSequence;
    });
    this->Answers.PolledLeaseMs =
        std::max(this->Answers.PolledLeaseMs, Request.LeaseUntilMs);
    co_return PollResponse{.Outcome = PollOutcome::Answered,
                           .Listing = {.ClockMs = this->Answers.ClockMs,
                                       .IncarnationStartMs = this->Answers.Born,
                                       .Active = this->Answers.Active,
                                       .Ended = this->Answers.Ended},
                           .Connection = this->Answers.Connection};
  }
  Async<StartReply> start(StartRequest Request, Duration) override {
    if (Request.NewestConnection < this->Answers.Connection)
      co_return StartReply{.Outcome = StartOutcome::Refused,
                           .NoConnection = true};
    this->Answers.AcceptedLeaseMs = Request.LeaseUntilMs;
    while (!this->Answers.StartMayAnswer)
      co_await sleepFor(milliseconds(1));
    co_return StartReply{.Outcome = this->Answers.Start,
                         .ClockMs = this->Answers.StartClockMs};
  }
  Async<StopOutcome> stop(StopCommand, std::int64_t, Duration) override {
    while (!this->Answers.StopMayAnswer)
      co_await sleepFor(milliseconds(1));
    co_return StopOutcome::Acknowledged;
  }
  Async<bool> setPace(PaceCommand, std::int64_t, Duration) override {
    co_return true;
  }

private:
  Script &Answers;
};

/// One upstream with its link, and a job of one task.
struct LinkFixture {
  boost::asio::io_context Context;
  ManualClock Clock;
  Script Answers{Clock};
  Scheduler JobScheduler{SchedulerOptions{}};
  OwnershipLease Ownership{OwnershipTimings{}, 1, Clock.now()};
  SiteBounds Bounds{.MaxLease = milliseconds(6000)};
  AsyncEvent SchedulingEvent{Context.get_executor()};
  std::shared_ptr<LinkContext> Shared = std::make_shared<LinkContext>(
      LinkContext{.Executor = Context.get_executor(),
                  .Clock = Clock,
                  .JobScheduler = JobScheduler,
                  .Ownership = Ownership,
                  .SchedulingEvent = SchedulingEvent,
                  .Bounds = Bounds});
  UpstreamReport Report{.Id = Id,
                        .Pool = PoolId("pool"),
                        .Address = "127.0.0.1:1",
                        .Vm = VmId("vm-u1"),
                        .IncarnationStartMs = 1,
                        .Capacity = {8000, 8000, 0}};
  QueueSettings Queue{.Id = QueueId("q"), .Pool = PoolId("pool")};
  std::shared_ptr<UpstreamLink> Link;

  LinkFixture() {
    this->JobScheduler.configure({.Version = 1, .Queues = {this->Queue}});
    this->JobScheduler.updateUpstream(this->Report, this->Clock.now());
    this->addJob(FirstRun.Task.Job);
    this->Answers.OnPoll = [this] {
      this->Ownership.recordRenewal(this->Clock.now());
    };
    this->Link = std::make_shared<UpstreamLink>(
        this->Shared, this->Report,
        std::make_unique<ScriptedClient>(this->Answers));
    this->Link->run();
    this->wait();
    this->sendCommands();
  }
  ~LinkFixture() {
    this->Shared->Stopped = true;
    this->Answers.StartMayAnswer = this->Answers.StopMayAnswer = true;
    this->Context.restart();
    this->Context.run();
  }

  /// Adds a job of one task.
  void addJob(const JobId &Job) {
    this->JobScheduler.addJob(
        {.Id = Job,
         .Queue = this->Queue,
         .Steps = {{.Count = 1, .Requested = {1000, 1, 0}}}},
        std::nullopt, false, this->Clock.now(), this->Clock.now());
  }
  /// Lets the link work for some polls.
  void wait(milliseconds Time = milliseconds(20)) {
    this->Context.restart();
    this->Context.run_for(Time);
  }
  /// Runs a round of the scheduler and sends its commands through the link.
  /// \returns the number of stops.
  int sendCommands() {
    int Stops = 0;
    this->JobScheduler.schedule(this->Clock.now(), 0);
    for (const Command &Each : this->JobScheduler.takeCommands()) {
      if (const auto *Start = std::get_if<StartCommand>(&Each))
        this->Link->send(*Start);
      if (const auto *Stop = std::get_if<StopCommand>(&Each)) {
        this->Link->send(*Stop);
        ++Stops;
      }
    }
    return Stops;
  }
  /// Lets the upstream stay silent until it is given up. \returns when the last
  /// poll before that ended.
  Instant waitForLoss(Duration PollTime = milliseconds(500)) {
    Instant LostAt{};
    this->Answers.Silent = true;
    this->Answers.SilentPollTime = PollTime;
    this->Answers.OnPoll = [&] {
      this->Ownership.recordRenewal(this->Clock.now());
      LostAt = this->Clock.now();
    };
    for (int Round = 0; Round < 400 && !this->Link->isClosed(); ++Round)
      this->wait(milliseconds(100));
    return LostAt;
  }
  int runs() { return this->JobScheduler.loadOf(Id, this->Clock.now()).Runs; }
};

} // namespace

TEST_CASE("a start that the new process accepts is not forgotten") {
  // The start reaches the new process before an answer shows the restart. The
  // link was closed, all runs were dropped, and the outcome went into a record
  // that did not know the run.
  LinkFixture Fixture;
  REQUIRE(Fixture.runs() == 1);
  SUBCASE("its outcome is known before the restart is") { Fixture.wait(); }
  SUBCASE("its outcome is known after the restart is") {
    Fixture.Answers.StartMayAnswer = false;
    Fixture.wait();
  }
  Fixture.Answers.Active = {{.Run = FirstRun}};
  Fixture.Answers.Born = 2;
  Fixture.wait();
  Fixture.Answers.StartMayAnswer = true;
  Fixture.wait();
  CHECK(Fixture.runs() == 1);
  CHECK_FALSE(Fixture.Link->isClosed());
  Fixture.Answers.Active.clear(); // It ends with the new process.
  Fixture.Answers.Born = 3;
  Fixture.wait();
  CHECK(Fixture.runs() == 0);
}

TEST_CASE(
    "a stop that the old process acknowledged does not bar a start at the "
    "new one") {
  LinkFixture Fixture;
  Fixture.Answers.Start = StartOutcome::Unknown;
  Fixture.Answers.StopMayAnswer = false;
  Fixture.wait();
  REQUIRE(Fixture.sendCommands() == 1);
  Fixture.wait();
  Fixture.Answers.Born = 2;
  Fixture.wait();
  Fixture.Answers.StopMayAnswer = true; // The answer of the old process.
  Fixture.wait();
  CHECK(Fixture.runs() == 1);
  CHECK(Fixture.sendCommands() == 1); // To the new process.
  Fixture.wait();
  CHECK(Fixture.runs() == 0);
}

TEST_CASE(
    "the new process is asked at once while a poll to the old one hangs") {
  // The registry shows the restart of a process that was cut off. A poll that
  // is under way may last 1.6 s more, and its end is no silence of the new one.
  LinkFixture Fixture;
  Fixture.Answers.NextPollHangs = true;
  Fixture.wait();
  Fixture.Answers.Born = 2;
  UpstreamReport Restarted = Fixture.Report;
  Restarted.IncarnationStartMs = 2;
  Fixture.JobScheduler.updateUpstream(Restarted, Fixture.Clock.now());
  REQUIRE_FALSE(Fixture.JobScheduler.loadOf(Id, Fixture.Clock.now()).Fresh);
  Fixture.Link->followRestart(2);
  Fixture.wait();
  CHECK(Fixture.JobScheduler.loadOf(Id, Fixture.Clock.now()).Fresh);
  CHECK_FALSE(Fixture.Link->isClosed());
}

TEST_CASE(
    "an upstream that falls silent after a restart is not given up before "
    "a lease on its old clock has expired") {
  // A call that was sent to the old process may reach the new one 12 s later,
  // with an expiry that means the longest lease on the new clock.
  LinkFixture Fixture;
  Fixture.wait();
  Fixture.Answers.Born = 2;
  Fixture.wait();
  const Instant RestartKnownAt = Fixture.Clock.now();
  const Instant LostAt = Fixture.waitForLoss(seconds(4));
  CHECK(Fixture.Link->isClosed());
  CHECK(LostAt - RestartKnownAt > seconds(12) + milliseconds(6122));
  CHECK(LostAt - RestartKnownAt < seconds(30));
}

TEST_CASE("an upstream is not given up while the process that has accepted a "
          "start may run it") {
  // Guards against a task that runs twice: the next process of an upstream
  // accepted a start and was cut off before anything else showed the restart.
  // The expiry sent with the start is on the clock of the process before, and
  // means the longest lease on that of the next one.
  LinkFixture Fixture;
  Fixture.Answers.StartClockMs = 5;
  Fixture.Answers.NextPollHangs = true; // It was sent to the old process.
  Fixture.Answers.Silent = true;
  const Instant AcceptedAt = Fixture.Clock.now();
  const Instant LostAt = Fixture.waitForLoss();
  CHECK(Fixture.Link->isClosed());
  CHECK(LostAt - AcceptedAt > milliseconds(6122));
  CHECK(LostAt - AcceptedAt < seconds(30));
}

TEST_CASE("a start that the known process accepts extends no wait") {
  // Guards against tasks of an upstream that is merely cut off which wait for
  // the longest lease.
  LinkFixture Fixture;
  Fixture.Answers.StartClockMs = 1000;
  Fixture.Answers.Silent = true;
  const Instant AcceptedAt = Fixture.Clock.now();
  CHECK(Fixture.waitForLoss() - AcceptedAt < milliseconds(6122));
}

TEST_CASE("no process is sent a lease on the clock of the one before it") {
  // Guards against a lease that lasts for the longest time allowed while the
  // next holder waits for the usual one, and starts the task again. The
  // upstream has restarted under its id; only a new connection shows it, while
  // the poll under way hangs.
  LinkFixture Fixture;
  Fixture.Answers.Active = {{.Run = FirstRun}};
  Fixture.wait();
  Fixture.Answers.AcceptedLeaseMs.reset();
  Fixture.Answers.NextPollHangs = true;
  Fixture.wait();
  Fixture.Answers.Active.clear();
  Fixture.Answers.Born = 2;
  Fixture.Answers.ClockMs = 7;
  Fixture.Answers.Connection = 2;
  Fixture.Answers.PolledLeaseMs.reset();
  const RunId Second{{JobId("fedcba9876543210"), 0, 0, 0}, 1};
  Fixture.addJob(Second.Task.Job);
  Fixture.sendCommands();
  const auto UsualLeaseMs = std::chrono::duration_cast<milliseconds>(
                                UpstreamLease::maxTimeToExpiry(Fixture.Bounds))
                                .count();
  SUBCASE("the start is sent with a lease on the clock of the new process") {
    Fixture.wait();
    REQUIRE(Fixture.Answers.AcceptedLeaseMs);
    CHECK(*Fixture.Answers.AcceptedLeaseMs <= 7 + UsualLeaseMs);
  }
  SUBCASE("the poll after the one that hangs") {
    Fixture.wait(milliseconds(500));
    REQUIRE(Fixture.Answers.PolledLeaseMs);
    CHECK(*Fixture.Answers.PolledLeaseMs <= 7 + UsualLeaseMs);
  }
}

TEST_CASE("a start that waits for a connection is not sent once its task has "
          "been cancelled") {
  // Guards against a start without a run in the scheduler's records: nothing
  // would stop it.
  LinkFixture Fixture;
  Fixture.Answers.Active = {{.Run = FirstRun}};
  Fixture.wait();
  Fixture.Answers.AcceptedLeaseMs.reset();
  Fixture.Answers.Connection = 2;
  const RunId Second{{JobId("fedcba9876543210"), 0, 0, 0}, 1};
  Fixture.addJob(Second.Task.Job);
  Fixture.sendCommands();
  Fixture.JobScheduler.cancelJob(Second.Task.Job, Fixture.Clock.now());
  Fixture.wait();
  CHECK_FALSE(Fixture.Answers.AcceptedLeaseMs);
}

TEST_CASE("an upstream whose VM went down is not given up while the next "
          "process may run what was sent to it") {
  // The VM list fails after it has shown the VM as down, so that only leases
  // end the wait.
  LinkFixture Fixture;
  Fixture.Answers.Start = StartOutcome::Unknown;
  Fixture.Answers.StopMayAnswer = false;
  Fixture.wait();
  REQUIRE(Fixture.runs() == 1);
  Fixture.Answers.Silent = true;
  Instant LostAt{};
  Fixture.Answers.OnPoll = [&] {
    Fixture.Ownership.recordRenewal(Fixture.Clock.now());
    LostAt = Fixture.Clock.now();
  };
  Fixture.Answers.SilentPollTime = milliseconds(500);
  Fixture.wait();
  const Instant DownAt = Fixture.Clock.now() + milliseconds(1);
  Fixture.JobScheduler.retireEndedUpstreams(
      {{.Id = Fixture.Report.Vm, .State = VmState::Down}}, DownAt, DownAt);
  REQUIRE(Fixture.JobScheduler.awaitsNextProcess(Id));
  Fixture.Answers.SilentPollTime = seconds(4);
  for (int Round = 0; Round < 40 && !Fixture.Link->isClosed(); ++Round)
    Fixture.wait(milliseconds(100));
  CHECK(Fixture.Link->isClosed());
  CHECK(LostAt - DownAt > seconds(12) + milliseconds(6122));
  CHECK(LostAt - DownAt < seconds(34));
  CHECK(Fixture.runs() == 0);
}

TEST_CASE("ends of the new process are not acknowledged by the numbers of the "
          "old one") {
  // The new process counts its ends from 1 again. It forgot the end of a run
  // that it had accepted, the task was started again, and so ran twice.
  LinkFixture Fixture;
  Fixture.Answers.StartMayAnswer = false;
  Fixture.Answers.Ended = {
      {7, RunId{{JobId("fedcba9876543210"), 0, 0, 0}, 1}, RunEnd::Done, ""}};
  Fixture.wait();
  REQUIRE(Fixture.JobScheduler.acknowledgedSequence(Id) == 7);
  REQUIRE(Fixture.runs() == 1);
  const auto Restart = [&Fixture] {
    Fixture.Answers.StartMayAnswer = true;
    Fixture.Answers.Born = 2;
    Fixture.Answers.Ended = {{1, FirstRun, RunEnd::Done, ""}};
  };
  SUBCASE("polled again after a poll without an answer") {
    Fixture.Answers.Silent = true;
    Fixture.wait();
    Restart();
    Fixture.Answers.Silent = false;
    Fixture.wait(milliseconds(400));
  }
  SUBCASE("polled on a new connection after an answered poll") {
    Restart();
    Fixture.Answers.Connection = 2;
    Fixture.wait();
  }
  SUBCASE("asked for a listing while a poll to the old process hangs") {
    Fixture.Answers.NextPollHangs = true;
    Fixture.wait();
    Restart();
    Fixture.Link->send(StopCommand{Id, RunId{{JobId("other"), 0, 0, 0}, 1}});
    Fixture.wait();
  }
  CHECK(Fixture.runs() == 0);
  for (const ProgressChange &Each : Fixture.JobScheduler.takeProgress())
    Fixture.JobScheduler.progressStored(Each.Job, Each.Revision);
  CHECK(
      (Fixture.JobScheduler.stateOf(FirstRun.Task.Job) == JobState::Completed));
}
