#include "daemonimpl.h"

#include <csignal>
#include <fstream>

namespace sardinerill {

namespace asio = boost::asio;

namespace {

constexpr Duration DispatchInterval = milliseconds(25);
constexpr Duration EscrowInterval = milliseconds(100);
constexpr Duration GossipInterval = seconds(1);
constexpr Duration FleetPollInterval = seconds(5);
constexpr Duration RosterPollInterval = seconds(60);
/// A VM counts as removed after it is missing from two polls.
constexpr Duration VmListPollInterval = seconds(4);
constexpr Duration MaintenanceInterval = milliseconds(50);
constexpr Duration GrantRecoveryInterval = seconds(2);
constexpr Duration JobTickInterval = milliseconds(100);
constexpr Duration JobAdoptionInterval = seconds(30);

std::string readSecret(const std::string &Path) {
  std::ifstream Stream(Path);
  std::string Text;
  std::getline(Stream, Text);
  return Text;
}

std::vector<ResourceLimit> resourceLimitsOf(const Fleet &Current) {
  std::vector<ResourceLimit> Limits;
  for (const auto &[Id, Team] : Current.Teams)
    Limits.push_back({resourceOf(Id), Team.Ceiling, Team.CeilingVersion});
  for (const auto &[Id, Vm] : Current.Vms) {
    const Pool &VmPool = Current.Pools.at(Vm.Pool);
    Limits.push_back({resourceOf(Id), VmPool.SlotsPerVm,
                      std::max(VmPool.SlotsVersion, Vm.PoolVersion)});
  }
  return Limits;
}

} // namespace

void DaemonApp::Impl::build() {
  // The incarnation must be final before the daemon contacts its peers. If the
  // platform is unavailable, the wall clock time is kept as the incarnation. It
  // is assumed to be larger than at earlier starts, which is wrong if the clock
  // was set back.
  Result<std::uint64_t> Incarnation =
      registerDaemon(this->Platform, this->OwnIdentity, this->OwnEndpoint);
  if (Incarnation) {
    this->OwnIdentity.Incarnation = *Incarnation;
    this->Registered = true;
  }
  this->Members = std::make_unique<Membership>(
      makeDaemonId(this->OwnIdentity), this->OwnEndpoint, GossipOptions{});
  PeerCodec Codec(readSecret(this->Config.PeersSecretFile));
  this->Transport = std::make_unique<PeerTransport>(
      this->Loop, *this->Members, std::move(Codec), this->Stats);
  this->LoanSender = std::make_unique<LoanMessageSender>(
      *this->Transport, *this->Members, this->Clock);
  this->buildDispatch();
  this->buildEndpoints();
}

void DaemonApp::Impl::buildDispatch() {
  this->Escrow = std::make_unique<EscrowAgent>(
      EscrowAgentOptions{.Self = this->Members->self(), .Times = {}},
      this->Platform, this->Background, *this->LoanSender,
      this->PlatformLimiter, this->Clock, this->Stats);
  this->Upstreams = std::make_unique<HttpUpstreams>(this->Loop);
  this->Claims = std::make_unique<TableClaims>(this->Platform, this->Background,
                                               this->PlatformLimiter,
                                               this->Clock, this->Stats);
  this->DispatcherFleetView =
      std::make_unique<MembershipFleetView>(*this->Members);
  const DispatcherOptions Options{.Zone = this->OwnEndpoint.Zone,
                                  .QueueLimit = this->Config.QueueLimit,
                                  .MaxHeldBytes = this->Config.MaxHeldBytes,
                                  .KeyGrace = this->Config.KeyGracePeriod,
                                  .Seed = this->OwnIdentity.Incarnation};
  this->WorkDispatcher = std::make_unique<Dispatcher>(
      Options, *this->Escrow, *this->Upstreams, *this->Claims,
      *this->DispatcherFleetView, this->Clock, this->Stats);
  this->Escrow->setAvailabilityHandler([this](const ResourceId &Resource) {
    this->WorkDispatcher->resourceChanged(Resource);
  });
  this->JobContext = std::make_unique<JobEnvironment>(
      *this->WorkDispatcher, *this->Members, this->RemovedVms);
  this->Jobs = std::make_unique<JobService>(JobServiceDependencies{
      this->Members->self(), this->Platform, this->Background,
      *this->WorkDispatcher, *this->JobContext, this->PlatformLimiter,
      this->Clock, this->Stats});
  this->Replica = std::make_unique<FleetReplica>(
      this->Platform, this->Background, *this->Transport, *this->Members,
      this->PlatformLimiter, this->Clock, this->Stats);
  this->Replica->setVersionAppliedHandler(
      [this](const std::shared_ptr<const Fleet> &Newest) {
        this->applyFleet(Newest);
      });
  this->VmObserver =
      std::make_unique<DispatcherVmObserver>(*this->WorkDispatcher);
  this->Maintenance = std::make_unique<MaintenanceController>(
      this->Platform, this->Background, *this->Replica, *this->Members,
      *this->VmObserver, this->PlatformLimiter, this->Clock, this->Stats);
  this->Router = std::make_unique<PeerRouter>(*this->Transport, *this->Members,
                                              *this->Replica, *this->Escrow,
                                              *this->Maintenance, this->Clock);
  this->Transport->setHandler(
      [this](const DaemonId &From, const PeerMessage &Message) {
        this->Router->route(From, Message);
      });
}

void DaemonApp::Impl::buildEndpoints() {
  std::string BootstrapKey;
  if (!this->Config.BootstrapKeyFile.empty())
    BootstrapKey = readSecret(this->Config.BootstrapKeyFile);
  auto Deregister = [this](const DaemonId &Removed) {
    this->Background.run(
        [this, Removed] {
          (void)deregisterDaemon(this->Platform, parseDaemonId(Removed));
        },
        [] {});
  };
  auto Post = [this](std::function<void()> Callback) {
    asio::post(this->Loop, std::move(Callback));
  };
  this->OperatorService = std::make_unique<OperatorRequestHandler>(
      OperatorRequestHandlerDependencies{*this->Replica, *this->WorkDispatcher,
                                         *this->Members, *this->Maintenance,
                                         this->Stats, this->Clock, BootstrapKey,
                                         Deregister, Post});
  this->OperatorApi = std::make_unique<OperatorServer>(
      OperatorServerOptions{
          .Address = this->Config.OperatorsAddress,
          .Port = static_cast<unsigned short>(this->Config.OperatorsPort)},
      *this->OperatorService);
  this->CallerApi = std::make_unique<CallerServer>(
      this->Loop,
      CallerServerOptions{
          .Address = this->Config.CallersAddress,
          .Port = static_cast<unsigned short>(this->Config.CallersPort),
          .MaxHeaderBytes = this->Config.MaxHeaderBytes,
          .MaxBodyBytes = this->Config.MaxBodyBytes,
          .MaxConnections = this->Config.MaxConnections,
          .RequestTimeout = this->Config.RequestTimeout,
          .IdleTimeout = this->Config.IdleTimeout},
      *this->WorkDispatcher, *this->Jobs, [this] { return this->isReady(); },
      this->Stats);
}

std::string DaemonApp::Impl::openEndpoints() {
  if (std::string Failure = this->Transport->listen(
          this->Config.PeersAddress,
          static_cast<unsigned short>(this->Config.PeersPort));
      !Failure.empty())
    return "peers: " + Failure;
  if (std::string Failure = this->OperatorApi->start(); !Failure.empty())
    return "operators: " + Failure;
  if (std::string Failure = this->CallerApi->start(); !Failure.empty())
    return "callers: " + Failure;
  return "";
}

void DaemonApp::Impl::startTimer(Duration Interval,
                                 std::function<void()> Callback) {
  this->Timers.push_back(std::make_unique<PeriodicTimer>(this->Loop, Interval,
                                                         std::move(Callback)));
}

void DaemonApp::Impl::startTimers() {
  this->startTimer(DispatchInterval, [this] {
    this->WorkDispatcher->tick();
    if (this->WorkDispatcher->drainingVmsWithWork() !=
        this->LastPushedDrainingVms)
      this->pushDrainReport();
  });
  this->startTimer(EscrowInterval, [this] { this->Escrow->tick(); });
  this->startTimer(GossipInterval, [this] { this->gossip(); });
  this->startTimer(FleetPollInterval, [this] { this->Replica->poll(); });
  this->startTimer(RosterPollInterval, [this] { this->pollRoster(); });
  this->startTimer(VmListPollInterval, [this] { this->pollVmList(); });
  this->startTimer(MaintenanceInterval, [this] {
    if (!this->Stopping)
      this->Maintenance->tick();
  });
  this->startTimer(GrantRecoveryInterval, [this] { this->inheritGrants(); });
  this->startTimer(JobTickInterval, [this] { this->Jobs->tick(); });
  this->startTimer(JobAdoptionInterval,
                   [this] { this->Jobs->takeOverOrphanedJobs(); });
  this->Replica->poll();
  this->pollRoster();
  this->pollVmList();
}

void DaemonApp::Impl::applyFleet(const std::shared_ptr<const Fleet> &Newest) {
  this->Escrow->setLimits(resourceLimitsOf(*Newest), Newest->Version,
                          escrowTimeLimitsOf(*Newest));
  this->WorkDispatcher->setFleet(Newest);
  this->Members->setDrainingVmsWithWork(
      this->WorkDispatcher->drainingVmsWithWork());
  if (!this->GrantsRecovered)
    this->inheritGrants();
  const bool HasDrainingVm = std::any_of(
      Newest->Vms.begin(), Newest->Vms.end(), [](const auto &Entry) {
        return Entry.second.State == VmState::Draining;
      });
  // Posted, so that it runs after the replica has made the version current.
  // Peers may wait for a drain to finish; other changes only concern the local
  // maintenance controller.
  if (HasDrainingVm)
    asio::post(this->Loop, [this] { this->pushDrainReport(); });
  else
    asio::post(this->Loop, [this] { this->Maintenance->startRoundNow(); });
}

bool DaemonApp::Impl::isReady() const {
  return this->Replica->current() != nullptr && !this->Stopping;
}

void DaemonApp::Impl::watchSignals() {
  this->Signals.emplace(this->Loop, SIGTERM, SIGINT, SIGHUP);
  this->Signals->async_wait(
      [this](const boost::system::error_code &ErrorCode, int Signal) {
        if (ErrorCode)
          return;
        // SIGHUP switches between the configured level and debug.
        if (Signal == SIGHUP) {
          const bool IsDebug = currentLogLevel() == LogLevel::Debug;
          setLogLevel(IsDebug ? this->Config.Level : LogLevel::Debug);
        } else {
          this->beginShutdown();
        }
        this->watchSignals();
      });
}

DaemonApp::DaemonApp(Settings Config)
    : Implementation(std::make_unique<Impl>(std::move(Config))) {}

DaemonApp::~DaemonApp() = default;

int DaemonApp::run() {
  Impl &App = *this->Implementation;
  App.build();
  if (std::string Failure = App.openEndpoints(); !Failure.empty()) {
    logEvent(LogLevel::Error, "door.failed", {{"detail", Failure}});
    App.OperatorApi->stop();
    App.Background.stop();
    return 1;
  }
  App.watchSignals();
  App.startTimers();
  logEvent(LogLevel::Info, "daemon.started",
           {{"daemon", App.Members->self().str()}, {"zone", App.Config.Zone}});
  App.Loop.run();
  App.OperatorApi->stop();
  App.Background.stop();
  return App.ExitCode;
}

} // namespace sardinerill
