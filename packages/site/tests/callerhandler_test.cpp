#include "callerhandler.h"
#include "fakestore.h"

#include "sardinerill/http/httpserver.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

constexpr std::string_view Recurring = "recurring";

Result<JobSpec> decodeBody(const std::string &Body) {
  JobSpec Spec{
      .Payload = Body,
      .Steps = {
          {.Count = 8, .Requested = {1000, 1, 0}, .Estimate = seconds(1)}}};
  if (Body == Recurring)
    Spec.Schedule = {.Count = 2, .FirstDueMs = 0, .IntervalMs = 1000};
  return Spec;
}

/// A pool whose higher priorities have work for \p WaitSeconds.
std::shared_ptr<const overload::LoadSummary> loadOf(double WaitSeconds) {
  overload::LoadSummary Summary;
  overload::PoolLoad &Pool = Summary.Pools["pool"];
  Pool.Cores = 10;
  Pool.Ahead[-1].Started = 10 * WaitSeconds;
  return std::make_shared<const overload::LoadSummary>(Summary);
}

/// An entry daemon.
struct CallerFixture {
  boost::asio::io_context Context;
  FakeStore Store;
  ManualClock Clock;
  Metrics Stats;
  JobTable Jobs{Context.get_executor(), Store, Clock, Stats};
  SiteConfiguration Configuration{.Version = 1,
                                  .Queues = {{.Id = QueueId("queue"),
                                              .Host = "host",
                                              .PathPrefix = "/q/",
                                              .Pool = PoolId("pool"),
                                              .CallTimeout = seconds(5),
                                              .Public = true}}};
  std::optional<std::int64_t> NewerVersion;
  bool IsOutdated = false;
  std::shared_ptr<const overload::LoadSummary> Load = loadOf(1000);
  Endpoint Holder; ///< Not valid: this daemon is the holder, or knows none.
  CallerHandler Handler;

  explicit CallerFixture(bool RefuseUnservable = true)
      : Handler(
            {.Executor = Context.get_executor(),
             .Clock = Clock,
             .Jobs = Jobs,
             .Stats = Stats,
             .DecodeJob = decodeBody,
             .Configuration = [this] { return &this->Configuration; },
             .NewerVersion = [this] { return this->NewerVersion; },
             .IsOutdated = [this] { return this->IsOutdated; },
             .LatestReply = [] { return Instant::max(); },
             .LocalState = [](const JobId &) { return std::nullopt; },
             .LocalPendingJobs = [](const QueueId &) { return std::nullopt; },
             .NotifyLocalHolder = [](const JobChange &) { return true; },
             .LocalLoad = [this] { return this->Load; },
             .RefuseUnservable = RefuseUnservable,
             .HolderEndpoint = [this] { return this->Holder; },
             .OnHolderAnswer = [](const Endpoint &, const HttpResponse &) {}}) {
  }

  Result<CallerReply> call(CallerCall Call) {
    return runToEnd<Result<CallerReply>>(
        this->Context, [&] { return this->Handler.handle(Call); });
  }

  Result<CallerReply> submit(const std::string &Id,
                             const std::string &Body = "body") {
    return runToEnd<Result<CallerReply>>(this->Context, [&, Id, Body] {
      return this->Handler.handle({.Kind = CallKind::Submit,
                                   .Host = "host",
                                   .Path = "/q/" + Id,
                                   .Body = Body});
    });
  }
};

} // namespace

TEST_CASE("a job that can't be served is refused and not stored") {
  // Guards against refused jobs that run all the same, and against callers that
  // get no advice when to return.
  CallerFixture Fixture;
  const auto Refused = Fixture.submit("0123456789abcdef");
  REQUIRE_FALSE(Refused);
  const ErrorResponse &Response = errorResponseFor(Refused.error().Kind);
  CHECK(Response.HttpStatus == 429);
  CHECK((Response.Execution == ExecutionState::DidNotRun));
  REQUIRE(Refused.error().RetryAfter);
  CHECK(*Refused.error().RetryAfter >= seconds(1));
  CHECK(Fixture.Store.Rows.empty());
}

TEST_CASE("a job that was accepted before is answered as accepted") {
  // Guards against a repeated submission that is told that the job never runs,
  // also if reads of the table show an old state.
  CallerFixture Fixture;
  Fixture.Store.keepOldState();
  Fixture.Load = nullptr;
  REQUIRE(Fixture.submit("0123456789abcdef"));
  Fixture.Load = loadOf(1000);
  Fixture.Store.OldRead = 1;
  CHECK(Fixture.submit("0123456789abcdef"));
  CHECK_FALSE(Fixture.submit("fedcba9876543210"));
}

TEST_CASE("a job that may still be stored is not refused") {
  // Guards against a submission that the table carries out after a repetition
  // of it was refused.
  CallerFixture Fixture;
  Fixture.Load = nullptr;
  Fixture.Clock.advance(seconds(1));
  Fixture.Configuration.Queues[0].CallTimeout = milliseconds(250);
  Fixture.Store.Faults = {CallFault::Late};
  const auto Unknown = Fixture.submit("0123456789abcdef");
  REQUIRE_FALSE(Unknown);
  REQUIRE(Unknown.error().Kind == ErrorKind::PlatformOutcomeUnknown);
  Fixture.Load = loadOf(1000);
  Fixture.Configuration.Queues[0].CallTimeout = seconds(5);
  CHECK(Fixture.submit("0123456789abcdef"));
}

TEST_CASE("in doubt a job is accepted") {
  // Guards against refusals without a summary, by an unanswered check, of
  // recurring jobs, and with the feature off.
  CallerFixture Fixture;
  CHECK(Fixture.submit("0000000000000001", std::string(Recurring)));
  Fixture.Store.Faults = {CallFault::Lost};
  CHECK(Fixture.submit("0000000000000002"));
  Fixture.Load = loadOf(0.1);
  CHECK(Fixture.submit("0000000000000003"));
  Fixture.Load = nullptr;
  CHECK(Fixture.submit("0000000000000004"));
  CallerFixture Off(false);
  CHECK(Off.submit("0000000000000005"));
}

TEST_CASE("a holder that answers after its successor has been asked does not "
          "end the process") {
  // Guards against a use after free: the client of a holder that stood still
  // was destroyed while calls on it waited, once a call went to the next one.
  CallerFixture Fixture;
  const std::string Id = "0123456789abcdef";
  Fixture.Load = nullptr;
  REQUIRE(Fixture.submit(Id));
  AsyncEvent Wakes(Fixture.Context.get_executor());
  int Asked = 0;
  const auto Answer = [&](HttpRequest) -> Async<HttpResponse> {
    if (++Asked == 1)
      co_await Wakes.wait(seconds(30));
    else
      Wakes.notify();
    co_return HttpResponse{.Status = 200, .Body = "1"};
  };
  HttpServer Frozen(Fixture.Context.get_executor(), {"127.0.0.1", 0}, Answer);
  HttpServer Successor(Fixture.Context.get_executor(), {"127.0.0.1", 0},
                       Answer);
  CallKind Kind = CallKind::State;
  SUBCASE("state of a job") {}
  SUBCASE("count of pending jobs") { Kind = CallKind::Pending; }
  const CallerCall Call{.Kind = Kind, .Host = "host", .Path = "/q/" + Id};
  std::vector<Result<CallerReply>> Replies;
  const auto Send = [&]() -> Async<void> {
    Replies.push_back(co_await Fixture.Handler.handle(Call));
  };
  Fixture.Holder = {"127.0.0.1", Frozen.port()};
  spawn(Fixture.Context.get_executor(), "first", Send);
  Fixture.Context.restart();
  while (Asked == 0)
    Fixture.Context.run_one();
  Fixture.Holder = {"127.0.0.1", Successor.port()};
  spawn(Fixture.Context.get_executor(), "second", Send);
  while (Replies.size() < 2)
    Fixture.Context.run_one();
  CHECK(Replies.size() == 2);
  Frozen.stopAccepting();
  Successor.stopAccepting();
}

TEST_CASE("an old, unreadable or overtaken summary is not used") {
  // Guards against refusals by a load that has passed.
  const auto At = [](std::int64_t Millis) {
    return Instant(milliseconds(Millis));
  };
  const auto Text = [](int Cores, std::int64_t AgeMs) {
    overload::LoadSummary Summary;
    Summary.Pools["pool"].Cores = Cores;
    return overload::encodeSummary(Summary, milliseconds(AgeMs));
  };
  HolderLoad Load;
  CHECK_FALSE(Load.at(At(0)));
  CHECK(Load.update(Text(1, 500), At(5000)));
  REQUIRE(Load.at(At(6499)));
  CHECK_FALSE(Load.at(At(6500)));
  // Computed at 4,400 ms: the answer to an earlier notice came later.
  CHECK(Load.update(Text(2, 500), At(4900)));
  CHECK(Load.at(At(6000))->Pools.at("pool").Cores == 1);
  CHECK(Load.update(Text(3, 0), At(6000)));
  CHECK(Load.at(At(6000))->Pools.at("pool").Cores == 3);
  // A holder that has no summary yet does not withdraw a recent one.
  CHECK(Load.update("", At(6100)));
  CHECK(Load.at(At(6100)));
  CHECK_FALSE(Load.update("{}", At(6200)));
  CHECK_FALSE(Load.at(At(6200)));
}

TEST_CASE("a daemon that knows of a newer configuration refuses what its own "
          "does not have") {
  // Guards against 404, 401 and 403 for routes and keys that the configuration
  // in force has, while a daemon is still reading it.
  CallerFixture Fixture;
  Fixture.Load = nullptr;
  Fixture.Configuration.Queues.push_back({.Id = QueueId("keyed"),
                                          .Host = "host",
                                          .PathPrefix = "/k/",
                                          .Pool = PoolId("pool"),
                                          .CallTimeout = seconds(5)});
  Fixture.Configuration.Organisations = {
      {.Id = OrganisationId("a"), .Keys = {"key-a"}},
      {.Id = OrganisationId("b"), .Keys = {"key-b"}}};
  const std::string Id = "0123456789abcdef";
  const CallerCall Owned{.Kind = CallKind::Submit,
                         .Host = "host",
                         .Path = "/k/" + Id,
                         .ApiKey = "key-a",
                         .Body = "body"};
  REQUIRE(Fixture.call(Owned));
  CallerCall NoQueue = Owned;
  NoQueue.Path = "/new/0000000000000001";
  CallerCall NoKey = Owned;
  NoKey.Path = "/k/0000000000000002";
  NoKey.ApiKey = "";
  CallerCall NewKey = NoKey;
  NewKey.ApiKey = "key-c";
  CallerCall OtherOwner = Owned;
  OtherOwner.Kind = CallKind::Cancel;
  OtherOwner.ApiKey = "key-b";
  const auto StoredRows = Fixture.Store.Rows;
  for (const auto &[Call, Status] :
       {std::pair(NoQueue, 404), std::pair(NoKey, 401), std::pair(NewKey, 401),
        std::pair(OtherOwner, 403)}) {
    Fixture.NewerVersion = std::nullopt;
    const auto Refused = Fixture.call(Call);
    REQUIRE_FALSE(Refused);
    CHECK(errorResponseFor(Refused.error().Kind).HttpStatus == Status);
    Fixture.NewerVersion = 32;
    const auto Behind = Fixture.call(Call);
    REQUIRE_FALSE(Behind);
    const ErrorResponse &Response = errorResponseFor(Behind.error().Kind);
    CHECK(Response.HttpStatus == 503);
    CHECK((Response.Execution == ExecutionState::DidNotRun));
    CHECK(Behind.error().RetryAfter);
  }
  CHECK((Fixture.Store.Rows == StoredRows));
  CHECK(Fixture.Stats.renderPrometheus().find(
            "refusals_total{reason=\"configuration_behind\"} 4") !=
        std::string::npos);
  // A job that is, or may be, stored is not reported as one that never runs.
  CallerCall Repeated = Owned;
  Repeated.ApiKey = "key-c";
  const auto Unknown = Fixture.call(Repeated);
  REQUIRE_FALSE(Unknown);
  CHECK((Unknown.error().Kind == ErrorKind::PlatformOutcomeUnknown));
  Fixture.Store.Faults = {CallFault::Lost};
  const auto Unchecked = Fixture.call(NewKey);
  REQUIRE_FALSE(Unchecked);
  CHECK((Unchecked.error().Kind == ErrorKind::PlatformOutcomeUnknown));
  // What the older version has is served as before.
  CHECK(Fixture.submit("fedcba9876543210"));
}

TEST_CASE("an outdated configuration allows nothing") {
  // Guards against calls with withdrawn keys that are served by a daemon which
  // knows that its configuration has been replaced.
  CallerFixture Fixture;
  Fixture.Load = nullptr;
  const std::string Id = "0123456789abcdef";
  REQUIRE(Fixture.submit(Id));
  Fixture.NewerVersion = 32;
  CHECK(Fixture.submit("0000000000000001"));
  Fixture.IsOutdated = true;
  const auto StoredRows = Fixture.Store.Rows;
  CallerCall Call{.Kind = CallKind::Submit,
                  .Host = "host",
                  .Path = "/q/0000000000000002",
                  .Body = "body"};
  for (const CallKind Kind : {CallKind::Submit, CallKind::State,
                              CallKind::Cancel, CallKind::Pending}) {
    Call.Kind = Kind;
    const auto Refused = Fixture.call(Call);
    REQUIRE_FALSE(Refused);
    CHECK((Refused.error().Kind == ErrorKind::ConfigurationBehind));
    CHECK(Refused.error().RetryAfter);
  }
  CHECK((Fixture.Store.Rows == StoredRows));
  // A job that was accepted before is not reported as one that never runs.
  Call.Kind = CallKind::Submit;
  Call.Path = "/q/" + Id;
  const auto Repeated = Fixture.call(Call);
  REQUIRE_FALSE(Repeated);
  CHECK((Repeated.error().Kind == ErrorKind::PlatformOutcomeUnknown));
  Fixture.IsOutdated = false;
  CHECK(Fixture.submit("0000000000000002"));
}
