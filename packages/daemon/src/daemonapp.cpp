#include "sardinerill/daemon/daemonapp.h"

#include "background.h"
#include "gonevms.h"
#include "peerrouter.h"
#include "periodic.h"
#include "sardinerill/control/maintenanceduty.h"
#include "sardinerill/control/operations.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/dispatch/httpupstreams.h"
#include "sardinerill/gateway/callerdoor.h"
#include "sardinerill/platform/httpplatform.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <optional>

namespace sardinerill {

namespace asio = boost::asio;

namespace {

constexpr Duration DispatchTick = milliseconds(25);
constexpr Duration EscrowTick = milliseconds(100);
constexpr Duration GossipTick = seconds(1);
constexpr Duration FleetPoll = seconds(3);
constexpr Duration RosterPoll = seconds(30);
constexpr Duration VmListPoll = seconds(4);
constexpr Duration MaintenanceTick = milliseconds(50);
constexpr Duration RecoverTick = seconds(2);
constexpr Duration StopTick = milliseconds(50);
constexpr Duration PauseMargin = seconds(5);
/// Handing units on at a planned stop may not hold the stop up for longer.
constexpr Duration GiveBackTimeout = seconds(3);

std::string readSecret(const std::string &Path) {
  std::ifstream Stream(Path);
  std::string Text;
  std::getline(Stream, Text);
  return Text;
}

std::uint64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now).count());
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

EscrowTimes escrowTimesOf(const Fleet &Current) {
  EscrowTimes Times;
  Times.MaxRun = longestRun(Current);
  Times.PauseMargin = PauseMargin;
  return Times;
}

/// What the dispatcher asks of the other daemons.
class FleetView : public IFleetView {
public:
  explicit FleetView(const Membership &Members) : Members(Members) {}
  Instant freshSince() const override { return this->Members.freshSince(); }
  unsigned runningElsewhere(const PoolId &Pool,
                            const TeamId &Team) const override {
    return this->Members.runningElsewhere(Pool, Team);
  }

private:
  const Membership &Members;
};

/// What the maintenance duty asks of the dispatcher.
class MaintenanceView : public IMaintenanceView {
public:
  explicit MaintenanceView(const Dispatcher &Work) : Work(Work) {}
  bool isSuspected(const VmId &Vm) const override {
    return this->Work.isEjected(Vm);
  }
  unsigned runningOn(const VmId &Vm) const override {
    return this->Work.runningOn(Vm);
  }

private:
  const Dispatcher &Work;
};

} // namespace

/// Every module, in the order they need each other.
struct DaemonApp::Parts {
  Settings Wanted;
  asio::io_context Loop;
  SteadyClock Clock;
  Metrics Figures;
  HttpPlatform Platform;
  PlatformGate Gate;
  ThreadBackground Background{Loop};
  Contact Where;
  DaemonName Name;
  std::unique_ptr<Membership> Members;
  std::unique_ptr<PeerHub> Hub;
  std::unique_ptr<LoanPeers> Loans;
  std::unique_ptr<EscrowAgent> Escrow;
  std::unique_ptr<HttpUpstreams> Upstreams;
  std::unique_ptr<TableClaims> Claims;
  std::unique_ptr<FleetView> View;
  std::unique_ptr<Dispatcher> Work;
  std::unique_ptr<FleetKeeper> Keeper;
  std::unique_ptr<MaintenanceView> MaintenanceSight;
  std::unique_ptr<MaintenanceDuty> Maintenance;
  std::unique_ptr<PeerRouter> Router;
  std::unique_ptr<Operations> Operator;
  std::unique_ptr<OperatorDoor> OperatorEntry;
  std::unique_ptr<CallerDoor> CallerEntry;
  std::vector<std::unique_ptr<Periodic>> Timers;
  std::optional<asio::signal_set> Signals;
  GoneVms Gone;
  bool Registered = false;
  bool Recovered = false;
  bool ReadingRoster = false;
  bool ReadingVmList = false;
  std::vector<VmId> ReportedBusy;
  bool Stopping = false;
  bool DoorClosed = false;
  bool GivingBack = false;
  bool Finishing = false;
  Instant StopBegan{};
  Instant GiveBackBegan{};
  int ExitCode = 0;

  explicit Parts(Settings Given)
      : Wanted(std::move(Given)),
        Platform({Wanted.PlatformAddress,
                  static_cast<unsigned short>(Wanted.PlatformPort),
                  Wanted.PlatformTimeout}),
        Gate(Wanted.PlatformCallsPerSecond, wallClockMs()),
        Where{ZoneId(Wanted.Zone), Wanted.PeersAddress,
              static_cast<unsigned short>(Wanted.PeersPort)},
        Name{Wanted.Vm, wallClockMs()} {}

  void build();
  void buildWork();
  void buildDoors();
  std::string openDoors();
  void startTimers();
  void every(Duration Interval, std::function<void()> Do);
  void adopt(const std::shared_ptr<const Fleet> &Newest);
  void gossip();
  void readRosterRows();
  void readVmList();
  void pushDrainReport();
  void takeVmList(const std::vector<VmListEntry> &Vms);
  void reclaim(const DaemonId &Gone);
  void recover();
  bool isReady() const;
  void watchSignals();
  void beginStop();
  void continueStop();
  void finishStop();
};

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
      *this->Work, [this] { return this->isReady(); }, this->Figures);
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

void DaemonApp::Parts::gossip() {
  std::vector<TeamRunning> Loads;
  for (const LocalLoad &Load : this->Work->loads())
    Loads.push_back(TeamRunning{Load.Pool, Load.Team, Load.Running});
  this->Members->setLoads(std::move(Loads));
  this->Members->setBusyDraining(this->Work->busyDraining());
  static thread_local std::mt19937_64 Random(wallClockMs());
  if (auto Out = this->Members->tick(this->Clock.now(), Random))
    this->Hub->send(Out->To, Out->Message);
}

/// Peers that wait for a drain hear of its end at once, not by gossip.
void DaemonApp::Parts::pushDrainReport() {
  this->ReportedBusy = this->Work->busyDraining();
  this->Members->setBusyDraining(this->ReportedBusy);
  const ReportPush Report = this->Members->pushReport(this->Clock.now());
  for (const auto &[Id, Other] : this->Members->members())
    this->Hub->send(Id, Report);
  this->Maintenance->kick();
}

void DaemonApp::Parts::readRosterRows() {
  if (this->ReadingRoster ||
      !this->Gate.allow(CallPriority::Normal, this->Clock.now()))
    return;
  this->ReadingRoster = true;
  const bool Register = !this->Registered && !this->Stopping;
  using Roster = Result<std::map<DaemonId, Contact>>;
  runFor<Roster>(
      this->Background,
      [this, Register] {
        if (Register)
          (void)registerDaemon(this->Platform, this->Name, this->Where);
        return readRoster(this->Platform);
      },
      [this](Roster Read) {
        this->ReadingRoster = false;
        if (!Read)
          return;
        this->Registered = Read->contains(this->Members->self());
        this->Members->learnRoster(*Read, this->Clock.now());
      });
}

void DaemonApp::Parts::readVmList() {
  if (this->ReadingVmList ||
      !this->Gate.allow(CallPriority::Normal, this->Clock.now()))
    return;
  this->ReadingVmList = true;
  using List = Result<std::vector<VmListEntry>>;
  runFor<List>(
      this->Background, [this] { return this->Platform.listVms(); },
      [this](List Read) {
        this->ReadingVmList = false;
        if (Read && !Read->empty())
          this->takeVmList(*Read);
      });
}

void DaemonApp::Parts::takeVmList(const std::vector<VmListEntry> &Vms) {
  std::set<VmId> Live;
  for (const VmListEntry &Entry : Vms)
    if (Entry.State == VmListState::Live)
      Live.insert(Entry.Vm);
  std::set<VmId> Leaving;
  const std::shared_ptr<const Fleet> Current = this->Keeper->current();
  if (Current)
    for (const auto &[Id, Vm] : Current->Vms)
      if (!Live.contains(Id))
        Leaving.insert(Id);
  this->Work->setLeaving(std::move(Leaving));
  std::vector<DaemonId> Known;
  for (const auto &[Id, Other] : this->Members->members())
    Known.push_back(Id);
  const Instant Now = this->Clock.now();
  for (const DaemonId &Id : this->Gone.update(Vms, Known, Now)) {
    logEvent(LogLevel::Warning, "member.gone", {{"daemon", Id.str()}});
    this->Members->forget(Id);
  }
  if (!Current)
    return;
  const Duration Settle = escrowTimesOf(*Current).settleTime();
  for (const DaemonId &Id : this->Gone.takeSettled(Now, Settle))
    this->reclaim(Id);
}

void DaemonApp::Parts::reclaim(const DaemonId &Lost) {
  runFor<Result<unsigned>>(
      this->Background,
      [this, Lost] { return reclaimAll(this->Platform, Lost); },
      [this, Lost](Result<unsigned> Units) {
        if (!Units) {
          this->Gone.retry(Lost, this->Clock.now());
          return;
        }
        logEvent(LogLevel::Info, "units.reclaimed",
                 {{"daemon", Lost.str()}, {"units", std::to_string(*Units)}});
      });
}

void DaemonApp::Parts::recover() {
  if (this->Recovered || !this->Keeper->current())
    return;
  const DaemonId Self = this->Members->self();
  this->Escrow->recover(
      [Self, Vm = this->Name.Vm](const DaemonId &Holder) {
        return Holder != Self && daemonNameOf(Holder).Vm == Vm;
      },
      [this](bool Done) { this->Recovered = this->Recovered || Done; });
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

void DaemonApp::Parts::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->StopBegan = this->Clock.now();
  logEvent(LogLevel::Info, "daemon.stopping",
           {{"inHand", std::to_string(this->Work->inHand())}});
  this->Maintenance->release([] {});
  this->every(StopTick, [this] { this->continueStop(); });
}

void DaemonApp::Parts::continueStop() {
  const Instant Now = this->Clock.now();
  const Duration Passed = Now - this->StopBegan;
  if (Passed < this->Wanted.NotReadyFor)
    return;
  if (!this->DoorClosed) {
    this->CallerEntry->beginDrain();
    this->DoorClosed = true;
  }
  const bool Empty = this->CallerEntry->isEmpty() && this->Work->isIdle();
  const bool TimedOut = Passed > this->Wanted.DrainTimeout;
  if (!Empty && !TimedOut)
    return;
  if (!this->GivingBack) {
    this->GivingBack = true;
    this->GiveBackBegan = Now;
    this->ExitCode = Empty ? 0 : 1;
    this->Escrow->beginGiveBack();
  }
  if (this->Escrow->holdsNothing() ||
      Now - this->GiveBackBegan > GiveBackTimeout)
    this->finishStop();
}

void DaemonApp::Parts::finishStop() {
  if (std::exchange(this->Finishing, true))
    return;
  this->Background.run([this] { (void)signOff(this->Platform, this->Name); },
                       [this] {
                         logEvent(LogLevel::Info, "daemon.stopped");
                         for (auto &Timer : this->Timers)
                           Timer->stop();
                         this->Hub->stop();
                         this->Loop.stop();
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
