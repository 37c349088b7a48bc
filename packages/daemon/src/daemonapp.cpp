#include "daemonparts.h"

#include <csignal>
#include <fstream>

namespace sardinerill {

namespace asio = boost::asio;

namespace {

constexpr Duration DispatchTick = milliseconds(25);
constexpr Duration EscrowTick = milliseconds(100);
constexpr Duration GossipTick = seconds(1);
constexpr Duration FleetPoll = seconds(5);
constexpr Duration RosterPoll = seconds(60);
constexpr Duration VmListPoll = seconds(4);
constexpr Duration MaintenanceTick = milliseconds(50);
constexpr Duration RecoverTick = seconds(2);
constexpr Duration JobsTick = milliseconds(100);
constexpr Duration JobsAdopt = seconds(30);

std::string readSecret(const std::string &Path) {
  std::ifstream Stream(Path);
  std::string Text;
  std::getline(Stream, Text);
  return Text;
}

std::vector<ResourceLimit> limitsOf(const Fleet &Current) {
  std::vector<ResourceLimit> Limits;
  for (const auto &[Id, Team] : Current.Teams)
    Limits.push_back({resourceOf(Id), Team.Ceiling, Team.CeilingVersion});
  for (const auto &[Id, Vm] : Current.Vms) {
    const Pool &Home = Current.Pools.at(Vm.Pool);
    Limits.push_back({resourceOf(Id), Home.SlotsPerVm,
                      std::max(Home.SlotsVersion, Vm.PoolVersion)});
  }
  return Limits;
}

} // namespace

void DaemonApp::Parts::build() {
  // The incarnation is settled before anyone hears of this daemon. Without the
  // platform the clock's is used, which grows as well.
  Result<std::uint64_t> Incarnation =
      registerDaemon(this->Platform, this->Name, this->Where);
  if (Incarnation) {
    this->Name.Incarnation = *Incarnation;
    this->Registered = true;
  }
  this->Members = std::make_unique<Membership>(daemonIdOf(this->Name),
                                               this->Where, GossipOptions{});
  PeerCodec Codec(readSecret(this->Wanted.PeersSecretFile));
  this->Hub = std::make_unique<PeerHub>(this->Loop, *this->Members,
                                        std::move(Codec), this->Figures);
  this->Loans =
      std::make_unique<LoanPeers>(*this->Hub, *this->Members, this->Clock);
  this->buildWork();
  this->buildDoors();
}

void DaemonApp::Parts::buildWork() {
  this->Escrow = std::make_unique<EscrowAgent>(
      EscrowAgentOptions{.Self = this->Members->self(), .Times = {}},
      this->Platform, this->Background, *this->Loans, this->Gate, this->Clock,
      this->Figures);
  this->Upstreams = std::make_unique<HttpUpstreams>(this->Loop);
  this->Claims = std::make_unique<TableClaims>(
      this->Platform, this->Background, this->Gate, this->Clock, this->Figures);
  this->View = std::make_unique<FleetView>(*this->Members);
  const DispatcherOptions Options{.Zone = this->Where.Zone,
                                  .QueueLimit = this->Wanted.QueueLimit,
                                  .MaxHeldBytes = this->Wanted.MaxHeldBytes,
                                  .KeyGrace = this->Wanted.ServeKeysFor,
                                  .Seed = this->Name.Incarnation};
  this->Work = std::make_unique<Dispatcher>(
      Options, *this->Escrow, *this->Upstreams, *this->Claims, *this->View,
      this->Clock, this->Figures);
  this->Escrow->setChanged([this](const ResourceId &Resource) {
    this->Work->resourceChanged(Resource);
  });
  this->JobsAround = std::make_unique<JobSurroundings>(
      *this->Work, *this->Members, this->Gone);
  this->Jobs = std::make_unique<JobService>(JobServiceParts{
      this->Members->self(), this->Platform, this->Background, *this->Work,
      *this->JobsAround, this->Gate, this->Clock, this->Figures});
  this->Keeper = std::make_unique<FleetKeeper>(
      this->Platform, this->Background, *this->Hub, *this->Members, this->Gate,
      this->Clock, this->Figures);
  this->Keeper->setAdopted([this](const std::shared_ptr<const Fleet> &Newest) {
    this->adopt(Newest);
  });
  this->MaintenanceSight = std::make_unique<MaintenanceView>(*this->Work);
  this->Maintenance = std::make_unique<MaintenanceDuty>(
      this->Platform, this->Background, *this->Keeper, *this->Members,
      *this->MaintenanceSight, this->Gate, this->Clock, this->Figures);
  this->Router = std::make_unique<PeerRouter>(*this->Hub, *this->Members,
                                              *this->Keeper, *this->Escrow,
                                              *this->Maintenance, this->Clock);
  this->Hub->setHandler(
      [this](const DaemonId &From, const PeerMessage &Message) {
        this->Router->route(From, Message);
      });
}

void DaemonApp::Parts::buildDoors() {
  std::string BootstrapKey;
  if (!this->Wanted.BootstrapKeyFile.empty())
    BootstrapKey = readSecret(this->Wanted.BootstrapKeyFile);
  auto SignOff = [this](const DaemonId &Lost) {
    this->Background.run(
        [this, Lost] { (void)signOff(this->Platform, daemonNameOf(Lost)); },
        [] {});
  };
  auto Post = [this](std::function<void()> Do) {
    asio::post(this->Loop, std::move(Do));
  };
  this->Operator = std::make_unique<Operations>(OperationsParts{
      *this->Keeper, *this->Work, *this->Members, *this->Maintenance,
      this->Figures, this->Clock, BootstrapKey, SignOff, Post});
  this->OperatorEntry = std::make_unique<OperatorDoor>(
      OperatorDoorOptions{
          .Address = this->Wanted.OperatorsAddress,
          .Port = static_cast<unsigned short>(this->Wanted.OperatorsPort)},
      *this->Operator);
  this->CallerEntry = std::make_unique<CallerDoor>(
      this->Loop,
      CallerDoorOptions{
          .Address = this->Wanted.CallersAddress,
          .Port = static_cast<unsigned short>(this->Wanted.CallersPort),
          .MaxHeaderBytes = this->Wanted.MaxHeaderBytes,
          .MaxBodyBytes = this->Wanted.MaxBodyBytes,
          .MaxConnections = this->Wanted.MaxConnections,
          .RequestTimeout = this->Wanted.HeaderTimeout,
          .IdleTimeout = this->Wanted.IdleTimeout},
      *this->Work, *this->Jobs, [this] { return this->isReady(); },
      this->Figures);
}

std::string DaemonApp::Parts::openDoors() {
  if (std::string Why = this->Hub->listen(
          this->Wanted.PeersAddress,
          static_cast<unsigned short>(this->Wanted.PeersPort));
      !Why.empty())
    return "peers: " + Why;
  if (std::string Why = this->OperatorEntry->open(); !Why.empty())
    return "operators: " + Why;
  if (std::string Why = this->CallerEntry->open(); !Why.empty())
    return "callers: " + Why;
  return "";
}

void DaemonApp::Parts::every(Duration Interval, std::function<void()> Do) {
  this->Timers.push_back(
      std::make_unique<Periodic>(this->Loop, Interval, std::move(Do)));
}

void DaemonApp::Parts::startTimers() {
  this->every(DispatchTick, [this] {
    this->Work->tick();
    if (this->Work->busyDraining() != this->ReportedBusy)
      this->pushDrainReport();
  });
  this->every(EscrowTick, [this] { this->Escrow->tick(); });
  this->every(GossipTick, [this] { this->gossip(); });
  this->every(FleetPoll, [this] { this->Keeper->poll(); });
  this->every(RosterPoll, [this] { this->readRosterRows(); });
  this->every(VmListPoll, [this] { this->readVmList(); });
  this->every(MaintenanceTick, [this] {
    if (!this->Stopping)
      this->Maintenance->tick();
  });
  this->every(RecoverTick, [this] { this->recover(); });
  this->every(JobsTick, [this] { this->Jobs->tick(); });
  this->every(JobsAdopt, [this] { this->Jobs->adopt(); });
  this->Keeper->poll();
  this->readRosterRows();
  this->readVmList();
}

void DaemonApp::Parts::adopt(const std::shared_ptr<const Fleet> &Newest) {
  this->Escrow->setLimits(limitsOf(*Newest), Newest->Version,
                          escrowTimesOf(*Newest));
  this->Work->setFleet(Newest);
  this->Members->setBusyDraining(this->Work->busyDraining());
  if (!this->Recovered)
    this->recover();
  const bool Drains = std::any_of(
      Newest->Vms.begin(), Newest->Vms.end(), [](const auto &Entry) {
        return Entry.second.State == VmState::Draining;
      });
  // After the keeper has put the version in force.
  if (Drains)
    asio::post(this->Loop, [this] { this->pushDrainReport(); });
  else
    asio::post(this->Loop, [this] { this->Maintenance->kick(); });
}

bool DaemonApp::Parts::isReady() const {
  return this->Keeper->current() != nullptr && !this->Stopping;
}

void DaemonApp::Parts::watchSignals() {
  this->Signals.emplace(this->Loop, SIGTERM, SIGINT, SIGHUP);
  this->Signals->async_wait(
      [this](const boost::system::error_code &Failed, int Signal) {
        if (Failed)
          return;
        if (Signal == SIGHUP) {
          const bool IsDebug = currentLogLevel() == LogLevel::Debug;
          setLogLevel(IsDebug ? this->Wanted.Level : LogLevel::Debug);
        } else {
          this->beginStop();
        }
        this->watchSignals();
      });
}

DaemonApp::DaemonApp(Settings Wanted)
    : Inner(std::make_unique<Parts>(std::move(Wanted))) {}

DaemonApp::~DaemonApp() = default;

int DaemonApp::run() {
  Parts &All = *this->Inner;
  All.build();
  if (std::string Why = All.openDoors(); !Why.empty()) {
    logEvent(LogLevel::Error, "door.failed", {{"detail", Why}});
    All.OperatorEntry->close();
    All.Background.stop();
    return 1;
  }
  All.watchSignals();
  All.startTimers();
  logEvent(LogLevel::Info, "daemon.started",
           {{"daemon", All.Members->self().str()}, {"zone", All.Wanted.Zone}});
  All.Loop.run();
  All.OperatorEntry->close();
  All.Background.stop();
  return All.ExitCode;
}

} // namespace sardinerill
