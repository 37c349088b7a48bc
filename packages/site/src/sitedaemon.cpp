#include "sardinerill/site/sitedaemon.h"

#include "desk.h"
#include "holder.h"
#include "ownershipkeeper.h"
#include "peerdoor.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/base/text.h"
#include "sardinerill/http/httpserver.h"

#include <algorithm>
#include <csignal>

namespace sardinerill::site {

namespace {

/// Long-poll time for changes of the configuration; well below the 2 s within
/// which a change must be in force.
constexpr milliseconds OperatorWait{1000};
constexpr milliseconds OperatorLimit{800};
constexpr milliseconds RetryPause{150};
/// New calls may still arrive for this long after the stop signal, since the
/// load balancer takes up to two seconds to notice that a daemon is not ready.
constexpr milliseconds ArrivalTime{3500};
/// Part of the grace period reserved for the exit of the process.
constexpr milliseconds StopReserve{700};
/// How long a leaving holder waits for another daemon to claim ownership.
constexpr milliseconds HandOverTime{2500};
constexpr milliseconds HandOverPoll{10};
constexpr milliseconds FlushLimit{300};
constexpr milliseconds PeerNoticeLimit{200};
constexpr milliseconds StopPoll{50};
constexpr std::size_t IncarnationBytes = 8;
constexpr seconds SettingsInterval{5};
/// All daemons of a new site start within 0.3 s of each other, so the second
/// read of their list is complete.
constexpr int LooksOfFirstStart = 2;

} // namespace

struct SiteDaemon::State {
  State(boost::asio::io_context &Context, SiteSettings Given,
        SitePlatform GivenPlatform, std::unique_ptr<Metrics> Figures);

  void start();
  Async<void> followOperator();
  void take(const OperatorView &View);
  void startHolding(const Succession &From);
  void stopHolding();
  bool holds() const;
  Async<HttpResponse> answerCaller(HttpRequest Request);
  Async<HttpResponse> answerReadiness();
  Async<void> stopAsPlanned();
  Async<void> handOver(Instant Began);
  void tellPeersOfRelease();
  void waitForSignal();
  void reload();
  Async<void> watchSettings();
  PeerDoorParts peerDoorParts();
  DeskParts deskParts();
  HolderParts holderParts();

  boost::asio::io_context &Context;
  BootClock Clock;
  std::unique_ptr<Metrics> Figures;
  SiteSettings Settings;
  SitePlatform Platform;
  std::string Incarnation;
  JobTable Jobs;
  PeerDirectory Directory;
  OwnershipKeeper Keeper;
  Desk Callers;
  std::shared_ptr<Holder> Holding;
  std::optional<SiteConfiguration> Configuration;
  std::vector<MaintenanceWave> Waves;
  bool Stopping = false;
  boost::asio::signal_set Signals;
  PeerDoorParts Peers;
  std::unique_ptr<HttpServer> CallerDoor;
  std::unique_ptr<HttpServer> ReadinessDoor;
  std::unique_ptr<HttpServer> PeerDoor;
};

SiteDaemon::State::State(boost::asio::io_context &Context, SiteSettings Given,
                         SitePlatform GivenPlatform,
                         std::unique_ptr<Metrics> GivenFigures)
    : Context(Context), Figures(std::move(GivenFigures)),
      Settings(std::move(Given)), Platform(std::move(GivenPlatform)),
      Incarnation(randomHex(IncarnationBytes)),
      Jobs(Context.get_executor(), *this->Platform.Store, this->Clock,
           *this->Figures),
      Directory(*this->Platform.Store, this->Settings.Name,
                this->Settings.PeerDoor, this->Settings.Strength,
                this->Settings.FirstStart ? LooksOfFirstStart : 1),
      Keeper(
          this->holderParts(), this->Incarnation,
          [this](const Succession &From) { this->startHolding(From); },
          [this] { this->stopHolding(); }),
      Callers(this->deskParts()), Signals(Context, SIGTERM, SIGINT, SIGHUP),
      Peers(this->peerDoorParts()) {
  this->Keeper.setOutranked(
      [this] { return this->Directory.mayBeOutranked(); });
}

HolderParts SiteDaemon::State::holderParts() {
  return {.Executor = this->Context.get_executor(),
          .Clock = this->Clock,
          .Store = *this->Platform.Store,
          .Source = *this->Platform.Source,
          .Upstreams = *this->Platform.Upstreams,
          .Vms = *this->Platform.Vms,
          .Advisor = this->Platform.Advisor.get(),
          .Jobs = this->Jobs,
          .Figures = *this->Figures,
          .Settings = this->Settings};
}

DeskParts SiteDaemon::State::deskParts() {
  return {.Executor = this->Context.get_executor(),
          .Clock = this->Clock,
          .Jobs = this->Jobs,
          .Figures = *this->Figures,
          .DecodeJob = this->Platform.DecodeJob,
          .Configuration =
              [this] {
                return this->Configuration ? &*this->Configuration : nullptr;
              },
          .OwnState = [this](const JobId &Job) -> std::optional<JobState> {
            return this->holds() ? this->Holding->stateOf(Job) : std::nullopt;
          },
          .OwnPending = [this](const QueueId &Queue) -> std::optional<int> {
            if (!this->holds())
              return std::nullopt;
            return this->Holding->pendingJobs(Queue);
          },
          .TellOwn =
              [this](const JobChange &Change) {
                if (!this->Holding)
                  return false;
                this->Holding->hear(Change);
                return true;
              },
          .HolderDoor =
              [this] {
                const OwnershipRow &Row = this->Keeper.row();
                const bool Own = Row.Incarnation == this->Incarnation;
                return Own ? Endpoint() : Endpoint::parse(Row.PeerAddress);
              }};
}

PeerDoorParts SiteDaemon::State::peerDoorParts() {
  return {.Store = *this->Platform.Store,
          .Incarnation = this->Incarnation,
          .Holds = [this] { return this->holds(); },
          .StateOf =
              [this](const JobId &Job) { return this->Holding->stateOf(Job); },
          .PendingJobs =
              [this](const QueueId &Queue) {
                return this->Holding->pendingJobs(Queue);
              },
          .Hear =
              [this](const JobChange &Change) {
                if (this->Holding)
                  this->Holding->hear(Change);
              },
          .OwnershipReleased = [this] { this->Keeper.lookNow(); },
          .Figures = [this] { return this->Figures->renderPrometheus(); }};
}

bool SiteDaemon::State::holds() const {
  return this->Holding && this->Holding->ready() &&
         this->Holding->ownership().mayOrder(this->Clock.now());
}

void SiteDaemon::State::startHolding(const Succession &From) {
  this->Holding =
      std::make_shared<Holder>(this->holderParts(), OwnershipTimes{}, From);
  this->Keeper.attach(&this->Holding->ownership());
  if (this->Configuration)
    this->Holding->configure(*this->Configuration);
  this->Holding->addWaves(this->Waves);
  this->Holding->run();
}

void SiteDaemon::State::stopHolding() {
  if (!this->Holding)
    return;
  this->Holding->stop();
  this->Holding = nullptr; // Its coroutines keep it alive until they end.
}

void SiteDaemon::State::take(const OperatorView &View) {
  for (const MaintenanceWave &Wave : View.Waves) {
    const auto Same = [&](const MaintenanceWave &Known) {
      return Known.Number == Wave.Number;
    };
    std::erase_if(this->Waves, Same);
    this->Waves.push_back(Wave);
  }
  if (this->Holding && !View.Waves.empty())
    this->Holding->addWaves(View.Waves);
  if (!View.Configuration ||
      (this->Configuration &&
       View.Configuration->Version <= this->Configuration->Version))
    return;
  this->Configuration = View.Configuration;
  logEvent(LogLevel::Info, "configuration.in_force",
           {{"version", std::to_string(this->Configuration->Version)},
            {"queues", std::to_string(this->Configuration->Queues.size())}});
  const CallerLimits &Limits = this->Configuration->Limits;
  this->CallerDoor->setLimits({.HeaderBytes = Limits.HeaderBytes,
                               .BodyBytes = Limits.BodyBytes,
                               .HeaderTimeout = Limits.HeaderTimeout,
                               .IdleTimeout = Limits.IdleTimeout});
  if (this->Holding)
    this->Holding->configure(*this->Configuration);
}

Async<void> SiteDaemon::State::followOperator() {
  std::int64_t Version = -1;
  while (true) {
    const bool First = Version < 0;
    const auto View =
        First ? co_await this->Platform.Source->readOperator(OperatorLimit)
              : co_await this->Platform.Source->operatorChanges(Version,
                                                                OperatorWait);
    if (View) {
      this->take(*View);
      Version = std::max(Version, View->Version);
      // Without a configuration there is nothing to long-poll for yet; reading
      // again is cheap enough.
      if (First && !this->Configuration)
        co_await pauseFor(RetryPause);
      continue;
    }
    if (View.error().Kind == ErrorKind::PlatformHistoryGone)
      Version = -1;
    co_await pauseFor(RetryPause);
  }
}

Async<HttpResponse> SiteDaemon::State::answerCaller(HttpRequest Request) {
  const Result<CallerReply> Reply =
      co_await this->Callers.handle(this->Platform.DecodeCall(Request));
  co_return this->Platform.EncodeAnswer(Reply);
}

Async<HttpResponse> SiteDaemon::State::answerReadiness() {
  // Without the table no call can be served, so the balancer should send
  // callers to other daemons.
  const bool Ready = !this->Stopping && this->Configuration &&
                     this->Platform.Store->reachable();
  co_return HttpResponse{.Status = Ready ? 200 : 503};
}

void SiteDaemon::State::reload() {
  const Result<SiteSettings> Read = this->Platform.ReloadSettings();
  if (!Read) {
    logEvent(LogLevel::Error, "settings.rejected",
             {{"reason", Read.error().Detail}});
    return;
  }
  if (*Read == this->Settings)
    return;
  // Addresses can't change while the process runs; bounds can.
  this->Settings.Bounds = Read->Bounds;
  this->Settings.StopGrace = Read->StopGrace;
  this->Settings.VmReadsPerSecond = Read->VmReadsPerSecond;
  this->Settings.VmOrdersPerSecond = Read->VmOrdersPerSecond;
  logEvent(LogLevel::Info, "settings.reloaded",
           {{"daemon", this->Settings.Name}});
}

Async<void> SiteDaemon::State::watchSettings() {
  // The file may change without a SIGHUP.
  while (true) {
    co_await pauseFor(SettingsInterval);
    this->reload();
  }
}

void SiteDaemon::State::waitForSignal() {
  this->Signals.async_wait(
      [this](const boost::system::error_code &Fault, int Which) {
        if (Fault)
          return;
        if (Which == SIGHUP)
          this->reload();
        else if (!std::exchange(this->Stopping, true))
          spawn(this->Context.get_executor(), "stop",
                [this] { return this->stopAsPlanned(); });
        this->waitForSignal();
      });
}

void SiteDaemon::State::tellPeersOfRelease() {
  for (const Endpoint &Peer : this->Directory.peers())
    spawn(this->Context.get_executor(), "release-notice",
          [this, Peer]() -> Async<void> {
            HttpClient Client(this->Context.get_executor(), {.Peer = Peer});
            // A peer that misses the notification reads the row soon anyway.
            co_await Client.call(releasedRequest(), PeerNoticeLimit);
          });
}

Async<void> SiteDaemon::State::handOver(Instant Began) {
  this->Keeper.leave();
  bool Told = false;
  // This daemon stays the holder until another one has claimed ownership.
  while (this->Holding && this->Clock.now() < Began + HandOverTime) {
    if (this->Keeper.leaveIsStored() && !std::exchange(Told, true))
      this->tellPeersOfRelease();
    co_await pauseFor(HandOverPoll);
  }
  if (!this->Holding)
    co_return;
  const auto Leaving = this->Holding;
  Leaving->stop();
  co_await Leaving->flush(FlushLimit);
  co_await this->Keeper.release();
  this->Keeper.attach(nullptr);
  this->Holding = nullptr;
  this->tellPeersOfRelease();
}

Async<void> SiteDaemon::State::stopAsPlanned() {
  const Instant Began = this->Clock.now();
  logEvent(LogLevel::Info, "daemon.stopping",
           {{"daemon", this->Settings.Name},
            {"holds", this->Holding ? "yes" : "no"}});
  this->CallerDoor->startDrain();
  co_await this->handOver(Began);
  const Instant Last = Began + this->Settings.StopGrace - StopReserve;
  while (this->Clock.now() < std::min(Began + ArrivalTime, Last))
    co_await pauseFor(StopPoll);
  this->CallerDoor->stopAccepting();
  while (this->CallerDoor->requestsInFlight() > 0 && this->Clock.now() < Last)
    co_await pauseFor(StopPoll);
  logEvent(LogLevel::Info, "daemon.stopped",
           {{"daemon", this->Settings.Name},
            {"cut_off", std::to_string(this->CallerDoor->requestsInFlight())}});
  this->Context.stop();
}

void SiteDaemon::State::start() {
  const auto Executor = this->Context.get_executor();
  logEvent(LogLevel::Info, "daemon.started",
           {{"daemon", this->Settings.Name},
            {"zone", this->Settings.Zone.str()},
            {"incarnation", this->Incarnation}});
  this->CallerDoor = std::make_unique<HttpServer>(
      Executor, this->Settings.CallerDoor, [this](HttpRequest Request) {
        return this->answerCaller(std::move(Request));
      });
  this->ReadinessDoor = std::make_unique<HttpServer>(
      Executor, this->Settings.ReadinessDoor,
      [this](HttpRequest) { return this->answerReadiness(); });
  this->PeerDoor = std::make_unique<HttpServer>(
      Executor, this->Settings.PeerDoor, [this](HttpRequest Request) {
        return answerPeer(this->Peers, std::move(Request));
      });
  this->waitForSignal();
  spawn(Executor, "operator", [this] { return this->followOperator(); });
  spawn(Executor, "settings", [this] { return this->watchSettings(); });
  spawn(Executor, "peers", [this] { return this->Directory.run(); });
  spawn(Executor, "ownership", [this] { return this->Keeper.run(); });
}

SiteDaemon::SiteDaemon(boost::asio::io_context &Context, SiteSettings Settings,
                       SitePlatform Platform, std::unique_ptr<Metrics> Figures)
    : Inner(std::make_unique<State>(Context, std::move(Settings),
                                    std::move(Platform), std::move(Figures))) {}

SiteDaemon::~SiteDaemon() = default;

void SiteDaemon::run() {
  this->Inner->start();
  this->Inner->Context.run();
}

} // namespace sardinerill::site
