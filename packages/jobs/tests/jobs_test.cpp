#include "sardinerill/jobs/jobservice.h"
#include "sardinerill/platform/memoryplatform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

struct QueuedBackground : IBackground {
  std::deque<std::function<void()>> Steps;
  void run(std::function<void()> Work, std::function<void()> Done) override {
    this->Steps.push_back([Work = std::move(Work), Done = std::move(Done)] {
      Work();
      Done();
    });
  }
  void runAll() {
    // A platform that is down makes some steps come back for ever.
    for (int Turn = 0; Turn < 50 && !this->Steps.empty(); ++Turn) {
      auto Next = std::move(this->Steps.front());
      this->Steps.pop_front();
      Next();
    }
  }
};

/// Work that ends when the test says so; counts runs across daemons.
struct HeldWork : IWorkService {
  struct Held {
    WorkRequest Request;
    Done Finished;
  };
  std::map<RequestId, unsigned> &Ran;
  std::vector<Held> Open;

  explicit HeldWork(std::map<RequestId, unsigned> &Ran) : Ran(Ran) {}
  void submit(WorkRequest Request, Done Finished) override {
    this->Open.push_back({std::move(Request), std::move(Finished)});
  }
  void cancel(const RequestId &) override {}
  void end(unsigned How) {
    if (this->Open.empty())
      return;
    Held Next = std::move(this->Open.front());
    this->Open.erase(this->Open.begin());
    if (How == 0) {
      Next.Finished(makeError(ErrorKind::QueueFull, "full"));
      return;
    }
    ++this->Ran[Next.Request.Id];
    if (How == 1)
      Next.Finished(makeError(ErrorKind::UpstreamFailed, "failed"));
    else
      Next.Finished(
          WorkAnswer{200, "text/plain", "did " + Next.Request.Body, {}});
  }
};

struct FakeSurroundings : IJobSurroundings {
  std::set<DaemonId> Gone;
  std::int64_t NowMs = 1000000;

  Result<Admitted> admit(const AdmissionRequest &Request) override {
    WorkClass Class{.Id = Request.Class, .Deadline = milliseconds(60000)};
    Class.Idempotent = Request.Class == ClassId("often");
    if (Request.Class == ClassId("now"))
      Class.Deadline = milliseconds(0);
    Result<TeamId> Team = this->identify(Request.Key);
    if (!Team)
      return tl::unexpected(Team.error());
    return Admitted{*Team, Class};
  }
  Result<TeamId> identify(const std::optional<std::string> &Key) override {
    if (!Key)
      return makeError(ErrorKind::KeyMissing, "no key");
    return TeamId(*Key);
  }
  std::optional<bool> isIdempotent(const ClassId &Class) override {
    return Class == ClassId("often");
  }
  bool isGone(const DaemonId &Owner) override {
    return this->Gone.contains(Owner);
  }
  std::int64_t wallClockMs() override { return this->NowMs; }
};

/// Two daemons over one platform.
struct Site {
  MemoryPlatform Platform;
  std::map<RequestId, unsigned> Ran;

  struct Daemon {
    QueuedBackground Background;
    HeldWork Work;
    FakeSurroundings Around;
    PlatformGate Gate{100000, 1};
    ManualClock Clock;
    Metrics Figures;
    JobService Jobs;

    DaemonId Name;

    Daemon(Site &Owner, const std::string &Called)
        : Work(Owner.Ran),
          Jobs(JobServiceParts{DaemonId(Called), Owner.Platform, Background,
                               Work, Around, Gate, Clock, Figures}),
          Name(Called) {
      this->Clock.advance(seconds(100));
    }

    Result<JobAnswer> call(JobCall Call) {
      Result<JobAnswer> Got =
          makeError(ErrorKind::Internal, "was never answered");
      this->Jobs.call(std::move(Call), [&](Result<JobAnswer> Answer) {
        Got = std::move(Answer);
      });
      this->Background.runAll();
      return Got;
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
      auto Answer = this->call(
          {.Wanted = JobCall::Verb::Status, .Id = JobId(Id), .Key = "team"});
      return Answer ? json::parse(Answer->Body)["state"].get<std::string>()
                    : "";
    }

    void turn() {
      this->Jobs.tick();
      this->Background.runAll();
    }
  };
};

} // namespace

TEST_CASE("a job is kept before it is accepted, run, and its result fetched") {
  Site All;
  Site::Daemon A(All, "a#1");
  const std::string Id = A.submit("often", "nesting-1");
  CHECK(A.stateOf(Id) == "queued");
  CHECK(A.submit("often", "nesting-1") == Id);
  A.turn();
  CHECK(A.stateOf(Id) == "running");
  REQUIRE(A.Work.Open.size() == 1);
  CHECK(A.Work.Open[0].Request.AdmittedFor == TeamId("team"));
  CHECK(A.Work.Open[0].Request.FinishWithin == milliseconds(60000));
  A.Work.end(9);
  A.Background.runAll();
  auto Result =
      A.call({.Wanted = JobCall::Verb::Fetch, .Id = JobId(Id), .Key = "team"});
  REQUIRE(Result.has_value());
  CHECK(Result->Body == "did nesting-1");
}

TEST_CASE("a job is its team's alone, and a class without deadline has none") {
  Site All;
  Site::Daemon A(All, "a#1");
  const std::string Id = A.submit("often", "k");
  for (const auto Verb :
       {JobCall::Verb::Status, JobCall::Verb::Fetch, JobCall::Verb::Cancel}) {
    auto Answer = A.call({.Wanted = Verb, .Id = JobId(Id), .Key = "other"});
    REQUIRE_FALSE(Answer.has_value());
    CHECK(Answer.error().Kind == ErrorKind::NotFound);
  }
  auto Refused = A.call({.Class = ClassId("now"), .Key = "team"});
  REQUIRE_FALSE(Refused.has_value());
  CHECK(Refused.error().Kind == ErrorKind::BadRequest);
  All.Platform.setFaults({.Down = true});
  auto Lost = A.call({.Class = ClassId("often"), .Key = "team"});
  REQUIRE_FALSE(Lost.has_value());
  CHECK(Lost.error().Kind == ErrorKind::PlatformUnavailable);
}

TEST_CASE("a cancelled job does not run") {
  Site All;
  Site::Daemon A(All, "a#1");
  const std::string Id = A.submit("often", "k");
  CHECK(
      A.call({.Wanted = JobCall::Verb::Cancel, .Id = JobId(Id), .Key = "team"})
          .has_value());
  A.turn();
  CHECK(A.Work.Open.empty());
  CHECK(A.stateOf(Id) == "cancelled");
}

TEST_CASE("jobs of a daemon that is gone are taken over, once") {
  Site All;
  Site::Daemon B(All, "b#1");
  Site::Daemon C(All, "c#1");
  std::string Queued;
  std::string Often;
  std::string Once;
  {
    Site::Daemon A(All, "a#1");
    Often = A.submit("often", "1");
    Once = A.submit("once", "2");
    A.turn();
    Queued = A.submit("once", "3");
  }
  B.Jobs.adopt();
  B.Background.runAll();
  CHECK(B.stateOf(Often) == "running");
  for (Site::Daemon *Each : {&B, &C}) {
    Each->Around.Gone.insert(DaemonId("a#1"));
    Each->Jobs.adopt();
  }
  B.Background.runAll();
  C.Background.runAll();
  B.turn();
  C.turn();
  CHECK(B.stateOf(Once) == "failed");
  CHECK(B.Work.Open.size() + C.Work.Open.size() == 2);
}

// Promise: a request marked non-idempotent runs at most once.
TEST_CASE("in every history work that may run once is run once") {
  std::size_t Done = 0;
  CHECK(rc::check("jobs", [&] {
    Site All;
    std::vector<std::unique_ptr<Site::Daemon>> Daemons;
    unsigned Incarnation = 0;
    auto Start = [&] {
      return std::make_unique<Site::Daemon>(
          All, "d#" + std::to_string(Incarnation++));
    };
    Daemons.push_back(Start());
    Daemons.push_back(Start());
    std::set<std::string> OnceIds;
    std::set<DaemonId> Gone;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            80, rc::gen::pair(rc::gen::inRange(0U, 8U),
                              rc::gen::inRange(0U, 1000U)));
    for (const auto &[Event, Detail] : Events) {
      Site::Daemon &Each = *Daemons[Detail % 2];
      switch (Event) {
      case 0:
        OnceIds.insert(Each.submit("once", std::to_string(Detail % 5)));
        break;
      case 1:
        (void)Each.submit("often", "o" + std::to_string(Detail % 5));
        break;
      case 2:
        Each.Work.end(Detail % 4);
        break;
      case 3:
        Each.Jobs.adopt();
        break;
      case 4:
        All.Platform.setFaults(
            {.Down = Detail % 4 == 0, .LoseReplies = int(Detail % 3)});
        break;
      case 5:
        if (Detail % 3 == 0) {
          Gone.insert(Daemons[Detail % 2]->Name);
          Daemons[Detail % 2] = Start();
          for (auto &Any : Daemons)
            Any->Around.Gone = Gone;
        }
        break;
      default:
        Each.turn();
      }
      Daemons[Detail % 2]->Background.runAll();
    }
    for (const std::string &Id : OnceIds)
      RC_ASSERT(All.Ran[RequestId(Id)] <= 1U);
    Done += All.Ran.size();
  }));
  CHECK(Done > 100);
}
