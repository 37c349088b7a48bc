#include "sardinerill/jobs/jobservice.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

struct QueuedBackground : IBackgroundExecutor {
  std::deque<std::function<void()>> Tasks;
  void run(std::function<void()> Work, std::function<void()> Done) override {
    this->Tasks.push_back([Work = std::move(Work), Done = std::move(Done)] {
      Work();
      Done();
    });
  }
  void runPending() {
    // Limited to 50 tasks: while the platform is down, some tasks schedule
    // themselves again indefinitely.
    for (int Step = 0; Step < 50 && !this->Tasks.empty(); ++Step) {
      auto Next = std::move(this->Tasks.front());
      this->Tasks.pop_front();
      Next();
    }
  }
};

/// Work service whose requests end when the test decides; counts the runs of
/// each request across daemons.
struct ManualWorkService : IWorkService {
  struct OpenRequest {
    WorkRequest Request;
    Callback OnDone;
  };
  std::map<RequestId, unsigned> &Ran;
  std::vector<OpenRequest> InFlight;

  explicit ManualWorkService(std::map<RequestId, unsigned> &Ran) : Ran(Ran) {}
  void submit(WorkRequest Request, Callback OnDone) override {
    this->InFlight.push_back({std::move(Request), std::move(OnDone)});
  }
  /// Ends a request at once, as the dispatcher does while the request waits in
  /// its queue.
  void cancel(const RequestId &Id) override {
    const auto Found = std::find_if(
        this->InFlight.begin(), this->InFlight.end(),
        [&](const OpenRequest &Each) { return Each.Request.Id == Id; });
    if (Found == this->InFlight.end())
      return;
    OpenRequest Ended = std::move(*Found);
    this->InFlight.erase(Found);
    Ended.OnDone(makeError(ErrorKind::CallerGone, "gone before it started"));
  }
  /// Ends the oldest request. \p Outcome is 0 if it did not run, 1 if it ran
  /// and failed, and any other number if it succeeded.
  void end(unsigned Outcome) {
    if (this->InFlight.empty())
      return;
    OpenRequest Next = std::move(this->InFlight.front());
    this->InFlight.erase(this->InFlight.begin());
    if (Outcome == 0) {
      Next.OnDone(makeError(ErrorKind::QueueFull, "full"));
      return;
    }
    ++this->Ran[Next.Request.Id];
    if (Outcome == 1)
      Next.OnDone(makeError(ErrorKind::UpstreamFailed, "failed"));
    else
      Next.OnDone(
          WorkResponse{200, "text/plain", "did " + Next.Request.Body, {}});
  }
};

/// Jobs of class "often" may run more than once. Class "now" has no deadline
/// and accepts no jobs.
struct FakeEnvironment : IJobEnvironment {
  std::set<DaemonId> Gone;
  std::int64_t NowMs = 1000000;

  Result<AdmittedRequest> admit(const AdmissionRequest &Request) override {
    WorkClass Class{.Id = Request.Class, .Deadline = milliseconds(60000)};
    Class.Idempotent = Request.Class == ClassId("often");
    if (Request.Class == ClassId("now"))
      Class.Deadline = milliseconds(0);
    Result<TeamId> Team = this->teamOfKey(Request.Key);
    if (!Team)
      return tl::unexpected(Team.error());
    return AdmittedRequest{*Team, Class};
  }
  Result<TeamId> teamOfKey(const std::optional<std::string> &Key) override {
    if (!Key)
      return makeError(ErrorKind::KeyMissing, "no key");
    return TeamId(*Key);
  }
  std::optional<bool> isIdempotent(const ClassId &Class) override {
    return Class == ClassId("often");
  }
  bool isGoneOrUnowned(const DaemonId &Owner) override {
    return this->Gone.contains(Owner);
  }
  std::int64_t wallClockMs() override { return this->NowMs; }
};

/// Daemons that share one platform.
struct TestCluster {
  InMemoryPlatform Platform;
  std::map<RequestId, unsigned> Ran;

  struct Daemon {
    QueuedBackground Background;
    ManualWorkService Work;
    FakeEnvironment Environment;
    PlatformCallLimiter Limiter{100000, 1};
    ManualClock Clock;
    Metrics Stats;
    JobService Jobs;

    DaemonId Name;

    Daemon(TestCluster &Cluster, const std::string &DaemonName)
        : Work(Cluster.Ran),
          Jobs(JobServiceDependencies{DaemonId(DaemonName), Cluster.Platform,
                                      Background, Work, Environment, Limiter,
                                      Clock, Stats}),
          Name(DaemonName) {
      this->Clock.advance(seconds(100));
    }

    Result<JobResponse> call(JobRequest Request) {
      Result<JobResponse> Received =
          makeError(ErrorKind::Internal, "no response received");
      this->Jobs.call(std::move(Request), [&](Result<JobResponse> Answer) {
        Received = std::move(Answer);
      });
      this->Background.runPending();
      return Received;
    }

    std::string submit(const std::string &Class, const std::string &Key) {
      auto Answer = this->call({.Class = ClassId(Class),
                                .Key = "team",
                                .IdempotencyKey = Key,
                                .Body = Key});
      return Answer ? json::parse(Answer->Body)["jobId"].get<std::string>()
                    : "";
    }

    std::string stateOf(const std::string &Id) {
      auto Answer = this->call({.Type = JobRequest::Operation::Status,
                                .Id = JobId(Id),
                                .Key = "team"});
      return Answer ? json::parse(Answer->Body)["state"].get<std::string>()
                    : "";
    }

    void tick() {
      this->Jobs.tick();
      this->Background.runPending();
    }
  };
};

} // namespace

TEST_CASE("a job is stored before it is accepted, then run, and its result can "
          "be fetched") {
  TestCluster Cluster;
  TestCluster::Daemon A(Cluster, "a#1");
  const std::string Id = A.submit("often", "nesting-1");
  CHECK(A.stateOf(Id) == "queued");
  CHECK(A.submit("often", "nesting-1") == Id);
  A.tick();
  CHECK(A.stateOf(Id) == "running");
  REQUIRE(A.Work.InFlight.size() == 1);
  CHECK(A.Work.InFlight[0].Request.AdmittedTeam == TeamId("team"));
  CHECK(A.Work.InFlight[0].Request.RemainingTime == milliseconds(60000));
  A.Work.end(9);
  A.Background.runPending();
  auto Result = A.call(
      {.Type = JobRequest::Operation::Fetch, .Id = JobId(Id), .Key = "team"});
  REQUIRE(Result.has_value());
  CHECK(Result->Body == "did nesting-1");
}

TEST_CASE("a job is visible only to its own team; no job is accepted if its "
          "class has no deadline or the platform is unavailable") {
  TestCluster Cluster;
  TestCluster::Daemon A(Cluster, "a#1");
  const std::string Id = A.submit("often", "k");
  for (const auto Operation :
       {JobRequest::Operation::Status, JobRequest::Operation::Fetch,
        JobRequest::Operation::Cancel}) {
    auto Answer = A.call({.Type = Operation, .Id = JobId(Id), .Key = "other"});
    REQUIRE_FALSE(Answer.has_value());
    CHECK(Answer.error().Kind == ErrorKind::NotFound);
  }
  auto Refused = A.call({.Class = ClassId("now"), .Key = "team"});
  REQUIRE_FALSE(Refused.has_value());
  CHECK(Refused.error().Kind == ErrorKind::BadRequest);
  Cluster.Platform.setFaults({.Unavailable = true});
  auto NotStored = A.call({.Class = ClassId("often"), .Key = "team"});
  REQUIRE_FALSE(NotStored.has_value());
  CHECK(NotStored.error().Kind == ErrorKind::PlatformUnavailable);
}

TEST_CASE("a cancelled job does not run") {
  TestCluster Cluster;
  TestCluster::Daemon A(Cluster, "a#1");
  const std::string Id = A.submit("often", "k");
  CHECK(A.call({.Type = JobRequest::Operation::Cancel,
                .Id = JobId(Id),
                .Key = "team"})
            .has_value());
  A.tick();
  CHECK(A.Work.InFlight.empty());
  CHECK(A.stateOf(Id) == "cancelled");
}

// The end that the dispatcher reports must not be written before the
// cancellation, which would then fail, and the job would be queued again.
TEST_CASE("a job that is cancelled while it waits in the dispatcher's queue "
          "stays cancelled") {
  TestCluster Cluster;
  TestCluster::Daemon A(Cluster, "a#1");
  const std::string Id = A.submit("often", "k");
  A.tick();
  REQUIRE(A.Work.InFlight.size() == 1);
  CHECK(A.call({.Type = JobRequest::Operation::Cancel,
                .Id = JobId(Id),
                .Key = "team"})
            .has_value());
  A.tick();
  CHECK(A.Work.InFlight.empty());
  CHECK(A.stateOf(Id) == "cancelled");
  CHECK(A.Jobs.isIdle());
}

TEST_CASE("a resubmission with another body doesn't change what the job runs "
          "with") {
  TestCluster Cluster;
  TestCluster::Daemon A(Cluster, "a#1");
  TestCluster::Daemon B(Cluster, "b#1");
  for (const auto &[Each, Body] :
       {std::pair(&A, "first"), std::pair(&B, "other"), std::pair(&A, "more")})
    CHECK(Each->call({.Class = ClassId("often"),
                      .Key = "team",
                      .IdempotencyKey = "k",
                      .Body = Body})
              .has_value());
  A.tick();
  B.tick();
  CHECK(B.Work.InFlight.empty());
  REQUIRE(A.Work.InFlight.size() == 1);
  CHECK(A.Work.InFlight[0].Request.Body == "first");
}

TEST_CASE("jobs of a stopped daemon are taken over exactly once") {
  TestCluster Cluster;
  TestCluster::Daemon B(Cluster, "b#1");
  TestCluster::Daemon C(Cluster, "c#1");
  std::string QueuedJob;
  std::string IdempotentJob;
  std::string NonIdempotentJob;
  {
    TestCluster::Daemon A(Cluster, "a#1");
    IdempotentJob = A.submit("often", "1");
    NonIdempotentJob = A.submit("once", "2");
    A.tick();
    QueuedJob = A.submit("once", "3");
  }
  B.Jobs.takeOverOrphanedJobs();
  B.Background.runPending();
  CHECK(B.stateOf(IdempotentJob) == "running");
  for (TestCluster::Daemon *Each : {&B, &C}) {
    Each->Environment.Gone.insert(DaemonId("a#1"));
    Each->Jobs.takeOverOrphanedJobs();
  }
  B.Background.runPending();
  C.Background.runPending();
  B.tick();
  C.tick();
  CHECK(B.stateOf(NonIdempotentJob) == "failed");
  CHECK(B.Work.InFlight.size() + C.Work.InFlight.size() == 2);
}

// Runs two daemons through random sequences of submissions, outcomes, platform
// faults, lost replies, restarts, takeovers and cancellations. A job of a
// non-idempotent class must not run more than once, and a job that was reported
// as cancelled must stay so.
TEST_CASE("random event sequences run a non-idempotent job at most once and "
          "keep jobs cancelled") {
  std::size_t Done = 0;
  std::size_t CancelledInFlight = 0;
  CHECK(rc::check("jobs", [&] {
    TestCluster Cluster;
    std::vector<std::unique_ptr<TestCluster::Daemon>> Daemons;
    unsigned Incarnation = 0;
    auto Start = [&] {
      return std::make_unique<TestCluster::Daemon>(
          Cluster, "d#" + std::to_string(Incarnation++));
    };
    Daemons.push_back(Start());
    Daemons.push_back(Start());
    std::set<std::string> NonIdempotentIds;
    std::set<std::string> AllIds;
    std::set<std::string> CancelledIds;
    std::set<DaemonId> Gone;
    // At the nominal size, because inRange() leaves out the last events of the
    // range in small cases.
    const auto Events = *rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            80, rc::gen::pair(rc::gen::inRange(0U, 9U),
                              rc::gen::inRange(0U, 1000U))));
    for (const auto &[Event, Detail] : Events) {
      TestCluster::Daemon &Each = *Daemons[Detail % 2];
      switch (Event) {
      case 0: {
        const std::string Id = Each.submit("once", std::to_string(Detail % 5));
        NonIdempotentIds.insert(Id);
        AllIds.insert(Id);
        break;
      }
      case 1:
        AllIds.insert(Each.submit("often", "o" + std::to_string(Detail % 5)));
        break;
      case 8: {
        if (AllIds.empty())
          break;
        // Mostly a job that waits at the dispatcher, if there is one.
        const std::size_t Open = Each.Work.InFlight.size();
        const std::string Id =
            Open > 0 && Detail % 4 != 0
                ? Each.Work.InFlight[Detail % Open].Request.Id.str()
                : *std::next(AllIds.begin(), long(Detail % AllIds.size()));
        auto Answer = Each.call({.Type = JobRequest::Operation::Cancel,
                                 .Id = JobId(Id),
                                 .Key = "team"});
        if (Answer && json::parse(Answer->Body)["state"] == "cancelled")
          CancelledIds.insert(Id);
        CancelledInFlight += Open - Each.Work.InFlight.size();
        break;
      }
      case 2:
        Each.Work.end(Detail % 4);
        break;
      case 3:
        Each.Jobs.takeOverOrphanedJobs();
        break;
      case 4:
        Cluster.Platform.setFaults(
            {.Unavailable = Detail % 4 == 0, .RepliesToDrop = int(Detail % 3)});
        break;
      case 5:
        if (Detail % 3 == 0) {
          Gone.insert(Daemons[Detail % 2]->Name);
          Daemons[Detail % 2] = Start();
          for (auto &Other : Daemons)
            Other->Environment.Gone = Gone;
        }
        break;
      default:
        Each.tick();
      }
      Daemons[Detail % 2]->Background.runPending();
    }
    for (const std::string &Id : NonIdempotentIds)
      RC_ASSERT(Cluster.Ran[RequestId(Id)] <= 1U);
    Cluster.Platform.setFaults({});
    for (const std::string &Id : CancelledIds)
      RC_ASSERT(Daemons[0]->stateOf(Id) == "cancelled");
    Done += Cluster.Ran.size();
  }));
  CHECK(Done > 100);
  CHECK(CancelledInFlight > 100);
}
