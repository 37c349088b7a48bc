#include "sardinerill/control/operatorrequesthandler.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sardinerill;
using nlohmann::json;

namespace {

struct InlineBackground : IBackgroundExecutor {
  void run(std::function<void()> Work, std::function<void()> Done) override {
    Work();
    Done();
  }
};

struct NoPeers : IPeerSender {
  void send(const DaemonId &, const PeerMessage &) override {}
};

struct NoEscrow : IEscrow {
  std::optional<UnitSource> tryAcquire(const ResourceId &) override {
    return std::nullopt;
  }
  void release(const ResourceId &, const UnitSource &) override {}
  void requestUnits(const ResourceId &, unsigned) override {}
  unsigned available(const ResourceId &) const override { return 0; }
  unsigned running(const ResourceId &) const override { return 0; }
};

struct NoUpstreams : IUpstreams {
  void send(UpstreamRequest, Callback) override {}
  void cancel(const VmEndpoint &, const RequestId &) override {}
};

struct NoClaims : IClaims {
  void claim(const ClaimKey &, const RequestId &, Callback) override {}
  void release(const ClaimKey &, const RequestId &) override {}
};

struct NoFleetView : IFleetView {
  Instant confirmedNewestAt() const override { return {}; }
  unsigned runningOnOtherDaemons(const PoolId &,
                                 const TeamId &) const override {
    return 0;
  }
};

struct NoVmObserver : IVmObserver {
  bool isEjected(const VmId &) const override { return false; }
  unsigned runningTaskCount(const VmId &) const override { return 0; }
};

/// The operators' API of a daemon whose event loop runs the first
/// \c CallsToRun functions at once and keeps the others.
struct HandlerFixture {
  InMemoryPlatform Platform;
  InlineBackground Background;
  NoPeers Peers;
  NoEscrow Escrow;
  NoUpstreams Upstreams;
  NoClaims Claims;
  NoFleetView View;
  NoVmObserver Observer;
  PlatformCallLimiter Limiter{1000, 1};
  ManualClock Clock;
  Metrics Stats;
  Membership Members{DaemonId("self#1"), PeerEndpoint{}, {}};
  FleetReplica Replica{Platform, Background, Peers, Members,
                       Limiter,  Clock,      Stats};
  Dispatcher Work{{}, Escrow, Upstreams, Claims, View, Clock, Stats};
  MaintenanceController Maintenance{Platform, Background, Replica, Members,
                                    Observer, Limiter,    Clock,   Stats};
  std::size_t CallsToRun = 1000;
  std::vector<std::function<void()>> Kept;
  OperatorRequestHandler Handler{OperatorRequestHandlerDependencies{
      .Replica = Replica,
      .TaskDispatcher = Work,
      .Members = Members,
      .Maintenance = Maintenance,
      .Stats = Stats,
      .Clock = Clock,
      .BootstrapKey = "bootstrap",
      .DeregisterDaemon = [](const DaemonId &) {},
      .Post =
          [this](std::function<void()> Call) {
            if (this->CallsToRun == 0) {
              this->Kept.push_back(std::move(Call));
              return;
            }
            --this->CallsToRun;
            Call();
          },
      .TimeLimits = {.EventLoop = milliseconds(30),
                     .InForce = milliseconds(60),
                     .PendingPoll = milliseconds(5)}}};

  HandlerFixture() { this->Clock.advance(seconds(100)); }

  json change() {
    const OperatorResponse Answer = this->Handler.handle(OperatorRequest{
        .Method = "POST",
        .Path = "/v1/fleet/change",
        .Key = "bootstrap",
        .Body = json{{"madeOn", this->Replica.snapshot().Version},
                     {"patch", {{"pools", {{"p", {{"maxUnavailable", 2}}}}}}}}
                    .dump()});
    CHECK(Answer.Status == 200);
    return json::parse(Answer.Body);
  }
};

} // namespace

TEST_CASE("the answer to a change says whether it is in force on all daemons") {
  HandlerFixture Fixture;
  json Answer = Fixture.change();
  CHECK(Answer["version"] == 1);
  CHECK(Answer["inForce"] == true);
  CHECK(Answer["pending"] == json::array());
  Fixture.Members.applyRoster(
      {{DaemonId("other#1"), PeerEndpoint{ZoneId("z"), "x", 1}}},
      Fixture.Clock.now());
  Answer = Fixture.change();
  CHECK(Answer["inForce"] == false);
  CHECK(Answer["pending"] == json::array({"other#1"}));
}

// An event loop that is too busy to tell says nothing about the change.
TEST_CASE("a change is not reported as in force if the event loop does not "
          "answer") {
  HandlerFixture Fixture;
  Fixture.CallsToRun = 1; // The change itself.
  const json Answer = Fixture.change();
  CHECK(Answer["version"] == 1);
  CHECK(Answer["inForce"] == false);
  CHECK(Answer["pending"] == json::array({"self#1"}));
}

TEST_CASE("a call that the event loop runs after its time limit does no harm") {
  HandlerFixture Fixture;
  Fixture.CallsToRun = 1;
  (void)Fixture.change();
  REQUIRE_FALSE(Fixture.Kept.empty());
  for (const auto &Late : Fixture.Kept)
    Late();
}
