#include "fakestore.h"
#include "ownershipmanager.h"
#include "unixtime.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

class NoSource : public ISiteSource {
public:
  Async<Result<OperatorSnapshot>> readOperatorSnapshot(Duration) override {
    co_return OperatorSnapshot{};
  }
  Async<Result<OperatorSnapshot>> waitForOperatorChanges(std::int64_t,
                                                         Duration) override {
    co_return OperatorSnapshot{};
  }
  Async<Result<RegistrySnapshot>> readRegistry(Duration) override {
    co_return RegistrySnapshot{};
  }
  Async<Result<void>> publishWave(std::int64_t, bool, Duration) override {
    co_return Result<void>();
  }
  Async<Result<void>> publishEvacuation(ZoneId, std::optional<EvacuationState>,
                                        Duration) override {
    co_return Result<void>();
  }
  Async<Result<std::map<ZoneId, EvacuationState>>>
  readPublishedEvacuations(Duration) override {
    co_return std::map<ZoneId, EvacuationState>{};
  }
};

class NoUpstreams : public IUpstreamClientFactory {
public:
  std::unique_ptr<IUpstreamClient> connect(const UpstreamReport &) override {
    return nullptr;
  }
};

class NoVms : public ISiteVmControl {
public:
  Async<Result<std::vector<VmRecord>>> list(Duration) override {
    co_return std::vector<VmRecord>{};
  }
  Async<VmCommandOutcome> move(VmId, PoolId, VmCommandIssuer,
                               Duration) override {
    co_return VmCommandOutcome::Rejected;
  }
  Async<VmCommandOutcome> startMaintenance(VmId, std::int64_t, VmCommandIssuer,
                                           Duration) override {
    co_return VmCommandOutcome::Rejected;
  }
};

/// One daemon without callers, upstreams and VMs.
struct DaemonFixture {
  boost::asio::io_context Context;
  FakeStore Store;
  BootClock Clock;
  Metrics Stats;
  NoSource Source;
  NoUpstreams Upstreams;
  NoVms Vms;
  JobTable Jobs{Context.get_executor(), Store, Clock, Stats};
  SiteSettings Settings{.Name = "a"};
  ZoneEvacuations Evacuations;
  OperatorRowsAge OperatorRows;
  SiteDeps Deps{.Executor = Context.get_executor(),
                .Clock = Clock,
                .Store = Store,
                .Source = Source,
                .Upstreams = Upstreams,
                .Vms = Vms,
                .Jobs = Jobs,
                .Stats = Stats,
                .Settings = Settings,
                .Evacuations = Evacuations,
                .OperatorRows = OperatorRows};
  std::vector<OwnershipClaim> Claims;
  std::unique_ptr<OwnershipLease> Lease;
  OwnershipManager Manager{Deps, "1",
                           [this](const OwnershipClaim &Claim) {
                             this->Claims.push_back(Claim);
                             this->Lease = std::make_unique<OwnershipLease>(
                                 OwnershipTimings{}, Claim.Token,
                                 Claim.ClaimSentAt);
                             this->Manager.setOwnershipLease(this->Lease.get());
                           },
                           [] {}};

  void startManager() {
    spawn(this->Context.get_executor(), "ownership",
          [this] { return this->Manager.run(); });
  }
  void runFor(milliseconds Time) {
    this->Context.restart();
    this->Context.run_for(Time);
  }
  /// Stores \p Stored as the ownership row, with an epoch.
  void store(const OwnershipRow &Stored) {
    this->Store.apply({.Writes = {{ownershipKey(), encodeOwnership(Stored)},
                                  {epochKey(), Stored.Incarnation}}});
  }
  OwnershipRow storedRow() {
    return *decodeOwnership(this->Store.Rows.at(ownershipKey()).Value);
  }
};

} // namespace

TEST_CASE("a daemon that holds twice in a row uses a new token") {
  // Its holder stopped, but the row is still its own. With the old token, jobs
  // that were stored after the first claim would count as never started, and
  // run numbers and names of progress batches would be used twice.
  DaemonFixture Daemon;
  Daemon.startManager();
  Daemon.runFor(milliseconds(300));
  REQUIRE(Daemon.Claims.size() == 1);
  Daemon.Lease->markSuperseded();
  Daemon.runFor(milliseconds(1500));
  REQUIRE(Daemon.Claims.size() == 2);
  CHECK(Daemon.Claims[1].Token > Daemon.Claims[0].Token);
  CHECK(Daemon.Claims[1].Term > Daemon.Claims[0].Term);
}

TEST_CASE("a claim whose answer was lost does not make a holder by itself") {
  // The read that finds the row may be old, and a successor may act already.
  DaemonFixture Daemon;
  Daemon.Store.Faults = {CallFault::None, CallFault::Lost, CallFault::None};
  Daemon.startManager();
  Daemon.runFor(milliseconds(600));
  REQUIRE(Daemon.Claims.size() == 1);
  const Row &Epoch = Daemon.Store.Rows.at(epochKey());
  CHECK(Daemon.Claims[0].Token == Epoch.Version);
  CHECK(Daemon.storedRow().Term == Daemon.Claims[0].Term);
  CHECK(Daemon.Claims[0].Term == 2); // The first claim is not taken up.
}

TEST_CASE(
    "a daemon that is stopped while it is about to claim does not claim") {
  // The row would say that the holder hands over, and so accepts no jobs, while
  // the holder accepts some.
  DaemonFixture Daemon;
  Daemon.store({.Holder = "b", .Incarnation = "2", .Released = true});
  Daemon.startManager();
  // The read is done, and the pause that spreads claims has begun.
  Daemon.runFor(milliseconds(5));
  REQUIRE(Daemon.Claims.empty());
  Daemon.Manager.startLeaving();
  Daemon.runFor(milliseconds(500));
  CHECK(Daemon.Claims.empty());
  CHECK(Daemon.storedRow().Holder == "b");
}

TEST_CASE("an offered lease is left to daemons that are suited to it") {
  // Guards against a weak daemon, or one that is cut off itself, that claims
  // the lease of a holder that works on; such a site started nothing for 11 s.
  struct Case {
    double Capacity;
    bool Relayed;
    bool Claims;
  };
  for (const Case &Each :
       {Case{50, false, true}, Case{12, false, false}, Case{50, true, false}}) {
    CAPTURE(Each.Capacity);
    CAPTURE(Each.Relayed);
    DaemonFixture Daemon;
    Daemon.Settings.Capacity = Each.Capacity;
    Daemon.Store.Relayed = Each.Relayed;
    Daemon.store({.Holder = "b",
                  .Incarnation = "2",
                  .Leaving = true,
                  .OfferingCapacity = 50});
    Daemon.startManager();
    Daemon.runFor(milliseconds(700)); // Before the holder counts as silent.
    CHECK(Daemon.Claims.empty() != Each.Claims);
  }
}

TEST_CASE("a holder that is cut off offers its lease with its capacity, and "
          "none when it stops") {
  // Guards against an offer that any daemon takes, and against a planned stop
  // that only strong daemons may follow.
  DaemonFixture Daemon;
  Daemon.Settings.Capacity = 50;
  Daemon.Settings.Policy.HandOverWhenCutOff = true;
  Daemon.startManager();
  Daemon.runFor(milliseconds(300));
  REQUIRE(Daemon.Claims.size() == 1);
  Daemon.Store.Relayed = true;
  Daemon.runFor(milliseconds(1900));
  CHECK(Daemon.storedRow().Leaving);
  CHECK(Daemon.storedRow().OfferingCapacity == 50);
  Daemon.Manager.startLeaving();
  Daemon.runFor(milliseconds(400));
  CHECK(Daemon.storedRow().Leaving);
  CHECK_FALSE(Daemon.storedRow().OfferingCapacity.has_value());
}

TEST_CASE(
    "a holder that loads late leaves the progress head to its successor") {
  // It was cut off right after its claim. If it takes the head back when the
  // cut ends, the successor stops in the middle of its work.
  DaemonFixture Daemon;
  const std::string OfSuccessor = "20:3";
  Daemon.Store.apply({.Writes = {{progressHeadKey(), OfSuccessor}}});
  const auto Late = std::make_shared<Holder>(
      Daemon.Deps, OwnershipTimings{},
      OwnershipClaim{.Token = 9, .Term = 1, .ClaimSentAt = Daemon.Clock.now()});
  Late->run();
  Daemon.runFor(milliseconds(200));
  CHECK(Daemon.Store.Rows.at(progressHeadKey()).Value == OfSuccessor);
  CHECK(Late->ownership().isLost());
  CHECK_FALSE(Late->ready());
  Late->stop();
  Daemon.runFor(milliseconds(2000));
}

TEST_CASE("a holder takes the progress head of an earlier one") {
  DaemonFixture Daemon;
  Daemon.Store.apply({.Writes = {{progressHeadKey(), "20:3"}}});
  const auto Next = std::make_shared<Holder>(
      Daemon.Deps, OwnershipTimings{},
      OwnershipClaim{
          .Token = 100, .Term = 1, .ClaimSentAt = Daemon.Clock.now()});
  Next->run();
  Daemon.runFor(milliseconds(200));
  CHECK(Daemon.Store.Rows.at(progressHeadKey()).Value == "100:0");
  CHECK(Next->ready());
  Next->stop();
  Daemon.runFor(milliseconds(2000));
}

TEST_CASE("a holder reads the learned run times only with the switch on") {
  // A damaged row must not keep it from its work.
  for (const bool Learns : {false, true}) {
    DaemonFixture Daemon;
    Daemon.Settings.Policy.LearnRunTimes = Learns;
    Daemon.Store.apply({.Writes = {{runTimesKey(), "damaged"}}});
    const auto Next = std::make_shared<Holder>(
        Daemon.Deps, OwnershipTimings{},
        OwnershipClaim{
            .Token = 100, .Term = 1, .ClaimSentAt = Daemon.Clock.now()});
    Next->run();
    Daemon.runFor(milliseconds(200));
    CHECK(Daemon.Stats.counter("run_times_unreadable_total") == int(Learns));
    CHECK(Next->ready());
    Next->stop();
    Daemon.runFor(milliseconds(2000));
  }
}
