#include "holder.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <set>

namespace sardinerill::site {

namespace {

/// Long-poll time for changes of jobs; short enough to detect a dead connection
/// before the jobs are stale (MaxJobsAge).
constexpr milliseconds JobsPollWait{1000};
/// Pause between reads, so that changes within this time are read in one batch.
constexpr milliseconds JobsBatchPause{100};
/// Time between two reads of the registry.
constexpr milliseconds RegistryInterval{500};
constexpr milliseconds RegistryTimeout{900};
constexpr milliseconds MaxRegistryTimeout{3600};
constexpr milliseconds RetryPause{100};
constexpr milliseconds OwnershipPollInterval{20};
constexpr milliseconds HeadRetryPause{10};
/// The scheduler runs at least this often, because deadlines and timeouts pass
/// without any event.
constexpr milliseconds DecisionInterval{100};
/// Events within this time are handled in one run of the scheduler.
constexpr milliseconds DecisionDelay{2};
/// Idle time after a run of the scheduler, as a multiple of the run's duration,
/// and its upper bound.
constexpr int IdlePerDecision = 2;
constexpr milliseconds MaxIdle{150};
/// The summary of the load is computed again after this time. It takes about
/// 2 ms of a whole core with 3,000 jobs, and the holder may have half of one.
constexpr milliseconds LoadSummaryInterval{200};
/// Nothing is started if the table answers and the jobs were last read longer
/// ago than this: a cancellation must take effect within 3 s of its
/// acknowledgement on the strictest sites.
constexpr milliseconds MaxJobsAge{2500};
/// A registry entry that is missing from all successful reads for this long is
/// treated as removed.
constexpr milliseconds MissingLimit{2500};
/// Longest time from sending a stop until it takes effect: upstreams stop a run
/// within 0.9 s; the rest covers the network.
constexpr milliseconds MaxStopTime{1000};
/// Longest age of data read from the table when it has lost its change history.
/// Until this long after a claim, upstreams may list runs of jobs that are
/// missing here.
constexpr seconds MaxStaleReadTime{12};

/// \returns whether a previous holder may have started a job that was stored
/// with \p Version.
bool mayHaveStarted(const OwnershipClaim &Claim, std::int64_t Version) {
  if (Claim.LastInheritedVersion != 0 && Version > Claim.LastInheritedVersion)
    return false;
  return Version < Claim.Token;
}

/// \returns when every lease sent by previous holders has expired. By then each
/// run they started has ended or was listed.
Instant inheritedLeasesExpireAt(const SiteDeps &Deps,
                                const OwnershipClaim &Claim) {
  return Claim.EarlierCommandsUntil +
         UpstreamLease::maxTimeToExpiry(Deps.Settings.Bounds);
}

SchedulerOptions schedulerOptions(const SiteDeps &Deps,
                                  const OwnershipClaim &Claim) {
  return {.Bounds = Deps.Settings.Bounds,
          .Policy = Deps.Settings.Policy,
          .Term = Claim.Term,
          .InheritedRunsUntil = inheritedLeasesExpireAt(Deps, Claim),
          .StopsPendingUntil = Claim.EarlierCommandsUntil + MaxStopTime,
          .UnknownJobsUntil = Claim.ClaimSentAt + MaxStaleReadTime};
}

AdviceFailure adviceFailureOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::UpstreamTimeout:
    return AdviceFailure::TimedOut;
  case ErrorKind::UpstreamBadReply:
    return AdviceFailure::Answered;
  default:
    return AdviceFailure::NotQueued;
  }
}

} // namespace

Holder::Holder(SiteDeps Deps, OwnershipTimings Timeouts, OwnershipClaim Claim)
    : Deps(Deps), Claim(Claim),
      Ownership(Timeouts, Claim.Token, Claim.ClaimSentAt, Claim.VmCommandsFrom),
      JobScheduler(schedulerOptions(Deps, Claim)),
      SchedulingEvent(Deps.Executor), StoreEvent(Deps.Executor),
      Context(std::make_shared<LinkContext>(LinkContext{
          .Executor = Deps.Executor,
          .Clock = Deps.Clock,
          .JobScheduler = this->JobScheduler,
          .Ownership = this->Ownership,
          .SchedulingEvent = this->SchedulingEvent,
          .Bounds = this->Deps.Settings.Bounds,
          .InheritedLeasesExpireAt = inheritedLeasesExpireAt(Deps, Claim)})),
      Coordinator(std::make_shared<VmCoordinator>(
          VmCoordinatorDeps{.Executor = Deps.Executor,
                            .Clock = Deps.Clock,
                            .Store = Deps.Store,
                            .Source = Deps.Source,
                            .Vms = Deps.Vms,
                            .Settings = Deps.Settings,
                            .JobScheduler = this->JobScheduler,
                            .Ownership = this->Ownership,
                            .SchedulingEvent = this->SchedulingEvent,
                            .Stats = Deps.Stats,
                            .Evacuations = Deps.Evacuations})),
      Publisher(std::make_shared<EvacuationPublisher>(EvacuationPublisherDeps{
          .Clock = Deps.Clock,
          .Source = Deps.Source,
          .JobScheduler = this->JobScheduler,
          .Ownership = this->Ownership,
          .Evacuations = Deps.Evacuations,
          .Stats = Deps.Stats,
          .HasVmIn =
              [Coordinator = this->Coordinator](const ZoneId &Zone) {
                return Coordinator->hasVmIn(Zone);
              }})),
      RunTimesStored(this->Deps.Store, this->Deps.Stats, this->Ownership) {}

void Holder::run() {
  const auto Self = this->shared_from_this();
  const auto FromNow = [Now = this->Deps.Clock.now()](Instant Time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Time - Now).count());
  };
  logEvent(LogLevel::Info, "holder.started",
           {{"token", std::to_string(this->Claim.Token)},
            {"inherited_commands_until_ms",
             FromNow(this->Claim.EarlierCommandsUntil)},
            {"inherited_leases_until_ms",
             FromNow(inheritedLeasesExpireAt(this->Deps, this->Claim))},
            {"inherited_jobs_until_version",
             std::to_string(this->Claim.LastInheritedVersion)}});
  spawn(this->Deps.Executor, "holder-load",
        [Self] { return Self->loadJobsAndStart(); });
  if (this->Deps.Settings.Policy.LearnRunTimes)
    spawn(this->Deps.Executor, "holder-run-times",
          [Self] { return Self->runTimesLoop(); });
  spawn(this->Deps.Executor, "holder-vm-list",
        [Coordinator = this->Coordinator] {
          return Coordinator->listInitialVms();
        });
}

void Holder::stop() {
  this->Context->Stopped = true;
  this->Coordinator->stop();
  this->Publisher->stop();
  for (auto &[Id, Link] : this->Links)
    Link->close();
  this->SchedulingEvent.notify();
  this->StoreEvent.notify();
}

void Holder::configure(const SiteConfiguration &Configuration) {
  this->JobScheduler.configure(Configuration);
  this->Coordinator->configure(Configuration);
  this->SchedulingEvent.notify();
}

void Holder::addWaves(const std::vector<MaintenanceWave> &Waves) {
  this->Coordinator->addWaves(Waves);
}

std::optional<JobState> Holder::stateOf(const JobId &Job) const {
  return this->JobScheduler.stateOf(Job);
}

int Holder::pendingJobs(const QueueId &Queue) const {
  return this->JobScheduler.pendingJobs(Queue);
}

std::shared_ptr<const overload::LoadSummary> Holder::load() {
  const Instant Now = this->Deps.Clock.now();
  if (!this->Deps.Settings.Policy.RefuseUnservable || !this->Loaded ||
      this->Context->Stopped || !this->Ownership.maySendCommands(Now))
    return nullptr;
  if (!this->Load || Now - this->LoadComputedAt >= LoadSummaryInterval) {
    this->Load = std::make_shared<const overload::LoadSummary>(
        this->JobScheduler.loadSummary(Now));
    this->LoadComputedAt = Now;
  }
  return this->Load;
}

std::string Holder::encodedLoad() {
  const auto Summary = this->load();
  return Summary ? overload::encodeSummary(*Summary, this->Deps.Clock.now() -
                                                         this->LoadComputedAt)
                 : std::string();
}

void Holder::applyChange(const JobChange &Change, const JobProgress *Progress) {
  const Instant Now = this->Deps.Clock.now();
  if (Change.Cancelled) {
    this->JobScheduler.cancelJob(Change.Job, Now);
    return;
  }
  if (this->JobScheduler.hasJob(Change.Job))
    return;
  if (Change.FinalState) {
    this->JobScheduler.addEndedJob(
        Change.Spec.value_or(JobSpec{.Id = Change.Job}), *Change.FinalState,
        Now);
    return;
  }
  if (!Change.Spec)
    return;
  const std::int64_t AgeMs =
      std::max<std::int64_t>(0, unixMillis() - Change.Spec->AcceptedAtMs);
  const bool Inherited = mayHaveStarted(this->Claim, Change.Version);
  // The wall clock may have jumped, so the stored time is used only for jobs
  // that were accepted before this holder's claim.
  const Instant AcceptedAt =
      Change.Version < this->Claim.Token ? Now - milliseconds(AgeMs) : Now;
  std::optional<JobProgress> KnownProgress;
  if (Progress)
    KnownProgress = *Progress;
  this->JobScheduler.addJob(*Change.Spec, KnownProgress, Inherited, AcceptedAt,
                            Now);
}

Async<void> Holder::loadJobsAndStart() {
  const auto Self = this->shared_from_this();
  const Instant StartedAt = this->Deps.Clock.now();
  // Once the head row is claimed, no previous holder can store progress.
  bool HeadClaimed = false;
  std::size_t WithProgress = 0;
  while (!this->Context->Stopped && !this->Loaded) {
    HeadClaimed = HeadClaimed || co_await this->claimProgressHead();
    if (this->Ownership.isLost())
      co_return;
    if (!HeadClaimed) {
      co_await sleepFor(HeadRetryPause);
      continue;
    }
    const Instant RequestedAt = this->Deps.Clock.now();
    // The head row was claimed at this version. In an older state of the table
    // jobs may be missing, or ends that previous holders have stored.
    const auto Stored = co_await this->Deps.Jobs.loadAll(this->HeadVersion);
    if (this->Context->Stopped)
      co_return;
    if (!Stored)
      logEvent(LogLevel::Warning, "holder.load_failed",
               {{"reason", Stored.error().Detail}});
    // Without a recent renewal another daemon may have claimed ownership and
    // may start these jobs too.
    if (!Stored || !this->Ownership.mayAdmitJobs(this->Deps.Clock.now())) {
      co_await sleepFor(RetryPause);
      continue;
    }
    this->JobsReadAt = RequestedAt;
    WithProgress = Stored->Progress.size();
    for (const JobChange &Change : Stored->Changes) {
      const auto Progress = Stored->Progress.find(Change.Job);
      this->applyChange(Change, Progress == Stored->Progress.end()
                                    ? nullptr
                                    : &Progress->second);
    }
    this->JobsVersion = Stored->Version;
    this->Loaded = true;
  }
  const Duration Elapsed = this->Deps.Clock.now() - StartedAt;
  logEvent(LogLevel::Info, "holder.loaded",
           {{"jobs", std::to_string(this->JobScheduler.jobs().size())},
            {"with_progress", std::to_string(WithProgress)},
            {"token", std::to_string(this->Claim.Token)},
            {"took_ms",
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(Elapsed).count())}});
  spawn(this->Deps.Executor, "holder-jobs",
        [Self] { return Self->watchJobs(); });
  spawn(this->Deps.Executor, "holder-registry",
        [Self] { return Self->watchRegistry(); });
  spawn(this->Deps.Executor, "holder-decide",
        [Self] { return Self->scheduleLoop(); });
  spawn(this->Deps.Executor, "holder-store",
        [Self] { return Self->storeProgressLoop(); });
  spawn(this->Deps.Executor, "holder-vms",
        [Self] { return Self->Coordinator->run(); });
}

Async<void> Holder::applyStoredChanges(std::vector<JobChange> Changes) {
  for (const JobChange &Change : Changes)
    if (Change.Cancelled)
      this->applyChange(Change, nullptr);
  // Without a recent renewal another daemon may have claimed ownership before
  // these jobs were accepted, and may start them too.
  while (!this->Context->Stopped &&
         !this->Ownership.mayAdmitJobs(this->Deps.Clock.now()))
    co_await sleepFor(OwnershipPollInterval);
  for (const JobChange &Change : Changes)
    if (!this->Context->Stopped)
      this->applyChange(Change, nullptr);
  this->SchedulingEvent.notify();
}

void Holder::applyNotifiedChange(const JobChange &Change) {
  if (!this->Loaded || this->Context->Stopped)
    return; // The change will be read from the table later.
  const bool TooLate = !this->Ownership.mayAdmitJobs(this->Deps.Clock.now());
  if (TooLate && !Change.Cancelled)
    return;
  this->applyChange(Change, nullptr);
  this->SchedulingEvent.notify();
}

Async<void> Holder::watchJobs() {
  while (!this->Context->Stopped) {
    const Instant RequestedAt = this->Deps.Clock.now();
    auto Changes = co_await this->Deps.Jobs.waitForChanges(this->JobsVersion,
                                                           JobsPollWait);
    if (this->Context->Stopped)
      co_return;
    if (Changes) {
      const bool Unchanged = Changes->empty();
      if (!Unchanged)
        co_await this->applyStoredChanges(std::move(*Changes));
      this->JobsReadAt = RequestedAt;
      if (Unchanged)
        continue;
      // Daemons notify the holder of new jobs directly, so this poll can wait.
      co_await sleepFor(JobsBatchPause);
      continue;
    }
    if (Changes.error().Kind == ErrorKind::PlatformHistoryGone) {
      logEvent(LogLevel::Warning, "holder.history_gone",
               {{"version", std::to_string(this->JobsVersion)}});
      if (auto Stored = co_await this->Deps.Jobs.loadAll()) {
        if (this->Context->Stopped)
          co_return;
        this->JobsVersion = Stored->Version;
        co_await this->applyStoredChanges(std::move(Stored->Changes));
        this->JobsReadAt = RequestedAt;
      }
    }
    co_await sleepFor(RetryPause);
  }
}

void Holder::applyRegistry(const RegistrySnapshot &Snapshot) {
  const Instant Now = this->Deps.Clock.now();
  std::set<UpstreamId> ListedIds;
  for (const UpstreamReport &Report : Snapshot.Upstreams) {
    ListedIds.insert(Report.Id);
    this->MissingFromRegistrySince.erase(Report.Id);
    this->JobScheduler.updateUpstream(Report, Now);
    if (!this->JobScheduler.upstreams().contains(Report.Id))
      continue; // The entry belongs to an incarnation that has ended.
    auto &Link = this->Links[Report.Id];
    const bool Moved = Link && Link->report().Address != Report.Address;
    if (Link && !Link->isClosed() && !Moved) {
      const std::int64_t Known = Link->report().IncarnationStartMs;
      if (Known && Known < Report.IncarnationStartMs)
        Link->followRestart(Report.IncarnationStartMs);
      continue;
    }
    if (Link)
      Link->close();
    Link = std::make_shared<UpstreamLink>(this->Context, Report,
                                          this->Deps.Upstreams.connect(Report));
    Link->run();
  }
  for (auto &[Id, Link] : this->Links)
    if (!ListedIds.contains(Id) &&
        Now - this->MissingFromRegistrySince.try_emplace(Id, Now)
                    .first->second >
            MissingLimit)
      this->JobScheduler.markUnregistered(Id, Now);
  // A closed link is removed only once its registry entry is gone as well.
  std::erase_if(this->Links, [&](const auto &Entry) {
    return !ListedIds.contains(Entry.first) && Entry.second->isClosed();
  });
  this->Deps.Stats.setGauge("registry_upstreams",
                            double(Snapshot.Upstreams.size()));
  if (Snapshot.SkippedRows)
    this->Deps.Stats.count("registry_rows_skipped_total",
                           std::uint64_t(Snapshot.SkippedRows));
}

Async<void> Holder::watchRegistry() {
  AdaptiveTimeLimit Limit(RegistryTimeout, MaxRegistryTimeout);
  while (!this->Context->Stopped) {
    const Instant SentAt = this->Deps.Clock.now();
    const auto Snapshot =
        co_await this->Deps.Source.readRegistry(Limit.current());
    if (this->Context->Stopped)
      co_return;
    if (Snapshot) {
      Limit.recordAnswer(this->Deps.Clock.now() - SentAt);
      this->applyRegistry(*Snapshot);
      this->SchedulingEvent.notify();
      if (!std::exchange(this->PublisherStarted, true))
        spawn(this->Deps.Executor, "holder-evacuations",
              [Self = this->shared_from_this()] {
                return Self->Publisher->run();
              });
    } else {
      Limit.recordTimeout(this->Deps.Store.reachable());
      // After a failed read it is unknown which entries are missing.
      this->MissingFromRegistrySince.clear();
    }
    co_await sleepFor(RegistryInterval);
  }
}

void Holder::sendCommand(Command &Issued) {
  if (auto *ForAdvisor = std::get_if<AdviceRequest>(&Issued)) {
    spawn(this->Deps.Executor, "holder-advice",
          [Self = this->shared_from_this(), Request = std::move(*ForAdvisor)] {
            return Self->askAdvice(Request);
          });
    return;
  }
  std::visit(
      [this](auto &Typed) {
        if constexpr (requires { Typed.Upstream; }) {
          const auto Found = this->Links.find(Typed.Upstream);
          if (Found != this->Links.end() && !Found->second->isClosed())
            Found->second->send(std::move(Typed));
          else if constexpr (std::is_same_v<std::decay_t<decltype(Typed)>,
                                            StartCommand>)
            this->JobScheduler.handleStartOutcome(Typed.Upstream, Typed.Run,
                                                  StartOutcome::Refused,
                                                  this->Deps.Clock.now());
        }
      },
      Issued);
}

Async<void> Holder::askAdvice(AdviceRequest Request) {
  Result<PlacementAdvice> Answer =
      makeError(ErrorKind::UpstreamUnreachable, "no advisor is configured");
  if (this->Deps.Advisor)
    Answer = co_await this->Deps.Advisor->advise(Request, Request.Timeout);
  if (this->Context->Stopped)
    co_return;
  const Instant Now = this->Deps.Clock.now();
  this->Deps.Stats.count(Answer ? "advice_answers_total"
                                : "advice_failures_total");
  if (Answer) {
    this->JobScheduler.handleAdvice(Request, Answer->Tickets, Answer->Validity,
                                    Now);
  } else {
    logEvent(
        LogLevel::Warning, "advice.failed",
        {{"job", Request.Job.str()},
         {"reason", Answer.error().Detail},
         {"expected_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(Request.Cost).count())},
         {"time_limit_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(Request.Timeout)
                  .count())}});
    this->JobScheduler.handleAdviceFailure(
        Request, adviceFailureOf(Answer.error().Kind), Now);
  }
  this->SchedulingEvent.notify();
}

bool Holder::knowsOperatorRows(Instant Now) {
  const StartHold Hold =
      this->Deps.OperatorRows.startHold(Now, this->Deps.Store.reachable());
  if (Hold == std::exchange(this->LastHold, Hold))
    return Hold == StartHold::None;
  logEvent(Hold == StartHold::None ? LogLevel::Info : LogLevel::Warning,
           Hold == StartHold::None ? "holder.starts_allowed"
                                   : "holder.starts_held",
           {{"reason", Hold == StartHold::Stale ? "operator rows are stale"
                       : Hold == StartHold::NotInformed
                           ? "operator rows are not known yet"
                           : ""}});
  return Hold == StartHold::None;
}

Async<void> Holder::scheduleLoop() {
  while (!this->Context->Stopped) {
    const bool Notified = co_await this->SchedulingEvent.wait(DecisionInterval);
    if (this->Context->Stopped)
      co_return;
    if (Notified)
      co_await sleepFor(DecisionDelay);
    const Instant Now = this->Deps.Clock.now();
    // While the table is away, no daemon can acknowledge a cancellation, and
    // the ownership lease limits how long this one goes on.
    const bool Stale =
        Now - this->JobsReadAt > MaxJobsAge && this->Deps.Store.reachable();
    if (Stale != std::exchange(this->JobsAreStale, Stale))
      logEvent(LogLevel::Warning,
               Stale ? "holder.view_stale" : "holder.view_fresh",
               {{"version", std::to_string(this->JobsVersion)}});
    const bool KnowsRows = this->knowsOperatorRows(Now);
    if (Stale || !KnowsRows || !this->Ownership.maySendCommands(Now)) {
      co_await sleepFor(RetryPause);
      continue;
    }
    this->JobScheduler.setEvacuatedZones(this->Deps.Evacuations.zones());
    this->JobScheduler.schedule(Now, unixMillis());
    for (Command &Issued : this->JobScheduler.takeCommands())
      this->sendCommand(Issued);
    this->StoreEvent.notify();
    // Leaves most of the processor time to requests, leases and the change
    // feed, however long a run of the scheduler takes.
    const Duration Cost = this->Deps.Clock.now() - Now;
    this->Deps.Stats.observe("decision", "all", Cost);
    co_await sleepFor(std::min<Duration>(Cost * IdlePerDecision, MaxIdle));
  }
}

void Holder::publishGauges() {
  this->Deps.Stats.setGauge("holder_jobs",
                            double(this->JobScheduler.jobs().size()));
  this->Deps.Stats.setGauge("holder_token", double(this->Claim.Token));
  const CrashCounts Crashes = this->JobScheduler.crashCounts();
  this->Deps.Stats.setGauge("holder_upstream_crashes",
                            double(Crashes.Upstreams));
  this->Deps.Stats.setGauge("holder_crash_suspicions",
                            double(Crashes.Suspicions));
  this->Deps.Stats.setGauge("holder_crash_failed_jobs",
                            double(Crashes.GivenUpJobs));
  const SpeedCounts Speed = this->JobScheduler.speedCounts();
  this->Deps.Stats.setGauge("holder_slow_upstreams",
                            double(Speed.SlowUpstreams));
  this->Deps.Stats.setGauge("holder_unhealthy_upstreams",
                            double(Speed.UnhealthyUpstreams));
  this->Deps.Stats.setGauge("holder_run_copies", double(Speed.Copies));
}

} // namespace sardinerill::site
