#include "fakestore.h"
#include "unixtime.h"
#include "vmcoordinator.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

const ZoneId Zone1("z1");
const ZoneId Zone2("z2");

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
  Async<Result<void>> publishWave(std::int64_t, bool Completed,
                                  Duration) override {
    if (Completed)
      this->OnWaveCompleted();
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
  std::function<void()> OnWaveCompleted = [] {};
};

/// Lists the given VMs and records the commands.
class RecordingVms : public ISiteVmControl {
public:
  Async<Result<std::vector<VmRecord>>> list(Duration) override {
    co_return this->Vms;
  }
  Async<VmCommandOutcome> move(VmId Vm, PoolId, VmCommandIssuer,
                               Duration) override {
    this->Moved.insert(Vm);
    co_return VmCommandOutcome::Accepted;
  }
  Async<VmCommandOutcome> startMaintenance(VmId Vm, std::int64_t,
                                           VmCommandIssuer, Duration) override {
    this->TakenDown.push_back(Vm);
    if (this->MaintenanceOutcomes.empty())
      co_return VmCommandOutcome::Accepted;
    const VmCommandOutcome Outcome = this->MaintenanceOutcomes.front();
    this->MaintenanceOutcomes.pop_front();
    co_return Outcome;
  }
  std::vector<VmRecord> Vms;
  std::set<VmId> Moved;
  std::vector<VmId> TakenDown;
  std::deque<VmCommandOutcome> MaintenanceOutcomes; ///< Then Accepted.
};

/// A pool in need of VMs, and a standby pool with two VMs in each zone.
struct CoordinatorFixture {
  boost::asio::io_context Context;
  FakeStore Store;
  BootClock Clock;
  Metrics Stats;
  NoSource Source;
  RecordingVms Vms;
  SiteSettings Settings{.Name = "a"};
  Scheduler JobScheduler{SchedulerOptions{}};
  OwnershipLease Ownership{{.LeaseDuration = seconds(60)}, 1, Clock.now()};
  AsyncEvent SchedulingEvent{Context.get_executor()};
  ZoneEvacuations Evacuations;
  std::shared_ptr<VmCoordinator> Coordinator = std::make_shared<VmCoordinator>(
      VmCoordinatorDeps{.Executor = Context.get_executor(),
                        .Clock = Clock,
                        .Store = Store,
                        .Source = Source,
                        .Vms = Vms,
                        .Settings = Settings,
                        .JobScheduler = JobScheduler,
                        .Ownership = Ownership,
                        .SchedulingEvent = SchedulingEvent,
                        .Stats = Stats,
                        .Evacuations = Evacuations});

  CoordinatorFixture() {
    const PoolId Pool("pool");
    const PoolId Standby("standby");
    SiteConfiguration Configuration{.Version = 1};
    Configuration.Queues = {{.Id = QueueId("q"), .Pool = Pool}};
    Configuration.Pools = {{Pool, {.Id = Pool}},
                           {Standby, {.Id = Standby, .Standby = true}}};
    this->JobScheduler.configure(Configuration);
    this->Coordinator->configure(Configuration);
    for (const char *Id : {"s1", "s2"})
      this->addVm(Id, Standby, Zone1);
    for (const char *Id : {"s3", "s4"})
      this->addVm(Id, Standby, Zone2);
    JobSpec Spec{.Id = JobId("0123456789abcdef"), .AcceptedAtMs = unixMillis()};
    Spec.Queue = Configuration.Queues[0];
    Spec.Queue.LatencyTarget = seconds(600);
    Spec.Steps = {
        {.Count = 60, .Requested = {1000, 100, 0}, .Estimate = seconds(1)}};
    this->JobScheduler.addJob(Spec, std::nullopt, false, this->Clock.now(),
                              this->Clock.now());
  }
  void addVm(const std::string &Id, const PoolId &Pool, const ZoneId &Zone) {
    this->Vms.Vms.push_back({.Id = VmId(Id),
                             .Pool = Pool,
                             .State = VmState::Up,
                             .Zone = Zone,
                             .Capacity = {8000, 100000, 0}});
  }
  void setEvacuated(std::int64_t Version, bool Requested) {
    const EvacuationRow Row{
        .Zone = Zone1, .Version = Version, .Requested = Requested};
    this->Evacuations.applyChanges({&Row, 1}, this->Clock.now());
  }
  void runFor(milliseconds Time) {
    this->Context.restart();
    this->Context.run_for(Time);
  }
  void start() {
    spawn(this->Context.get_executor(), "vms",
          [this] { return this->Coordinator->run(); });
  }
  void stop() {
    this->Coordinator->stop();
    this->runFor(milliseconds(1000));
  }
};

} // namespace

TEST_CASE("VMs of an evacuated zone are not moved to a pool in need") {
  // They would count as its capacity, although nothing may be started there.
  CoordinatorFixture Site;
  Site.setEvacuated(5, true);
  Site.start();
  Site.runFor(milliseconds(600));
  CHECK(Site.Vms.Moved == std::set{VmId("s3"), VmId("s4")});
  Site.setEvacuated(6, false);
  Site.runFor(milliseconds(600));
  CHECK(Site.Vms.Moved ==
        std::set{VmId("s1"), VmId("s2"), VmId("s3"), VmId("s4")});
  Site.stop();
}

TEST_CASE("a wave takes the VMs of an evacuated zone first") {
  CoordinatorFixture Site;
  // All are on standby: otherwise the wave would take them in this order.
  Site.Vms.Vms.clear();
  for (const char *Id : {"v1", "v2", "v3"})
    Site.addVm(Id, PoolId("standby"), std::string(Id) == "v3" ? Zone1 : Zone2);
  Site.setEvacuated(5, true);
  Site.Coordinator->addWaves({{.Number = 1,
                               .Vms = {VmId("v1"), VmId("v2"), VmId("v3")},
                               .Period = seconds(600),
                               .MaxConcurrent = 1}});
  Site.start();
  Site.runFor(milliseconds(900));
  REQUIRE_FALSE(Site.Vms.TakenDown.empty());
  CHECK(Site.Vms.TakenDown[0] == VmId("v3"));
  Site.stop();
}

TEST_CASE("a wave is announced as completed only once its VMs are stored as "
          "done") {
  // Guards against a next holder that takes VMs of a completed wave down again:
  // the list of VMs that are done was not stored, or an older one, without an
  // answer, was stored after it.
  CoordinatorFixture Site;
  Site.Vms.Vms.clear();
  for (const char *Id : {"v1", "v2"})
    Site.addVm(Id, PoolId("standby"), Zone1);
  // Rejected: done without a reboot. The second VM is done a round later.
  Site.Vms.MaintenanceOutcomes = {VmCommandOutcome::Rejected,
                                  VmCommandOutcome::NotExecuted,
                                  VmCommandOutcome::Rejected};
  SUBCASE("all writes are answered") {}
  SUBCASE("the first write fails") {
    Site.Store.Faults = {CallFault::None, CallFault::NotDone};
  }
  SUBCASE("the first write is carried out late") {
    Site.Store.Faults = {CallFault::None, CallFault::Late};
  }
  std::string StoredAtCompletion = "not completed";
  const RowKey Key{"waves", epochKey().Partition, "1"};
  Site.Source.OnWaveCompleted = [&] {
    StoredAtCompletion = Site.Store.Rows[Key].Value;
    Site.Store.applyLate();
  };
  Site.Store.Version = Site.Ownership.token();
  Site.Store.Rows[epochKey()] = {epochKey(), "", Site.Ownership.token()};
  Site.Coordinator->addWaves({{.Number = 1,
                               .Vms = {VmId("v1"), VmId("v2")},
                               .Period = seconds(600),
                               .MaxConcurrent = 2}});
  Site.start();
  Site.runFor(milliseconds(2500));
  CHECK(StoredAtCompletion == "v1\nv2\n");
  CHECK(Site.Store.Rows[Key].Value == "v1\nv2\n");
  CHECK_FALSE(Site.Ownership.isLost());
  Site.stop();
}
