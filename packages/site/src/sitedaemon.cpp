#include "sardinerill/site/sitedaemon.h"

#include "callerhandler.h"
#include "configurationfreshness.h"
#include "configurationreads.h"
#include "holder.h"
#include "ownershipmanager.h"
#include "peerapi.h"
#include "startupconfiguration.h"
#include "stopschedule.h"

#include "sardinerill/base/adaptivetimelimit.h"
#include "sardinerill/base/logging.h"
#include "sardinerill/base/text.h"
#include "sardinerill/configuration/configurationchanges.h"
#include "sardinerill/http/httpserver.h"

#include <algorithm>
#include <csignal>

namespace sardinerill::site {

namespace {

/// Long-poll time for changes of the configuration; well below the 2 s within
/// which a change must be in force.
constexpr milliseconds ConfigurationPollWait{1000};
constexpr milliseconds ConfigurationReadTimeout{800};
constexpr milliseconds MaxConfigurationReadTimeout{3200};
constexpr milliseconds RetryPause{150};
constexpr milliseconds HandoverPollInterval{10};
constexpr milliseconds PeerNoticeTimeout{200};
constexpr milliseconds ShutdownPollInterval{50};
constexpr std::size_t IncarnationBytes = 8;
/// Peers that a new process asks for the version of their configuration.
constexpr std::size_t MaxPeersAsked = 3;
constexpr milliseconds PeerQuestionTimeout{300};
/// Time for the table to return a newer configuration before a peer that uses
/// it is asked.
constexpr milliseconds TableHeadStart{300};
/// Limits of an answer with the operators' rows, which may be hundreds of
/// kilobytes.
constexpr milliseconds OperatorRowsTimeout{1000};
constexpr seconds OperatorRowsExtraTime{4};
/// Pause after a peer has not returned a newer configuration.
constexpr milliseconds PeerRetryPause{300};
/// Interval of questions to peers for their version, while the table has not
/// answered polls for changes for longer than MaxAnswerGap.
constexpr milliseconds PeerVersionInterval{500};
constexpr Duration MaxAnswerGap = ConfigurationPollWait + milliseconds(300);
/// Part of the time within which a change has to be in force, after which
/// calls are not allowed by the older configuration. The rest is for the time
/// until a peer has told of the change.
constexpr int OutdatedDivisor = 2;
/// Longest wait for the list of peers, and for a configuration as new as
/// theirs: reads of the table are at most some seconds old.
constexpr milliseconds MaxPeerListWait{1000};
constexpr milliseconds MaxWaitForPeerVersion{6000};
constexpr milliseconds LagProbeInterval{200};
/// A delay of the event loop above this is logged.
constexpr milliseconds MaxLoopLag{250};
constexpr seconds LagLogInterval{1};
/// Shortest time between two log lines on rejected versions of peers.
constexpr seconds RejectedVersionLogInterval{1};
constexpr seconds SettingsInterval{5};
/// All daemons of a new site start within 0.3 s of each other, so the second
/// read of their list is complete.
constexpr int RefreshesAtFirstStart = 2;

std::string toMillisText(Duration Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

} // namespace

struct SiteDaemon::State {
  State(boost::asio::io_context &Context, SiteSettings GivenSettings,
        PlatformAdapters GivenAdapters, std::unique_ptr<Metrics> GivenStats);

  void start();
  Async<void> watchConfiguration();
  /// \param SentAt when the read that returned \p Snapshot was sent.
  void applyConfiguration(const OperatorSnapshot &Snapshot, Instant SentAt,
                          std::string_view Source);
  /// Asks peers for their version while the table does not answer: a change
  /// that is too large for a relayed poll is announced by no answer to it.
  Async<void> watchPeerVersions();
  /// Asks \p Peer, which uses a newer configuration, for what this daemon
  /// lacks, unless the table returns it first.
  Async<void> readConfigurationFromPeer(Endpoint Peer);
  /// Puts in force what a peer has returned.
  Result<void> applyOperatorRows(const HttpResponse &Answer, Instant SentAt);
  std::optional<std::string>
  missingOperatorRows(const ConfigurationDigest &OfPeer);
  /// \returns the digest of \p InForce, the configuration in force.
  const ConfigurationDigest &digest(const SiteConfiguration &InForce);
  void startHolder(const OwnershipClaim &Claim);
  void stopHolder();
  bool isActiveHolder() const;
  Async<HttpResponse> handleCallerRequest(HttpRequest Request);
  Async<HttpResponse> handleReadinessRequest();
  Async<void> shutDown();
  Async<void> handOver(const StopSchedule &Schedule);
  void notifyPeersOfHandover();
  void waitForSignal();
  void reload();
  Async<void> watchSettings();
  /// Asks peers for the version of the configuration that they use, and for
  /// the evacuations that they know of.
  Async<void> checkConfiguration();
  /// Asks \p Peer for the evacuations that it knows of.
  Async<void> fetchEvacuations(Endpoint Peer);
  void applyEvacuations(const OperatorSnapshot &Snapshot, Instant AsOf);
  /// Logs \p Changes of the evacuations and puts them in force.
  void reportEvacuations(const std::vector<ZoneEvacuation> &Changes,
                         std::string_view Source);
  /// \returns whether peers have used a newer configuration for so long that
  /// calls by the older one would not be in force in time any more.
  bool isOutdated() const {
    return this->Freshness.timeBehind(this->Clock.now()) >
           this->Settings.Bounds.ConfigurationApply / OutdatedDivisor;
  }
  const SiteConfiguration *usableConfiguration() const {
    return this->Configuration && this->Startup.mayServe()
               ? &*this->Configuration
               : nullptr;
  }
  /// Takes in the version of the configuration that \p Answer names.
  void recordPeerAnswer(const Endpoint &Peer, const HttpResponse &Answer);
  /// Takes in that the table has answered a read sent at \p SentAt.
  void recordTableAnswer(Instant SentAt);
  /// Measures how late the event loop runs what is due.
  Async<void> watchLoopLag();
  PeerApiDeps peerApiDeps();
  CallerHandlerDeps callerHandlerDeps();
  SiteDeps siteDeps();

  boost::asio::io_context &Context;
  BootClock Clock;
  std::unique_ptr<Metrics> Stats;
  SiteSettings Settings;
  PlatformAdapters Adapters;
  std::string Incarnation;
  JobTable Jobs;
  ZoneEvacuations Evacuations;
  OperatorRowsAge OperatorRows;
  PeerDirectory Directory;
  OwnershipManager Ownership;
  CallerHandler CallHandler;
  std::shared_ptr<Holder> LocalHolder;
  std::optional<SiteConfiguration> Configuration;
  StartupConfiguration Startup;
  ConfigurationFreshness Freshness;
  ConfigurationReads Reads{ConfigurationPollWait};
  ConfigurationDigest Digest;     ///< See digest().
  bool AsksPeer = false;          ///< For a newer configuration.
  Instant LastOperatorAnswerAt{}; ///< Of the table, to watchConfiguration().
  Instant NextRejectedVersionLog{};
  std::vector<MaintenanceWave> Waves;
  bool Stopping = false;
  Instant ExitAt = Instant::max(); ///< Set by a planned stop.
  boost::asio::signal_set Signals;
  PeerApiDeps PeerDeps;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ReadinessServer;
  std::unique_ptr<HttpServer> PeerServer;
};

SiteDaemon::State::State(boost::asio::io_context &Context,
                         SiteSettings GivenSettings,
                         PlatformAdapters GivenAdapters,
                         std::unique_ptr<Metrics> GivenStats)
    : Context(Context), Stats(std::move(GivenStats)),
      Settings(std::move(GivenSettings)), Adapters(std::move(GivenAdapters)),
      Incarnation(randomHex(IncarnationBytes)),
      Jobs(Context.get_executor(), *this->Adapters.Store, this->Clock,
           *this->Stats),
      Directory(*this->Adapters.Store, this->Settings.Name,
                this->Settings.PeerEndpoint, this->Settings.Capacity,
                this->Settings.FirstStart ? RefreshesAtFirstStart : 1),
      Ownership(
          this->siteDeps(), this->Incarnation,
          [this](const OwnershipClaim &Claim) { this->startHolder(Claim); },
          [this] { this->stopHolder(); }),
      CallHandler(this->callerHandlerDeps()),
      Signals(Context, SIGTERM, SIGINT, SIGHUP), PeerDeps(this->peerApiDeps()) {
  this->Ownership.setLargerPeerCheck(
      [this] { return this->Directory.mayHaveLargerPeer(); });
  this->Adapters.Store->setRelayObserver(
      [this](const Endpoint &Peer, const HttpResponse &Answer) {
        this->recordPeerAnswer(Peer, Answer);
      });
}

SiteDeps SiteDaemon::State::siteDeps() {
  return {.Executor = this->Context.get_executor(),
          .Clock = this->Clock,
          .Store = *this->Adapters.Store,
          .Source = *this->Adapters.Source,
          .Upstreams = *this->Adapters.Upstreams,
          .Vms = *this->Adapters.Vms,
          .Advisor = this->Adapters.Advisor.get(),
          .Jobs = this->Jobs,
          .Stats = *this->Stats,
          .Settings = this->Settings,
          .Evacuations = this->Evacuations,
          .OperatorRows = this->OperatorRows};
}

CallerHandlerDeps SiteDaemon::State::callerHandlerDeps() {
  return {
      .Executor = this->Context.get_executor(),
      .Clock = this->Clock,
      .Jobs = this->Jobs,
      .Stats = *this->Stats,
      .DecodeJob = this->Adapters.DecodeJob,
      .Configuration = [this] { return this->usableConfiguration(); },
      .NewerVersion = [this]() -> std::optional<std::int64_t> {
        return this->Freshness.isBehind(this->Clock.now())
                   ? std::optional(this->Freshness.newestVersion())
                   : std::nullopt;
      },
      .IsOutdated = [this] { return this->isOutdated(); },
      .LatestReply = [this] { return this->ExitAt; },
      .LocalState = [this](const JobId &Job) -> std::optional<JobState> {
        return this->isActiveHolder() ? this->LocalHolder->stateOf(Job)
                                      : std::nullopt;
      },
      .LocalPendingJobs = [this](const QueueId &Queue) -> std::optional<int> {
        if (!this->isActiveHolder())
          return std::nullopt;
        return this->LocalHolder->pendingJobs(Queue);
      },
      .NotifyLocalHolder =
          [this](const JobChange &Change) {
            if (!this->LocalHolder)
              return false;
            this->LocalHolder->applyNotifiedChange(Change);
            return true;
          },
      .LocalLoad = [this]() -> std::shared_ptr<const overload::LoadSummary> {
        return this->LocalHolder ? this->LocalHolder->load() : nullptr;
      },
      .RefuseUnservable = this->Settings.Policy.RefuseUnservable,
      .HolderEndpoint =
          [this] {
            const OwnershipRow &Row = this->Ownership.row();
            const bool Own = Row.Incarnation == this->Incarnation;
            return Own ? Endpoint() : Endpoint::parse(Row.PeerAddress);
          },
      .OnHolderAnswer =
          [this](const Endpoint &Peer, const HttpResponse &Answer) {
            this->recordPeerAnswer(Peer, Answer);
          }};
}

PeerApiDeps SiteDaemon::State::peerApiDeps() {
  return {
      .Store = *this->Adapters.Store,
      .Incarnation = this->Incarnation,
      .IsActiveHolder = [this] { return this->isActiveHolder(); },
      .StateOf =
          [this](const JobId &Job) { return this->LocalHolder->stateOf(Job); },
      .PendingJobs =
          [this](const QueueId &Queue) {
            return this->LocalHolder->pendingJobs(Queue);
          },
      .OnChangeNotice =
          [this](const JobChange &Change) {
            if (this->LocalHolder)
              this->LocalHolder->applyNotifiedChange(Change);
          },
      .EncodedLoad =
          [this] {
            return this->LocalHolder ? this->LocalHolder->encodedLoad()
                                     : std::string();
          },
      .OnOwnershipAvailable = [this] { this->Ownership.checkNow(); },
      .ConfigurationVersion = [this]() -> std::int64_t {
        const SiteConfiguration *InUse = this->usableConfiguration();
        return InUse ? InUse->Version : 0;
      },
      .MissingOperatorRows =
          [this](const ConfigurationDigest &OfPeer) {
            return this->missingOperatorRows(OfPeer);
          },
      .Evacuations = [this]() -> std::optional<std::string> {
        return this->OperatorRows.isInformed()
                   ? std::optional(encodeEvacuations(this->Evacuations.known()))
                   : std::nullopt;
      },
      .RenderMetrics = [this] { return this->Stats->renderPrometheus(); }};
}

bool SiteDaemon::State::isActiveHolder() const {
  return this->LocalHolder && this->LocalHolder->ready() &&
         this->LocalHolder->ownership().maySendCommands(this->Clock.now());
}

void SiteDaemon::State::startHolder(const OwnershipClaim &Claim) {
  this->LocalHolder =
      std::make_shared<Holder>(this->siteDeps(), OwnershipTimings{}, Claim);
  this->Ownership.setOwnershipLease(&this->LocalHolder->ownership());
  if (this->Configuration)
    this->LocalHolder->configure(*this->Configuration);
  this->LocalHolder->addWaves(this->Waves);
  this->LocalHolder->run();
  // The change feed of this daemon may lag behind that of others.
  std::vector<Endpoint> Asked = this->Directory.peers();
  Asked.resize(std::min(Asked.size(), MaxPeersAsked));
  for (const Endpoint &Peer : Asked)
    spawn(this->Context.get_executor(), "evacuation-question",
          [this, Peer] { return this->fetchEvacuations(Peer); });
}

void SiteDaemon::State::stopHolder() {
  if (!this->LocalHolder)
    return;
  this->LocalHolder->stop();
  this->LocalHolder = nullptr; // Its coroutines keep it alive until they end.
}

void SiteDaemon::State::reportEvacuations(
    const std::vector<ZoneEvacuation> &Changes, std::string_view Source) {
  for (const ZoneEvacuation &Each : Changes)
    logEvent(LogLevel::Info,
             Each.Requested ? "evacuation.requested" : "evacuation.withdrawn",
             {{"zone", Each.Zone.str()},
              {"version", std::to_string(Each.KnownAt)},
              {"source", std::string(Source)}});
  this->Stats->setGauge("evacuated_zones",
                        double(this->Evacuations.zones().size()));
  if (this->LocalHolder && !Changes.empty())
    this->LocalHolder->applyEvacuations();
}

void SiteDaemon::State::applyEvacuations(const OperatorSnapshot &Snapshot,
                                         Instant AsOf) {
  const Instant Now = this->Clock.now();
  this->OperatorRows.recordRead(AsOf);
  this->reportEvacuations(
      Snapshot.IsFullRead
          ? this->Evacuations.applyFullRead(Snapshot.Evacuations,
                                            Snapshot.Version, Now)
          : this->Evacuations.applyChanges(Snapshot.Evacuations, Now),
      "table");
  if (Snapshot.SkippedRows)
    this->Stats->count("operator_rows_skipped_total",
                       std::uint64_t(Snapshot.SkippedRows));
}

Async<void> SiteDaemon::State::fetchEvacuations(Endpoint Peer) {
  const Instant SentAt = this->Clock.now();
  HttpClient Client(this->Context.get_executor(), {.Peer = Peer});
  const auto Answer =
      co_await Client.call(evacuationsRequest(), PeerQuestionTimeout);
  if (Answer)
    this->recordPeerAnswer(Peer, *Answer);
  if (!Answer || Answer->Status != 200)
    co_return; // It has not read the rows itself, or is of an older version.
  const auto States = decodeEvacuations(Answer->Body);
  if (!States) {
    logEvent(LogLevel::Warning, "evacuation.peer_answer_rejected",
             {{"peer", Peer.str()}, {"reason", States.error().Detail}});
    co_return;
  }
  this->OperatorRows.recordPeerState(SentAt);
  this->reportEvacuations(
      this->Evacuations.applyPeerState(*States, this->Clock.now()), "peer");
}

void SiteDaemon::State::applyConfiguration(const OperatorSnapshot &Snapshot,
                                           Instant SentAt,
                                           std::string_view Source) {
  for (const MaintenanceWave &Wave : Snapshot.Waves) {
    const auto IsSameWave = [&](const MaintenanceWave &Known) {
      return Known.Number == Wave.Number;
    };
    std::erase_if(this->Waves, IsSameWave);
    this->Waves.push_back(Wave);
  }
  if (this->LocalHolder && !Snapshot.Waves.empty())
    this->LocalHolder->addWaves(Snapshot.Waves);
  if (!Snapshot.Configuration ||
      (this->Configuration &&
       Snapshot.Configuration->Version <= this->Configuration->Version))
    return;
  const Duration Behind = this->Freshness.timeBehind(this->Clock.now());
  this->Configuration = Snapshot.Configuration;
  this->Stats->observe("configuration_behind", std::string(Source), Behind);
  this->Startup.recordRead(this->Configuration->Version);
  this->Freshness.recordInForce(this->Configuration->Version);
  logEvent(LogLevel::Info, "configuration.in_force",
           {{"version", std::to_string(this->Configuration->Version)},
            {"queues", std::to_string(this->Configuration->Queues.size())},
            {"source", std::string(Source)},
            {"behind_ms", toMillisText(Behind)},
            {"rows", std::to_string(Snapshot.ConfigurationRows)},
            {"bytes", std::to_string(Snapshot.ConfigurationBytes)},
            {"took_ms", toMillisText(this->Clock.now() - SentAt)},
            {"decode_ms", toMillisText(Snapshot.DecodeTime)}});
  const CallerLimits &Limits = this->Configuration->Limits;
  this->CallerServer->setLimits({.HeaderBytes = Limits.HeaderBytes,
                                 .BodyBytes = Limits.BodyBytes,
                                 .RequestTimeout = Limits.HeaderTimeout,
                                 .IdleTimeout = Limits.IdleTimeout});
  if (this->LocalHolder)
    this->LocalHolder->configure(*this->Configuration);
}

Async<void> SiteDaemon::State::watchConfiguration() {
  AdaptiveTimeLimit Limit(ConfigurationReadTimeout,
                          MaxConfigurationReadTimeout);
  while (true) {
    const Instant SentAt = this->Clock.now();
    const ConfigurationRead Read =
        this->Reads.next(this->Freshness.isBehind(SentAt));
    const auto Snapshot =
        Read.ChangesAfter
            ? co_await this->Adapters.Source->waitForOperatorChanges(
                  *Read.ChangesAfter, Read.Wait)
            : co_await this->Adapters.Source->readOperatorSnapshot(
                  Limit.current());
    if (!Snapshot) {
      this->Reads.recordFailure();
      if (Read.readsAll())
        Limit.recordTimeout(this->Adapters.Store->reachable());
      if (Snapshot.error().Kind == ErrorKind::PlatformHistoryGone)
        this->Reads.restart();
      co_await sleepFor(RetryPause);
      continue;
    }
    this->LastOperatorAnswerAt = this->Clock.now();
    if (Read.readsAll())
      Limit.recordAnswer(this->LastOperatorAnswerAt - SentAt);
    const bool Unchanged = !Read.readsAll() && !Snapshot->Configuration &&
                           Snapshot->Waves.empty() &&
                           Snapshot->Evacuations.empty();
    this->applyEvacuations(
        *Snapshot, OperatorRowsAge::answerTime(SentAt, Read.Wait, Unchanged,
                                               this->Clock.now()));
    this->applyConfiguration(*Snapshot, SentAt,
                             Read.readsAll() ? "rows" : "changes");
    // A row that can't be decoded may be a newer configuration.
    if (Snapshot->SkippedRows == 0)
      this->recordTableAnswer(SentAt);
    this->Reads.recordAnswer(Read, Snapshot->Version);
    const bool IsOld = this->Startup.needsNewerRead();
    if (IsOld)
      this->Reads.restart(); // The table serves an old configuration.
    // No configuration exists yet: pause before the next read.
    if ((Read.readsAll() && !this->Configuration) || IsOld)
      co_await sleepFor(RetryPause);
  }
}

Async<HttpResponse>
SiteDaemon::State::handleCallerRequest(HttpRequest Request) {
  const Result<CallerReply> Reply =
      co_await this->CallHandler.handle(this->Adapters.DecodeCall(Request));
  co_return this->Adapters.EncodeReply(Reply);
}

Async<HttpResponse> SiteDaemon::State::handleReadinessRequest() {
  // Without the table, or by an outdated configuration, no call can be served,
  // so the balancer should send callers to other daemons.
  const bool Ready = !this->Stopping && this->usableConfiguration() &&
                     !this->isOutdated() && this->Adapters.Store->reachable();
  co_return HttpResponse{.Status = Ready ? 200 : 503};
}

void SiteDaemon::State::reload() {
  const Result<SiteSettings> Reloaded = this->Adapters.ReloadSettings();
  if (!Reloaded) {
    logEvent(LogLevel::Error, "settings.rejected",
             {{"reason", Reloaded.error().Detail}});
    return;
  }
  if (*Reloaded == this->Settings)
    return;
  // Other settings, such as addresses, take effect at the next start.
  this->Settings.Bounds = Reloaded->Bounds;
  this->Settings.StopGracePeriod = Reloaded->StopGracePeriod;
  this->Settings.VmReadsPerSecond = Reloaded->VmReadsPerSecond;
  this->Settings.VmCommandsPerSecond = Reloaded->VmCommandsPerSecond;
  logEvent(LogLevel::Info, "settings.reloaded",
           {{"daemon", this->Settings.Name}});
}

Async<void> SiteDaemon::State::watchSettings() {
  // The file may change without a SIGHUP.
  while (true) {
    co_await sleepFor(SettingsInterval);
    this->reload();
  }
}

Async<void> SiteDaemon::State::checkConfiguration() {
  const Instant StartedAt = this->Clock.now();
  while (!this->Directory.hasList() &&
         this->Clock.now() < StartedAt + MaxPeerListWait)
    co_await sleepFor(ShutdownPollInterval);
  std::vector<Endpoint> Asked = this->Directory.peers();
  Asked.resize(std::min(Asked.size(), MaxPeersAsked));
  std::size_t Pending = Asked.size();
  for (const Endpoint &Peer : Asked)
    spawn(this->Context.get_executor(), "configuration-question",
          [this, Peer, &Pending]() -> Async<void> {
            HttpClient Client(this->Context.get_executor(), {.Peer = Peer});
            const auto Answer = co_await Client.call(
                configurationVersionRequest(), PeerQuestionTimeout);
            if (Answer) {
              this->recordPeerAnswer(Peer, *Answer);
              this->Startup.recordPeer(
                  decodeConfigurationVersion(*Answer).value_or(0));
            }
            --Pending;
          });
  Pending += Asked.size();
  for (const Endpoint &Peer : Asked)
    spawn(this->Context.get_executor(), "evacuation-question",
          [this, Peer, &Pending]() -> Async<void> {
            co_await this->fetchEvacuations(Peer);
            --Pending;
          });
  while (Pending > 0)
    co_await sleepFor(HandoverPollInterval);
  this->Startup.endQuestions();
  this->OperatorRows.endQuestions();
  if (!this->Startup.needsNewerRead())
    co_return;
  logEvent(
      LogLevel::Warning, "configuration.behind_peers",
      {{"version",
        std::to_string(this->Configuration ? this->Configuration->Version : 0)},
       {"peer_version", std::to_string(this->Startup.peerVersion())}});
  while (this->Startup.needsNewerRead() &&
         this->Clock.now() < StartedAt + MaxWaitForPeerVersion)
    co_await sleepFor(ShutdownPollInterval);
  this->Startup.giveUp();
}

void SiteDaemon::State::recordPeerAnswer(const Endpoint &Peer,
                                         const HttpResponse &Answer) {
  const std::string Announced = announcedConfigurationVersion(Answer);
  const Instant Now = this->Clock.now();
  const PeerVersionKind Kind = this->Freshness.recordPeerAnswer(Announced, Now);
  if (Kind == PeerVersionKind::Newer)
    logEvent(LogLevel::Info, "configuration.newer_at_peer",
             {{"peer", Peer.str()}, {"peer_version", Announced}});
  const bool IsNewer =
      Kind == PeerVersionKind::Newer || Kind == PeerVersionKind::Repeated;
  if (IsNewer && !std::exchange(this->AsksPeer, true))
    spawn(this->Context.get_executor(), "configuration-peer",
          [this, Peer] { return this->readConfigurationFromPeer(Peer); });
  if (Kind != PeerVersionKind::Rejected)
    return;
  this->Stats->count("configuration_peer_versions_rejected_total");
  if (Now < this->NextRejectedVersionLog)
    return;
  this->NextRejectedVersionLog = Now + RejectedVersionLogInterval;
  logEvent(LogLevel::Warning, "configuration.peer_version_rejected",
           {{"peer", Peer.str()}, {"peer_version", Announced}});
}

const ConfigurationDigest &
SiteDaemon::State::digest(const SiteConfiguration &InForce) {
  if (this->Digest.Version != InForce.Version)
    this->Digest = digestOf(InForce);
  return this->Digest;
}

std::optional<std::string>
SiteDaemon::State::missingOperatorRows(const ConfigurationDigest &OfPeer) {
  const SiteConfiguration *InUse = this->usableConfiguration();
  const auto Position = this->Reads.position();
  if (!InUse || InUse->Version <= OfPeer.Version || !Position ||
      !this->OperatorRows.isInformed())
    return std::nullopt;
  return encodeUpdate(
      {.Position = *Position,
       .Changes = changesBetween(OfPeer, *InUse, this->digest(*InUse)),
       .Waves = this->Waves,
       .Evacuations = encodeEvacuations(this->Evacuations.known())});
}

Result<void> SiteDaemon::State::applyOperatorRows(const HttpResponse &Answer,
                                                  Instant SentAt) {
  if (Answer.Status != 200 || !this->Configuration)
    return makeError(ErrorKind::PlatformUnavailable,
                     "status " + std::to_string(Answer.Status));
  const Instant DecodesSince = this->Clock.now();
  auto Update = decodeUpdate(Answer.Body);
  if (!Update)
    return tl::unexpected(Update.error());
  const auto Zones = decodeEvacuations(Update->Evacuations);
  if (!Zones)
    return tl::unexpected(Zones.error());
  auto Next = applyChanges(*this->Configuration, Update->Changes);
  if (!Next)
    return tl::unexpected(Next.error());
  if (Next->Version > this->Freshness.newestVersion())
    return makeError(ErrorKind::BadRequest,
                     "version " + std::to_string(Next->Version) +
                         " is newer than the one that peers use, " +
                         std::to_string(this->Freshness.newestVersion()));
  OperatorSnapshot Snapshot{.Configuration = std::move(*Next),
                            .Waves = std::move(Update->Waves),
                            .ConfigurationRows = 1,
                            .ConfigurationBytes = Answer.Body.size()};
  Snapshot.DecodeTime = this->Clock.now() - DecodesSince;
  this->OperatorRows.recordPeerState(SentAt);
  this->reportEvacuations(
      this->Evacuations.applyPeerState(*Zones, this->Clock.now()), "peer");
  this->applyConfiguration(Snapshot, SentAt, "peer");
  this->Reads.advance(Update->Position);
  this->Stats->count("configuration_peer_reads_total");
  return {};
}

Async<void> SiteDaemon::State::watchPeerVersions() {
  for (std::size_t Round = 0;; ++Round) {
    co_await sleepFor(PeerVersionInterval);
    const std::vector<Endpoint> &Peers = this->Directory.peers();
    if (!this->Configuration || Peers.empty() ||
        this->Clock.now() - this->LastOperatorAnswerAt < MaxAnswerGap)
      continue;
    const Endpoint Peer = Peers[Round % Peers.size()];
    HttpClient Client(this->Context.get_executor(), {.Peer = Peer});
    const auto Answer = co_await Client.call(configurationVersionRequest(),
                                             PeerQuestionTimeout);
    if (Answer)
      this->recordPeerAnswer(Peer, *Answer);
  }
}

Async<void> SiteDaemon::State::readConfigurationFromPeer(Endpoint Peer) {
  co_await sleepFor(TableHeadStart);
  const Instant SentAt = this->Clock.now();
  if (this->Configuration && this->Freshness.isBehind(SentAt)) {
    HttpClient Client(
        this->Context.get_executor(),
        {.Peer = Peer, .ExtraReceiveTime = OperatorRowsExtraTime});
    const auto Answer = co_await Client.call(
        operatorRowsRequest(this->digest(*this->Configuration)),
        OperatorRowsTimeout);
    // The table may have returned it meanwhile.
    if (this->Freshness.isBehind(this->Clock.now())) {
      Result<void> Applied =
          makeError(ErrorKind::PlatformUnavailable, "no response");
      if (Answer) {
        this->recordPeerAnswer(Peer, *Answer);
        Applied = this->applyOperatorRows(*Answer, SentAt);
      }
      if (!Applied) {
        this->Stats->count("configuration_peer_reads_failed_total");
        logEvent(LogLevel::Info, "configuration.peer_read_failed",
                 {{"peer", Peer.str()}, {"reason", Applied.error().Detail}});
        co_await sleepFor(PeerRetryPause);
      }
    }
  }
  this->AsksPeer = false;
}

void SiteDaemon::State::recordTableAnswer(Instant SentAt) {
  if (!this->Freshness.recordTableAnswer(SentAt))
    return;
  this->Stats->count("configuration_peer_versions_rejected_total");
  logEvent(
      LogLevel::Warning, "configuration.peer_version_disproved",
      {{"peer_version", std::to_string(this->Freshness.disprovedVersion())}});
}

Async<void> SiteDaemon::State::watchLoopLag() {
  Instant NextLog{};
  while (true) {
    const Instant DueAt = this->Clock.now() + LagProbeInterval;
    co_await sleepFor(LagProbeInterval);
    const Instant Now = this->Clock.now();
    const Duration Lag = Now - DueAt;
    this->Stats->observe("loop_lag", "all", Lag);
    if (Lag < MaxLoopLag || Now < NextLog)
      continue;
    NextLog = Now + LagLogInterval;
    const auto LagMs = std::chrono::duration_cast<milliseconds>(Lag);
    logEvent(LogLevel::Warning, "daemon.overloaded",
             {{"lag_ms", std::to_string(LagMs.count())},
              {"holds", this->LocalHolder ? "yes" : "no"}});
  }
}

void SiteDaemon::State::waitForSignal() {
  this->Signals.async_wait(
      [this](const boost::system::error_code &Error, int SignalNumber) {
        if (Error)
          return;
        if (SignalNumber == SIGHUP)
          this->reload();
        else if (!std::exchange(this->Stopping, true))
          spawn(this->Context.get_executor(), "stop",
                [this] { return this->shutDown(); });
        this->waitForSignal();
      });
}

void SiteDaemon::State::notifyPeersOfHandover() {
  for (const Endpoint &Peer : this->Directory.peers())
    spawn(this->Context.get_executor(), "release-notice",
          [this, Peer]() -> Async<void> {
            HttpClient Client(this->Context.get_executor(), {.Peer = Peer});
            // A peer that misses the notification reads the row soon anyway.
            co_await Client.call(handoverRequest(), PeerNoticeTimeout);
          });
}

Async<void> SiteDaemon::State::handOver(const StopSchedule &Schedule) {
  this->Ownership.startLeaving();
  bool PeersNotified = false;
  // This daemon stays the holder until another one has claimed ownership.
  while (this->LocalHolder && this->Clock.now() < Schedule.HandoverUntil) {
    if (this->Ownership.isLeavingStored() &&
        !std::exchange(PeersNotified, true))
      this->notifyPeersOfHandover();
    co_await sleepFor(HandoverPollInterval);
  }
  if (!this->LocalHolder)
    co_return;
  const auto LeavingHolder = this->LocalHolder;
  LeavingHolder->stop();
  const bool Stored = co_await LeavingHolder->flush(Schedule.StoreUntil);
  const bool Released = co_await this->Ownership.release(Schedule.ExitAt);
  if (!Stored || !Released)
    logEvent(LogLevel::Warning, "daemon.stop_incomplete",
             {{"progress_stored", Stored ? "yes" : "no"},
              {"ownership_released", Released ? "yes" : "no"},
              {"table_reachable",
               this->Adapters.Store->reachable() ? "yes" : "no"}});
  this->Ownership.setOwnershipLease(nullptr);
  this->LocalHolder = nullptr;
  this->notifyPeersOfHandover();
}

Async<void> SiteDaemon::State::shutDown() {
  const StopSchedule Schedule =
      StopSchedule::of(this->Clock.now(), this->Settings.StopGracePeriod);
  this->ExitAt = Schedule.ExitAt;
  logEvent(LogLevel::Info, "daemon.stopping",
           {{"daemon", this->Settings.Name},
            {"holds", this->LocalHolder ? "yes" : "no"}});
  this->CallerServer->startDrain();
  co_await this->handOver(Schedule);
  while (this->Clock.now() < Schedule.AcceptUntil)
    co_await sleepFor(ShutdownPollInterval);
  this->CallerServer->stopAccepting();
  while (this->CallerServer->requestsInFlight() > 0 &&
         this->Clock.now() < Schedule.ExitAt)
    co_await sleepFor(ShutdownPollInterval);
  logEvent(
      LogLevel::Info, "daemon.stopped",
      {{"daemon", this->Settings.Name},
       {"cut_off", std::to_string(this->CallerServer->requestsInFlight())}});
  this->Context.stop();
}

void SiteDaemon::State::start() {
  const auto Executor = this->Context.get_executor();
  logEvent(LogLevel::Info, "daemon.started",
           {{"daemon", this->Settings.Name},
            {"zone", this->Settings.Zone.str()},
            {"incarnation", this->Incarnation}});
  this->CallerServer = std::make_unique<HttpServer>(
      Executor, this->Settings.CallerEndpoint, [this](HttpRequest Request) {
        return this->handleCallerRequest(std::move(Request));
      });
  this->ReadinessServer = std::make_unique<HttpServer>(
      Executor, this->Settings.ReadinessEndpoint,
      [this](HttpRequest) { return this->handleReadinessRequest(); });
  this->PeerServer = std::make_unique<HttpServer>(
      Executor, this->Settings.PeerEndpoint, [this](HttpRequest Request) {
        return handlePeerRequest(this->PeerDeps, std::move(Request));
      });
  this->waitForSignal();
  spawn(Executor, "operator", [this] { return this->watchConfiguration(); });
  spawn(Executor, "settings", [this] { return this->watchSettings(); });
  spawn(Executor, "configuration-check",
        [this] { return this->checkConfiguration(); });
  spawn(Executor, "peer-versions",
        [this] { return this->watchPeerVersions(); });
  spawn(Executor, "loop-lag", [this] { return this->watchLoopLag(); });
  spawn(Executor, "peers", [this] { return this->Directory.run(); });
  spawn(Executor, "ownership", [this] { return this->Ownership.run(); });
}

SiteDaemon::SiteDaemon(boost::asio::io_context &Context, SiteSettings Settings,
                       PlatformAdapters Adapters,
                       std::unique_ptr<Metrics> Stats)
    : Impl(std::make_unique<State>(Context, std::move(Settings),
                                   std::move(Adapters), std::move(Stats))) {}

SiteDaemon::~SiteDaemon() = default;

void SiteDaemon::run() {
  this->Impl->start();
  this->Impl->Context.run();
}

} // namespace sardinerill::site
