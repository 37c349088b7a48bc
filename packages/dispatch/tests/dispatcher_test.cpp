#include "sardinerill/admission/keys.h"
#include "sardinerill/dispatch/dispatcher.h"
#include "sardinerill/dispatch/vmselection.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

/// Escrow that counts units in one process, without loans between daemons.
struct FakeEscrow : IEscrow {
  std::map<ResourceId, unsigned> Limits;
  std::map<ResourceId, unsigned> Used;

  std::optional<UnitSource> tryAcquire(const ResourceId &Resource) override {
    if (this->available(Resource) == 0)
      return std::nullopt;
    ++this->Used[Resource];
    return UnitSource{};
  }
  void release(const ResourceId &Resource, const UnitSource &) override {
    REQUIRE(this->Used[Resource]-- > 0);
  }
  void requestUnits(const ResourceId &, unsigned) override {}
  unsigned available(const ResourceId &Resource) const override {
    auto Limit = this->Limits.find(Resource);
    auto Now = this->Used.find(Resource);
    const unsigned Max = Limit == this->Limits.end() ? 0 : Limit->second;
    return Max - std::min(Max, Now == this->Used.end() ? 0 : Now->second);
  }
  unsigned running(const ResourceId &Resource) const override {
    auto Now = this->Used.find(Resource);
    return Now == this->Used.end() ? 0 : Now->second;
  }
};

/// Upstreams whose attempts end at the time and with the outcome that the test
/// chooses.
struct ManualUpstreams : IUpstreams {
  struct Attempt {
    UpstreamRequest Request;
    Callback OnDone;
  };
  std::vector<Attempt> InFlight;
  /// Number of runs of each request.
  std::map<RequestId, unsigned> Ran;
  std::size_t Sent = 0;

  void send(UpstreamRequest Request, Callback OnDone) override {
    ++this->Sent;
    this->InFlight.push_back({std::move(Request), std::move(OnDone)});
  }
  void cancel(const VmEndpoint &, const RequestId &) override {}

  /// Ends an attempt. \p Outcome is 0 if it was not sent, 1 if it ran and the
  /// VM replied with an error, 2 if it ran and timed out, and any other number
  /// if it succeeded.
  void end(std::size_t Index, unsigned Outcome) {
    if (this->InFlight.empty())
      return;
    const auto Position =
        this->InFlight.begin() + long(Index % this->InFlight.size());
    Attempt EndedAttempt = std::move(*Position);
    this->InFlight.erase(Position);
    const RequestId Id = EndedAttempt.Request.Id;
    switch (Outcome) {
    case 0:
      EndedAttempt.OnDone(failure(ErrorKind::UpstreamUnreachable,
                                  RetryReason::ConnectFailed, true));
      return;
    case 1:
      ++this->Ran[Id];
      EndedAttempt.OnDone(
          failure(ErrorKind::UpstreamFailed, RetryReason::UpstreamError, true));
      return;
    case 2:
      ++this->Ran[Id];
      EndedAttempt.OnDone(failure(ErrorKind::UpstreamTimeout,
                                  RetryReason::NoValidResponse, false));
      return;
    default:
      ++this->Ran[Id];
      EndedAttempt.OnDone(
          WorkResponse{200, "text/plain", EndedAttempt.Request.Body, {}});
    }
  }

  static UpstreamOutcome failure(ErrorKind Kind, RetryReason Reason,
                                 bool Ended) {
    return tl::unexpected(
        UpstreamFailure{Kind, Reason, Ended, "simulated failure"});
  }
};

/// Claims in a map that all daemons share; can be made unavailable.
struct FakeClaims : IClaims {
  std::map<std::string, RequestId> &Table;
  bool Down = false;

  explicit FakeClaims(std::map<std::string, RequestId> &Table) : Table(Table) {}
  void claim(const ClaimKey &Claim, const RequestId &Id,
             Callback OnDone) override {
    if (this->Down)
      OnDone(makeError(ErrorKind::PlatformUnavailable, "the platform is down"));
    else if (!this->Table.emplace(Claim.IdempotencyKey, Id).second)
      OnDone(makeError(ErrorKind::DuplicateRequest, "the key was used before"));
    else
      OnDone({});
  }
  void release(const ClaimKey &Claim, const RequestId &Id) override {
    auto Found = this->Table.find(Claim.IdempotencyKey);
    if (Found != this->Table.end() && Found->second == Id)
      this->Table.erase(Found);
  }
};

struct FakeFleetView : IFleetView {
  Instant ConfirmedAt = Instant::max();
  Instant confirmedNewestAt() const override { return this->ConfirmedAt; }
  unsigned runningOnOtherDaemons(const PoolId &,
                                 const TeamId &) const override {
    return 0;
  }
};

/// Requests of class "often" may run more than once, those of class "once" are
/// not idempotent.
std::shared_ptr<Fleet> makeFleet(const GeneratedKey &Key, unsigned Vms) {
  auto NewFleet = std::make_shared<Fleet>();
  NewFleet->Version = 1;
  NewFleet->Pools[PoolId("p")] = Pool{.Id = PoolId("p"), .SlotsPerVm = 2};
  NewFleet->Zones[ZoneId("z")] = Zone{ZoneId("z"), 1};
  for (unsigned Number = 0; Number < Vms; ++Number) {
    const VmId Id("w" + std::to_string(Number));
    NewFleet->Vms[Id] =
        Vm{.Id = Id, .Pool = PoolId("p"), .Zone = ZoneId("z"), .Port = 1};
  }
  WorkClass IdempotentClass{.Id = ClassId("often"),
                            .Pool = PoolId("p"),
                            .Target = milliseconds(1000),
                            .RunLimit = milliseconds(2000)};
  WorkClass NonIdempotentClass = IdempotentClass;
  NonIdempotentClass.Id = ClassId("once");
  NonIdempotentClass.Idempotent = false;
  NewFleet->Classes[IdempotentClass.Id] = IdempotentClass;
  NewFleet->Classes[NonIdempotentClass.Id] = NonIdempotentClass;
  NewFleet->Teams[TeamId("t")] =
      Team{.Id = TeamId("t"), .Ceiling = 3, .Keys = {Key.Record}};
  return NewFleet;
}

/// A dispatcher whose dependencies are all controlled by the test.
struct DispatcherFixture {
  ManualClock Clock;
  Metrics Stats;
  FakeEscrow Escrow;
  ManualUpstreams Upstreams;
  std::map<std::string, RequestId> ClaimTable;
  FakeClaims Claims{ClaimTable};
  FakeFleetView View;
  GeneratedKey Key = generateKey(KeyId("k"));
  std::shared_ptr<Fleet> Config;
  Dispatcher Subject;
  std::map<RequestId, std::vector<Result<WorkResponse>>> Answers;
  unsigned NextId = 0;

  explicit DispatcherFixture(unsigned Vms = 3)
      : Config(makeFleet(Key, Vms)),
        Subject(DispatcherOptions{.Zone = ZoneId("z"), .QueueLimit = 20},
                Escrow, Upstreams, Claims, View, Clock, Stats) {
    this->Clock.advance(seconds(100));
    this->Escrow.Limits[ResourceId("team/t")] = 3;
    for (const auto &[Id, Vm] : this->Config->Vms)
      this->Escrow.Limits[resourceOf(Id)] = 2;
    this->Subject.setFleet(this->Config);
  }

  RequestId submit(const std::string &Class,
                   std::optional<std::string> Idempotency = {}) {
    const RequestId Id("r" + std::to_string(this->NextId++));
    this->Subject.submit(WorkRequest{.Id = Id,
                                     .Class = ClassId(Class),
                                     .Key = this->Key.Text,
                                     .IdempotencyKey = std::move(Idempotency),
                                     .Body = Id.str()},
                         [this, Id](Result<WorkResponse> Outcome) {
                           this->Answers[Id].push_back(std::move(Outcome));
                         });
    return Id;
  }

  ErrorKind errorOf(const RequestId &Id) {
    REQUIRE(this->Answers[Id].size() == 1);
    REQUIRE_FALSE(this->Answers[Id][0].has_value());
    return this->Answers[Id][0].error().Kind;
  }
};

} // namespace

// Runs random sequences of submissions, cancellations, claim outages, clock
// steps and attempt outcomes, and checks that
// - no team exceeds its ceiling,
// - a caller receives a complete response, and to its own request,
// - a request reported as not run did not run,
// - a non-idempotent request runs at most once per idempotency key, and
// - each request is completed exactly once.
TEST_CASE("random event sequences complete each request once, with its own "
          "response or a correct error") {
  std::size_t Answered = 0;
  CHECK(rc::check("requests", [&] {
    DispatcherFixture Fixture;
    std::map<RequestId, std::string> KeyOf;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            150, rc::gen::pair(rc::gen::inRange(0U, 9U),
                               rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events) {
      switch (Event) {
      case 0:
      case 1:
        Fixture.submit("often");
        break;
      case 2: {
        // Reuses a few keys, as a load balancer that resends requests does.
        const std::string Key = "key" + std::to_string(Detail % 12);
        KeyOf[Fixture.submit("once", Key)] = Key;
        break;
      }
      case 3:
        Fixture.Claims.Down = Detail % 4 == 0;
        break;
      case 4:
        Fixture.Subject.cancel(RequestId("r" + std::to_string(Detail % 60)));
        break;
      case 5:
        Fixture.Clock.advance(milliseconds(Detail % 400));
        Fixture.Subject.tick();
        break;
      default:
        Fixture.Upstreams.end(Detail, Detail % 7);
      }
      RC_ASSERT(Fixture.Escrow.Used[ResourceId("team/t")] <= 3U);
    }
    for (int Round = 0; Round < 200; ++Round) {
      Fixture.Upstreams.end(0, 9);
      Fixture.Clock.advance(milliseconds(100));
      Fixture.Subject.tick();
    }
    RC_ASSERT(Fixture.Subject.isIdle());
    for (unsigned Number = 0; Number < Fixture.NextId; ++Number) {
      const RequestId Id("r" + std::to_string(Number));
      RC_ASSERT(Fixture.Answers[Id].size() == 1U);
      const Result<WorkResponse> &Answer = Fixture.Answers[Id][0];
      const unsigned Ran = Fixture.Upstreams.Ran[Id];
      if (Answer) {
        RC_ASSERT(Answer->Body == Id.str());
        ++Answered;
      } else if (errorResponseFor(Answer.error().Kind).Execution ==
                 ExecutionState::DidNotRun) {
        RC_ASSERT(Ran == 0U);
      }
    }
    std::map<std::string, unsigned> RanByKey;
    for (const auto &[Id, Key] : KeyOf)
      RanByKey[Key] += Fixture.Upstreams.Ran[Id];
    for (const auto &[Key, Ran] : RanByKey)
      RC_ASSERT(Ran <= 1U);
    // All acquired units were released.
    for (const auto &[Resource, Used] : Fixture.Escrow.Used)
      RC_ASSERT(Used == 0U);
  }));
  CHECK(Answered > 1000);
}

// A claim left behind after a connection failure would make the caller's retry
// fail as a duplicate although nothing ran.
TEST_CASE("the claim of a request that did not run is released, so its key "
          "can be used again") {
  DispatcherFixture Fixture(1);
  const RequestId First = Fixture.submit("once", "quote-1");
  Fixture.Upstreams.end(0, 0);
  Fixture.Upstreams.end(0, 0);
  Fixture.Upstreams.end(0, 0);
  CHECK(Fixture.errorOf(First) == ErrorKind::UpstreamUnreachable);
  Fixture.submit("once", "quote-1");
  Fixture.Upstreams.end(0, 9);
  const RequestId Third = Fixture.submit("once", "quote-1");
  CHECK(Fixture.errorOf(Third) == ErrorKind::DuplicateRequest);
  CHECK(Fixture.Upstreams.Ran.size() == 1);
}

// If only the last attempt counted, the error would say that the request did
// not run, although an earlier attempt may have run.
TEST_CASE("an error says that a request may have run if any attempt may have "
          "run") {
  DispatcherFixture Fixture;
  const RequestId Id = Fixture.submit("often");
  Fixture.Upstreams.end(0, 1);
  Fixture.Upstreams.end(0, 0);
  Fixture.Upstreams.end(0, 0);
  CHECK((errorResponseFor(Fixture.errorOf(Id)).Execution ==
         ExecutionState::MayHaveRun));
}

TEST_CASE("a request whose team stays at its ceiling is rejected with a retry "
          "delay, and one over the queue limit as queue full") {
  DispatcherFixture Fixture;
  std::vector<RequestId> Ids;
  for (int Number = 0; Number < 10; ++Number)
    Ids.push_back(Fixture.submit("often"));
  CHECK(Fixture.Upstreams.InFlight.size() == 3);
  Fixture.Clock.advance(milliseconds(1001));
  Fixture.Subject.tick();
  CHECK(Fixture.errorOf(Ids.back()) == ErrorKind::CeilingReached);
  CHECK(Fixture.Answers[Ids.back()][0].error().RetryAfter.has_value());
  for (int Number = 0; Number < 20; ++Number)
    Fixture.submit("often");
  CHECK(Fixture.errorOf(Fixture.submit("often")) == ErrorKind::QueueFull);
}

// A delay that ignores the queue sends callers back while it is still full.
TEST_CASE("the retry delay of a full queue is the time that the queue takes") {
  DispatcherFixture Fixture(1);
  const auto FillQueue = [&] {
    // Nothing starts at a ceiling of no units, so 20 requests wait.
    Fixture.Escrow.Limits[ResourceId("team/t")] = 0;
    for (int Number = 0; Number < 20; ++Number)
      Fixture.submit("often");
    const RequestId Refused = Fixture.submit("often");
    REQUIRE(Fixture.errorOf(Refused) == ErrorKind::QueueFull);
    return Fixture.Answers[Refused][0].error().RetryAfter;
  };
  // Before the first start, no rate is known.
  CHECK(FillQueue() == milliseconds(500));
  for (const auto &[Interval, Expected] :
       {std::pair(100, 2000), std::pair(10, 200), std::pair(1, 50)}) {
    Fixture.Clock.advance(seconds(2));
    Fixture.Subject.tick(); // The waiting requests expire.
    Fixture.Escrow.Limits[ResourceId("team/t")] = 3;
    for (int Number = 0; Number < 60; ++Number) {
      Fixture.Clock.advance(milliseconds(Interval));
      Fixture.submit("often");
      Fixture.Upstreams.end(0, 9);
    }
    const auto Delay = FillQueue();
    REQUIRE(Delay.has_value());
    CHECK(*Delay >= milliseconds(Expected));
    CHECK(*Delay <= milliseconds(Expected + Expected / 20));
  }
}

// Without a retry budget each request to failing VMs would cause up to three
// attempts.
TEST_CASE("during a full outage attempts stay below 1.1 times the requests") {
  DispatcherFixture Fixture(10);
  Fixture.Escrow.Limits[ResourceId("team/t")] = 1000;
  constexpr unsigned Requests = 2000;
  for (unsigned Number = 0; Number < Requests; ++Number) {
    Fixture.submit("often");
    while (!Fixture.Upstreams.InFlight.empty())
      Fixture.Upstreams.end(0, 0);
    Fixture.Clock.advance(milliseconds(5));
    Fixture.Subject.tick();
  }
  CHECK(double(Fixture.Upstreams.Sent) <= 1.1 * Requests);
}

// A worker that fails requests immediately runs few of them, and would be
// preferred if it were not ejected.
TEST_CASE("a worker that fails every request receives almost no requests "
          "after one second") {
  DispatcherFixture Fixture(10);
  Fixture.Escrow.Limits[ResourceId("team/t")] = 1000;
  const VmId FailingVm("w3");
  unsigned LateAttempts = 0;
  unsigned TotalAttempts = 0;
  for (int Step = 0; Step < 400; ++Step) {
    Fixture.submit("often");
    for (std::size_t Index = 0; Index < Fixture.Upstreams.InFlight.size();
         ++Index) {
      const bool IsFailing =
          Fixture.Upstreams.InFlight[Index].Request.Vm.Id == FailingVm;
      // The first second is not counted: 200 steps of 5 ms.
      if (Step > 200)
        LateAttempts += IsFailing ? 1 : 0;
      ++TotalAttempts;
    }
    while (!Fixture.Upstreams.InFlight.empty())
      Fixture.Upstreams.end(
          0,
          Fixture.Upstreams.InFlight[0].Request.Vm.Id == FailingVm ? 1U : 9U);
    Fixture.Clock.advance(milliseconds(5));
    Fixture.Subject.tick();
  }
  CHECK(TotalAttempts >= 400);
  CHECK(LateAttempts <= 4);
}

// If all VMs fail and all were ejected, no request of the pool could start.
TEST_CASE("a VM is selected although all VMs of the pool are ejected") {
  std::mt19937_64 Random(1);
  std::vector<VmHealth> Health(4);
  const Instant Now(seconds(10));
  for (VmHealth &Each : Health)
    for (int Failure = 0; Failure < 10; ++Failure)
      Each.record(AttemptOutcome::Failed, Now);
  std::vector<VmCandidate> Pool;
  for (std::size_t Number = 0; Number < Health.size(); ++Number)
    Pool.push_back({VmId(std::to_string(Number)), 1, 0, true, &Health[Number]});
  CHECK(selectVm(Pool, {}, Now, Random).has_value());
}

TEST_CASE("a leaving VM receives no requests, and a stopping daemon rejects "
          "them with the error Draining") {
  DispatcherFixture Fixture(1);
  Fixture.Subject.setLeaving({VmId("w0")});
  Fixture.submit("often");
  CHECK(Fixture.Upstreams.InFlight.empty());
  Fixture.Subject.setLeaving({});
  Fixture.Subject.tick();
  CHECK(Fixture.Upstreams.InFlight.size() == 1);
  Fixture.Subject.rejectNewWork();
  CHECK(Fixture.errorOf(Fixture.submit("often")) == ErrorKind::Draining);
}
