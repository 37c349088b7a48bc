#include "evacuationfakes.h"
#include "fakestore.h"
#include "holder.h"
#include "unixtime.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

/// A holder that has just taken over, with one upstream.
struct HolderFixture {
  boost::asio::io_context Context;
  FakeStore Store;
  BootClock Clock;
  Metrics Stats;
  OneUpstreamSource Source;
  AcceptingUpstreams Upstreams;
  NoVms Vms;
  JobTable Jobs{Context.get_executor(), Store, Clock, Stats};
  SiteSettings Settings{.Name = "a"};
  ZoneEvacuations Evacuations;
  OperatorRowsAge OperatorRows;
  std::shared_ptr<Holder> Running = std::make_shared<Holder>(
      SiteDeps{.Executor = Context.get_executor(),
               .Clock = Clock,
               .Store = Store,
               .Source = Source,
               .Upstreams = Upstreams,
               .Vms = Vms,
               .Jobs = Jobs,
               .Stats = Stats,
               .Settings = Settings,
               .Evacuations = Evacuations,
               .OperatorRows = OperatorRows},
      OwnershipTimings{.LeaseDuration = seconds(60)},
      OwnershipClaim{.Token = 9, .Term = 1, .ClaimSentAt = this->Clock.now()});

  HolderFixture() {
    this->Running->run();
    this->runFor(milliseconds(200));
    REQUIRE(this->Running->ready());
  }
  ~HolderFixture() {
    this->Running->stop();
    this->runFor(milliseconds(2000));
  }
  void runFor(milliseconds Time) {
    this->Context.restart();
    this->Context.run_for(Time);
  }
  /// Submits a job with one task.
  void submit(const std::string &Id) {
    JobSpec Spec{.Id = JobId(Id), .AcceptedAtMs = unixMillis()};
    Spec.Queue = {.Id = QueueId("q"), .Pool = PoolId("pool")};
    Spec.Steps = {{.Count = 1,
                   .Requested = {1000, 100, 0},
                   .Estimate = milliseconds(500)}};
    this->Running->applyNotifiedChange(
        {.Job = Spec.Id, .Spec = Spec, .Version = 100});
  }
  void readRows() {
    this->OperatorRows.recordRead(this->Clock.now());
    this->OperatorRows.endQuestions();
  }
  int started() const { return int(this->Upstreams.Started.size()); }
};

} // namespace

TEST_CASE("a new holder starts nothing before it knows the operators' rows") {
  // Its predecessor may have known of an evacuation.
  HolderFixture Site;
  Site.submit("0123456789abcdef");
  Site.runFor(milliseconds(500));
  CHECK(Site.started() == 0);
  Site.readRows();
  Site.runFor(milliseconds(500));
  CHECK(Site.started() == 1);
}

TEST_CASE("a holder starts nothing in an evacuated zone until the request is "
          "withdrawn") {
  HolderFixture Site;
  const EvacuationRow Request{.Zone = Zone1, .Version = 50};
  Site.Evacuations.applyChanges({&Request, 1}, Site.Clock.now());
  Site.readRows();
  Site.submit("0123456789abcdef");
  Site.runFor(milliseconds(500));
  CHECK(Site.started() == 0);
  const EvacuationRow Removal{.Zone = Zone1, .Version = 51, .Requested = false};
  Site.Evacuations.applyChanges({&Removal, 1}, Site.Clock.now());
  Site.Running->applyEvacuations();
  Site.runFor(milliseconds(500));
  CHECK(Site.started() == 1);
}

TEST_CASE("a holder starts nothing while only the operators' rows can't be "
          "read") {
  // An acknowledged request would not be noticed.
  HolderFixture Site;
  Site.OperatorRows.recordRead(Site.Clock.now() - OperatorRowsAge::MaxAge);
  Site.OperatorRows.endQuestions();
  Site.runFor(milliseconds(50));
  Site.submit("0123456789abcdef");
  Site.runFor(milliseconds(300));
  CHECK(Site.started() == 0);
  // Without the table no request can be acknowledged.
  Site.Store.Reachable = false;
  Site.runFor(milliseconds(500));
  CHECK(Site.started() == 1);
}

TEST_CASE("operators see a request as running, then completed, until it is "
          "withdrawn") {
  HolderFixture Site;
  Site.readRows();
  const EvacuationRow Request{.Zone = Zone1, .Version = 50};
  Site.Evacuations.applyChanges({&Request, 1}, Site.Clock.now());
  Site.runFor(milliseconds(1500));
  const EvacuationRow Removal{.Zone = Zone1, .Version = 51, .Requested = false};
  Site.Evacuations.applyChanges({&Removal, 1}, Site.Clock.now());
  Site.OperatorRows.recordRead(Site.Clock.now());
  Site.runFor(milliseconds(1200));
  using Write = std::pair<ZoneId, std::optional<EvacuationState>>;
  CHECK(Site.Source.Published ==
        std::vector<Write>{{Zone1, EvacuationState::Running},
                           {Zone1, EvacuationState::Completed},
                           {Zone1, std::nullopt}});
}
