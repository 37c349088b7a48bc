#include "sardinerill/admission/keys.h"
#include "sardinerill/dispatch/dispatcher.h"
#include "sardinerill/dispatch/vmchoice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

/// Limits held in one place: the naive escrow.
struct NaiveEscrow : IEscrow {
  std::map<ResourceId, unsigned> Limits;
  std::map<ResourceId, unsigned> Used;

  std::optional<UnitSource> tryStart(const ResourceId &Resource) override {
    if (this->available(Resource) == 0)
      return std::nullopt;
    ++this->Used[Resource];
    return UnitSource{};
  }
  void finish(const ResourceId &Resource, const UnitSource &) override {
    REQUIRE(this->Used[Resource]-- > 0);
  }
  void want(const ResourceId &, unsigned) override {}
  unsigned available(const ResourceId &Resource) const override {
    auto Limit = this->Limits.find(Resource);
    auto Now = this->Used.find(Resource);
    const unsigned Most = Limit == this->Limits.end() ? 0 : Limit->second;
    return Most - std::min(Most, Now == this->Used.end() ? 0 : Now->second);
  }
  unsigned running(const ResourceId &Resource) const override {
    auto Now = this->Used.find(Resource);
    return Now == this->Used.end() ? 0 : Now->second;
  }
};

/// Tries that end when and how the history says.
struct HeldUpstreams : IUpstreams {
  struct Try {
    UpstreamRequest Request;
    Done Finished;
  };
  std::vector<Try> Open;
  /// How often work really ran, by request.
  std::map<RequestId, unsigned> Ran;
  std::size_t Sent = 0;

  void send(UpstreamRequest Request, Done Finished) override {
    ++this->Sent;
    this->Open.push_back({std::move(Request), std::move(Finished)});
  }
  void cancel(const VmEndpoint &, const RequestId &) override {}

  void end(std::size_t Which, unsigned How) {
    if (this->Open.empty())
      return;
    const auto At = this->Open.begin() + long(Which % this->Open.size());
    Try Ending = std::move(*At);
    this->Open.erase(At);
    const RequestId Id = Ending.Request.Id;
    switch (How) {
    case 0:
      Ending.Finished(fault(ErrorKind::UpstreamUnreachable,
                            RetryReason::ConnectFailed, true));
      return;
    case 1:
      ++this->Ran[Id];
      Ending.Finished(
          fault(ErrorKind::UpstreamFailed, RetryReason::UpstreamError, true));
      return;
    case 2:
      ++this->Ran[Id];
      Ending.Finished(fault(ErrorKind::UpstreamTimeout,
                            RetryReason::UpstreamCutOff, false));
      return;
    default:
      ++this->Ran[Id];
      Ending.Finished(WorkAnswer{200, "text/plain", Ending.Request.Body, {}});
    }
  }

  static UpstreamOutcome fault(ErrorKind Kind, RetryReason Reason, bool Ended) {
    return tl::unexpected(UpstreamFault{Kind, Reason, Ended, "as told"});
  }
};

/// One table of claims for all daemons, which may be down.
struct FakeClaims : IClaims {
  std::map<std::string, RequestId> &Table;
  bool Down = false;

  explicit FakeClaims(std::map<std::string, RequestId> &Table) : Table(Table) {}
  void claim(const ClaimName &Name, const RequestId &Id,
             Done Finished) override {
    if (this->Down)
      Finished(makeError(ErrorKind::PlatformUnavailable, "down"));
    else if (!this->Table.emplace(Name.IdempotencyKey, Id).second)
      Finished(makeError(ErrorKind::DuplicateRequest, "taken"));
    else
      Finished({});
  }
  void release(const ClaimName &Name, const RequestId &Id) override {
    auto Found = this->Table.find(Name.IdempotencyKey);
    if (Found != this->Table.end() && Found->second == Id)
      this->Table.erase(Found);
  }
};

struct FakeView : IFleetView {
  Instant Fresh = Instant::max();
  Instant freshSince() const override { return this->Fresh; }
  unsigned runningElsewhere(const PoolId &, const TeamId &) const override {
    return 0;
  }
};

std::shared_ptr<Fleet> makeFleet(const NewKey &Key, unsigned Vms) {
  auto Made = std::make_shared<Fleet>();
  Made->Version = 1;
  Made->Pools[PoolId("p")] = Pool{.Id = PoolId("p"), .SlotsPerVm = 2};
  Made->Zones[ZoneId("z")] = Zone{ZoneId("z"), 1};
  for (unsigned Number = 0; Number < Vms; ++Number) {
    const VmId Id("w" + std::to_string(Number));
    Made->Vms[Id] =
        Vm{.Id = Id, .Pool = PoolId("p"), .Zone = ZoneId("z"), .Port = 1};
  }
  WorkClass Often{.Id = ClassId("often"),
                  .Pool = PoolId("p"),
                  .Target = milliseconds(1000),
                  .MaxRun = milliseconds(2000)};
  WorkClass Once = Often;
  Once.Id = ClassId("once");
  Once.Idempotent = false;
  Made->Classes[Often.Id] = Often;
  Made->Classes[Once.Id] = Once;
  Made->Teams[TeamId("t")] =
      Team{.Id = TeamId("t"), .Ceiling = 3, .Keys = {Key.Record}};
  return Made;
}

/// One dispatcher with everything around it under the test's hand.
struct Bench {
  ManualClock Clock;
  Metrics Figures;
  NaiveEscrow Escrow;
  HeldUpstreams Upstreams;
  std::map<std::string, RequestId> ClaimTable;
  FakeClaims Claims{ClaimTable};
  FakeView View;
  NewKey Key = makeKey(KeyId("k"));
  std::shared_ptr<Fleet> Config;
  Dispatcher Work;
  std::map<RequestId, std::vector<Result<WorkAnswer>>> Answers;
  unsigned Next = 0;

  explicit Bench(unsigned Vms = 3)
      : Config(makeFleet(Key, Vms)),
        Work(DispatcherOptions{.Zone = ZoneId("z"), .QueueLimit = 20}, Escrow,
             Upstreams, Claims, View, Clock, Figures) {
    this->Clock.advance(seconds(100));
    this->Escrow.Limits[ResourceId("team/t")] = 3;
    for (const auto &[Id, Vm] : this->Config->Vms)
      this->Escrow.Limits[resourceOf(Id)] = 2;
    this->Work.setFleet(this->Config);
  }

  RequestId submit(const std::string &Class,
                   std::optional<std::string> Idempotency = {}) {
    const RequestId Id("r" + std::to_string(this->Next++));
    this->Work.submit(WorkRequest{.Id = Id,
                                  .Class = ClassId(Class),
                                  .Key = this->Key.Text,
                                  .IdempotencyKey = std::move(Idempotency),
                                  .Body = Id.str()},
                      [this, Id](Result<WorkAnswer> Outcome) {
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

// Promises: no team over its ceiling; whole answers to the own request; true
// refusals; at most once; every request gets exactly one final answer.
TEST_CASE("in every history each request gets one true answer") {
  std::size_t Answered = 0;
  CHECK(rc::check("requests", [&] {
    Bench Site;
    std::map<RequestId, std::string> KeyOf;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            150, rc::gen::pair(rc::gen::inRange(0U, 9U),
                               rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events) {
      switch (Event) {
      case 0:
      case 1:
        Site.submit("often");
        break;
      case 2: {
        // The balancer sends some keys again.
        const std::string Key = "key" + std::to_string(Detail % 12);
        KeyOf[Site.submit("once", Key)] = Key;
        break;
      }
      case 3:
        Site.Claims.Down = Detail % 4 == 0;
        break;
      case 4:
        Site.Work.cancel(RequestId("r" + std::to_string(Detail % 60)));
        break;
      case 5:
        Site.Clock.advance(milliseconds(Detail % 400));
        Site.Work.tick();
        break;
      default:
        Site.Upstreams.end(Detail, Detail % 7);
      }
      RC_ASSERT(Site.Escrow.Used[ResourceId("team/t")] <= 3U);
    }
    for (int Round = 0; Round < 200; ++Round) {
      Site.Upstreams.end(0, 9);
      Site.Clock.advance(milliseconds(100));
      Site.Work.tick();
    }
    RC_ASSERT(Site.Work.isIdle());
    for (unsigned Number = 0; Number < Site.Next; ++Number) {
      const RequestId Id("r" + std::to_string(Number));
      RC_ASSERT(Site.Answers[Id].size() == 1U);
      const Result<WorkAnswer> &Answer = Site.Answers[Id][0];
      const unsigned Ran = Site.Upstreams.Ran[Id];
      if (Answer) {
        RC_ASSERT(Answer->Body == Id.str());
        ++Answered;
      } else if (answerFor(Answer.error().Kind).Ran == RanState::DidNotRun) {
        RC_ASSERT(Ran == 0U);
      }
    }
    std::map<std::string, unsigned> RanByKey;
    for (const auto &[Id, Key] : KeyOf)
      RanByKey[Key] += Site.Upstreams.Ran[Id];
    for (const auto &[Key, Ran] : RanByKey)
      RC_ASSERT(Ran <= 1U);
    // Everything taken was given back.
    for (const auto &[Resource, Used] : Site.Escrow.Used)
      RC_ASSERT(Used == 0U);
  }));
  CHECK(Answered > 1000);
}

TEST_CASE("a claim on work that did not run is released for the next try") {
  Bench Site(1);
  const RequestId First = Site.submit("once", "quote-1");
  Site.Upstreams.end(0, 0);
  Site.Upstreams.end(0, 0);
  Site.Upstreams.end(0, 0);
  CHECK(Site.errorOf(First) == ErrorKind::UpstreamUnreachable);
  Site.submit("once", "quote-1");
  Site.Upstreams.end(0, 9);
  const RequestId Third = Site.submit("once", "quote-1");
  CHECK(Site.errorOf(Third) == ErrorKind::DuplicateRequest);
  CHECK(Site.Upstreams.Ran.size() == 1);
}

TEST_CASE("a try that may have run outlasts a later one that did not") {
  Bench Site;
  const RequestId Id = Site.submit("often");
  Site.Upstreams.end(0, 1);
  Site.Upstreams.end(0, 0);
  Site.Upstreams.end(0, 0);
  CHECK((answerFor(Site.errorOf(Id)).Ran == RanState::MayHaveRun));
}

TEST_CASE("what can't meet its target is refused at once, with a time to come "
          "back") {
  Bench Site;
  std::vector<RequestId> Ids;
  for (int Number = 0; Number < 10; ++Number)
    Ids.push_back(Site.submit("often"));
  CHECK(Site.Upstreams.Open.size() == 3);
  Site.Clock.advance(milliseconds(1001));
  Site.Work.tick();
  CHECK(Site.errorOf(Ids.back()) == ErrorKind::CeilingReached);
  CHECK(Site.Answers[Ids.back()][0].error().RetryAfter.has_value());
  for (int Number = 0; Number < 20; ++Number)
    Site.submit("often");
  CHECK(Site.errorOf(Site.submit("often")) == ErrorKind::QueueFull);
}

TEST_CASE("in a full outage tries stay under 1.1 times the requests") {
  Bench Site(10);
  Site.Escrow.Limits[ResourceId("team/t")] = 1000;
  constexpr unsigned Requests = 2000;
  for (unsigned Number = 0; Number < Requests; ++Number) {
    Site.submit("often");
    while (!Site.Upstreams.Open.empty())
      Site.Upstreams.end(0, 0);
    Site.Clock.advance(milliseconds(5));
    Site.Work.tick();
  }
  CHECK(double(Site.Upstreams.Sent) <= 1.1 * Requests);
}

TEST_CASE("a worker that fails everything gets next to no work") {
  Bench Site(10);
  Site.Escrow.Limits[ResourceId("team/t")] = 1000;
  const VmId Bad("w3");
  unsigned LateTries = 0;
  unsigned All = 0;
  for (int Step = 0; Step < 400; ++Step) {
    Site.submit("often");
    for (std::size_t Which = 0; Which < Site.Upstreams.Open.size(); ++Which) {
      const bool IsBad = Site.Upstreams.Open[Which].Request.Vm.Id == Bad;
      // After one second.
      if (Step > 200)
        LateTries += IsBad ? 1 : 0;
      ++All;
    }
    while (!Site.Upstreams.Open.empty())
      Site.Upstreams.end(0,
                         Site.Upstreams.Open[0].Request.Vm.Id == Bad ? 1U : 9U);
    Site.Clock.advance(milliseconds(5));
    Site.Work.tick();
  }
  CHECK(All >= 400);
  CHECK(LateTries <= 4);
}

TEST_CASE("a correlated failure never ejects the whole pool") {
  std::mt19937_64 Random(1);
  std::vector<VmHealth> Health(4);
  const Instant Now(seconds(10));
  for (VmHealth &Each : Health)
    for (int Failure = 0; Failure < 10; ++Failure)
      Each.record(TryOutcome::Failed, Now);
  std::vector<VmCandidate> Pool;
  for (std::size_t Number = 0; Number < Health.size(); ++Number)
    Pool.push_back({VmId(std::to_string(Number)), 1, 0, true, &Health[Number]});
  CHECK(chooseVm(Pool, {}, Now, Random).has_value());
}

TEST_CASE("a leaving VM gets no new work, and a stop refuses truthfully") {
  Bench Site(1);
  Site.Work.setLeaving({VmId("w0")});
  Site.submit("often");
  CHECK(Site.Upstreams.Open.empty());
  Site.Work.setLeaving({});
  Site.Work.tick();
  CHECK(Site.Upstreams.Open.size() == 1);
  Site.Work.refuseNew();
  CHECK(Site.errorOf(Site.submit("often")) == ErrorKind::Draining);
}
