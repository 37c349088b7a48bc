#include "holder.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <set>

namespace sardinerill::site {

namespace {

/// Long-poll time for changes of jobs; short enough to detect a dead connection
/// within the contact bound.
constexpr milliseconds JobsWait{1000};
/// Pause between reads, so that changes within this time are read in one batch.
constexpr milliseconds JobsPause{100};
/// Time between two reads of the registry.
constexpr milliseconds RegistryInterval{500};
constexpr milliseconds RegistryLimit{900};
constexpr milliseconds RetryPause{100};
constexpr milliseconds TakeOnPoll{20};
constexpr milliseconds HeadRetryPause{10};
/// The scheduler runs at least this often, because deadlines and timeouts pass
/// without any event.
constexpr milliseconds DecisionInterval{100};
/// Events within this time are handled in one run of the scheduler.
constexpr milliseconds DecisionDelay{2};
/// Idle time after a run of the scheduler, as a multiple of the run's duration,
/// and its upper bound.
constexpr int RestPerDecision = 2;
constexpr milliseconds LongestRest{150};
constexpr milliseconds AdviceLimit{2500};
/// Nothing is started on an older view of the jobs: on the strictest known site
/// a cancellation must be effective 3 s after its acknowledgement.
constexpr milliseconds OldestView{2500};
/// A registry entry that is missing from all successful reads for this long is
/// treated as removed.
constexpr milliseconds MissingLimit{2500};
/// Longest time from sending a stop until it takes effect: every known site
/// executes it within 0.9 s, plus the time on the network.
constexpr milliseconds LongestStop{1000};
/// Reads around a loss of the table's change history can be this stale.
constexpr seconds UnknownJobsTime{12};

/// \returns when the previous holder has sent its last command at the latest.
Instant lastOrderOf(const Succession &From) {
  return From.Before == Predecessor::MayOrder
             ? From.PredecessorUntil
             : std::min(From.PredecessorUntil, From.ClaimSentAt);
}

/// \returns whether a previous holder may have started a job that was stored
/// with \p Version.
bool mayBeStarted(const Succession &From, std::int64_t Version) {
  if (From.QuietVersion != 0 && Version > From.QuietVersion)
    return false;
  return Version < From.Token;
}

/// \returns when every lease sent by previous holders has expired. By then each
/// run they started has ended or was listed.
Instant inheritedUntil(const HolderParts &Parts, const Succession &From) {
  return lastOrderOf(From) + UpstreamLease::longestLapse(Parts.Settings.Bounds);
}

SchedulerOptions schedulerOptions(const HolderParts &Parts,
                                  const Succession &From) {
  return {.Bounds = Parts.Settings.Bounds,
          .Term = From.Term,
          .InheritedUntil = inheritedUntil(Parts, From),
          .StopsPendingUntil = lastOrderOf(From) + LongestStop,
          .UnknownJobsUntil = From.ClaimSentAt + UnknownJobsTime};
}

} // namespace

Holder::Holder(HolderParts Parts, OwnershipTimes Times, Succession From)
    : Parts(Parts), From(From), Ownership(Times, From.Token, From.ClaimSentAt),
      Plan(schedulerOptions(Parts, From)), Decide(Parts.Executor),
      Store(Parts.Executor),
      Context(std::make_shared<LinkContext>(
          LinkContext{.Executor = Parts.Executor,
                      .Clock = Parts.Clock,
                      .Plan = this->Plan,
                      .Ownership = this->Ownership,
                      .Decide = this->Decide,
                      .Bounds = this->Parts.Settings.Bounds,
                      .InheritedUntil = inheritedUntil(Parts, From)})),
      Keeper(
          std::make_shared<VmKeeper>(VmKeeperParts{.Executor = Parts.Executor,
                                                   .Clock = Parts.Clock,
                                                   .Store = Parts.Store,
                                                   .Source = Parts.Source,
                                                   .Vms = Parts.Vms,
                                                   .Settings = Parts.Settings,
                                                   .Plan = this->Plan,
                                                   .Ownership = this->Ownership,
                                                   .Decide = this->Decide,
                                                   .Figures = Parts.Figures},
                                     lastOrderOf(From))) {}

void Holder::run() {
  const auto Self = this->shared_from_this();
  spawn(this->Parts.Executor, "holder-load",
        [Self] { return Self->loadLoop(); });
  spawn(this->Parts.Executor, "holder-vm-list",
        [Kept = this->Keeper] { return Kept->listFirst(); });
}

void Holder::stop() {
  this->Context->Stopped = true;
  this->Keeper->stop();
  for (auto &[Id, Link] : this->Links)
    Link->close();
  this->Decide.notify();
  this->Store.notify();
}

void Holder::configure(const SiteConfiguration &Configuration) {
  this->Plan.configure(Configuration);
  this->Keeper->configure(Configuration);
  this->Decide.notify();
}

void Holder::addWaves(const std::vector<MaintenanceWave> &Waves) {
  this->Keeper->addWaves(Waves);
}

std::optional<JobState> Holder::stateOf(const JobId &Job) const {
  return this->Plan.stateOf(Job);
}

int Holder::pendingJobs(const QueueId &Queue) const {
  return this->Plan.pendingJobs(Queue);
}

void Holder::take(const JobChange &Change, const JobProgress *Progress) {
  const Instant Now = this->Parts.Clock.now();
  if (Change.Cancelled) {
    this->Plan.cancelJob(Change.Job, Now);
    return;
  }
  if (this->Plan.knows(Change.Job))
    return;
  if (Change.Ended) {
    this->Plan.addEndedJob(Change.Job, *Change.Ended, Now);
    return;
  }
  if (!Change.Spec)
    return;
  const std::int64_t AgeMs =
      std::max<std::int64_t>(0, unixMillis() - Change.Spec->AcceptedAtMs);
  const bool Inherited = mayBeStarted(this->From, Change.Version);
  // The wall clock may have jumped, so the stored time is used only for jobs
  // that were accepted before this holder's claim.
  const Instant AcceptedAt =
      Change.Version < this->From.Token ? Now - milliseconds(AgeMs) : Now;
  std::optional<JobProgress> Known;
  if (Progress)
    Known = *Progress;
  this->Plan.addJob(*Change.Spec, Known, Inherited, AcceptedAt, Now);
}

Async<void> Holder::loadLoop() {
  const auto Self = this->shared_from_this();
  const Instant Began = this->Parts.Clock.now();
  // Once the head row is claimed, no previous holder can store progress.
  bool HasHead = false;
  while (!this->Context->Stopped && !this->Loaded) {
    HasHead = HasHead || co_await this->takeHead();
    if (!HasHead) {
      co_await pauseFor(HeadRetryPause);
      continue;
    }
    const Instant AskedAt = this->Parts.Clock.now();
    const auto Stored = co_await this->Parts.Jobs.loadAll();
    if (this->Context->Stopped)
      co_return;
    // Without a recent renewal another daemon may have claimed ownership
    // already and would not expect these jobs to be started here.
    if (!Stored || !this->Ownership.mayTakeOn(this->Parts.Clock.now())) {
      co_await pauseFor(RetryPause);
      continue;
    }
    this->JobsSeenAt = AskedAt;
    for (const JobChange &Change : Stored->Changes) {
      const auto Progress = Stored->Progress.find(Change.Job);
      this->take(Change, Progress == Stored->Progress.end()
                             ? nullptr
                             : &Progress->second);
    }
    this->JobsVersion = Stored->Version;
    this->Loaded = true;
  }
  const Duration Took = this->Parts.Clock.now() - Began;
  logEvent(LogLevel::Info, "holder.loaded",
           {{"jobs", std::to_string(this->Plan.jobs().size())},
            {"token", std::to_string(this->From.Token)},
            {"took_ms",
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(Took).count())}});
  spawn(this->Parts.Executor, "holder-jobs",
        [Self] { return Self->followJobs(); });
  spawn(this->Parts.Executor, "holder-registry",
        [Self] { return Self->followRegistry(); });
  spawn(this->Parts.Executor, "holder-decide",
        [Self] { return Self->decideLoop(); });
  spawn(this->Parts.Executor, "holder-store",
        [Self] { return Self->storeLoop(); });
  spawn(this->Parts.Executor, "holder-vms",
        [Self] { return Self->Keeper->run(); });
}

Async<void> Holder::takeOn(std::vector<JobChange> Changes) {
  for (const JobChange &Change : Changes)
    if (Change.Cancelled)
      this->take(Change, nullptr);
  // Without a recent renewal another daemon may have claimed ownership before
  // these jobs were accepted, and would not expect them to run already.
  while (!this->Context->Stopped &&
         !this->Ownership.mayTakeOn(this->Parts.Clock.now()))
    co_await pauseFor(TakeOnPoll);
  for (const JobChange &Change : Changes)
    if (!this->Context->Stopped)
      this->take(Change, nullptr);
  this->Decide.notify();
}

void Holder::hear(const JobChange &Change) {
  if (!this->Loaded || this->Context->Stopped)
    return; // The change will be read from the table later.
  const bool TooLate = !this->Ownership.mayTakeOn(this->Parts.Clock.now());
  if (TooLate && !Change.Cancelled)
    return;
  this->take(Change, nullptr);
  this->Decide.notify();
}

Async<void> Holder::followJobs() {
  while (!this->Context->Stopped) {
    const Instant AskedAt = this->Parts.Clock.now();
    auto Changes =
        co_await this->Parts.Jobs.changes(this->JobsVersion, JobsWait);
    if (this->Context->Stopped)
      co_return;
    if (Changes) {
      const bool Quiet = Changes->empty();
      if (!Quiet)
        co_await this->takeOn(std::move(*Changes));
      this->JobsSeenAt = AskedAt;
      if (Quiet)
        continue;
      co_await pauseFor(JobsPause); // Daemons notify the holder of new jobs
                                    // directly, so this poll can wait.
      continue;
    }
    if (Changes.error().Kind == ErrorKind::PlatformHistoryGone) {
      logEvent(LogLevel::Warning, "holder.history_gone",
               {{"version", std::to_string(this->JobsVersion)}});
      if (auto Stored = co_await this->Parts.Jobs.loadAll()) {
        if (this->Context->Stopped)
          co_return;
        this->JobsVersion = Stored->Version;
        co_await this->takeOn(std::move(Stored->Changes));
        this->JobsSeenAt = AskedAt;
      }
    }
    co_await pauseFor(RetryPause);
  }
}

void Holder::take(const RegistryView &View) {
  const Instant Now = this->Parts.Clock.now();
  std::set<UpstreamId> Seen;
  for (const UpstreamReport &Report : View.Upstreams) {
    Seen.insert(Report.Id);
    this->MissingSince.erase(Report.Id);
    this->Plan.reportUpstream(Report, Now);
    if (!this->Plan.upstreams().contains(Report.Id))
      continue; // The entry belongs to an incarnation that has ended.
    auto &Link = this->Links[Report.Id];
    const bool Other = Link && (Link->report().Address != Report.Address ||
                                (Report.BornMs && Link->report().BornMs &&
                                 Link->report().BornMs < Report.BornMs));
    if (Link && !Link->closed() && !Other)
      continue;
    if (Link)
      Link->close();
    Link = std::make_shared<UpstreamLink>(
        this->Context, Report, this->Parts.Upstreams.connect(Report));
    Link->run();
  }
  for (auto &[Id, Link] : this->Links)
    if (!Seen.contains(Id) &&
        Now - this->MissingSince.try_emplace(Id, Now).first->second >
            MissingLimit)
      this->Plan.unlistUpstream(Id, Now);
  // A closed link is removed only once its registry entry is gone as well.
  std::erase_if(this->Links, [&](const auto &Entry) {
    return !Seen.contains(Entry.first) && Entry.second->closed();
  });
  this->Parts.Figures.setGauge("registry_upstreams",
                               double(View.Upstreams.size()));
  if (View.Unreadable)
    this->Parts.Figures.count("registry_rows_skipped_total",
                              std::uint64_t(View.Unreadable));
}

Async<void> Holder::followRegistry() {
  while (!this->Context->Stopped) {
    const auto View = co_await this->Parts.Source.readRegistry(RegistryLimit);
    if (this->Context->Stopped)
      co_return;
    if (View) {
      this->take(*View);
      this->Decide.notify();
    } else {
      // A failed read says nothing about missing entries.
      this->MissingSince.clear();
    }
    co_await pauseFor(RegistryInterval);
  }
}

void Holder::carryOut(Order &Wanted) {
  if (auto *Question = std::get_if<AdviceOrder>(&Wanted)) {
    spawn(this->Parts.Executor, "holder-advice",
          [Self = this->shared_from_this(), Asked = std::move(*Question)] {
            return Self->askAdvice(Asked);
          });
    return;
  }
  std::visit(
      [this](auto &Each) {
        if constexpr (requires { Each.Where; }) {
          const auto Found = this->Links.find(Each.Where);
          if (Found != this->Links.end() && !Found->second->closed())
            Found->second->send(std::move(Each));
          else if constexpr (std::is_same_v<std::decay_t<decltype(Each)>,
                                            StartOrder>)
            this->Plan.startAnswered(Each.Where, Each.Run,
                                     StartOutcome::Refused,
                                     this->Parts.Clock.now());
        }
      },
      Wanted);
}

Async<void> Holder::askAdvice(AdviceOrder Question) {
  Advice Given;
  if (this->Parts.Advisor) {
    auto Answer = co_await this->Parts.Advisor->ask(Question, AdviceLimit);
    if (Answer)
      Given = std::move(*Answer);
    else
      logEvent(
          LogLevel::Warning, "advice.failed",
          {{"job", Question.Job.str()}, {"reason", Answer.error().Detail}});
  }
  if (this->Context->Stopped)
    co_return;
  this->Plan.adviceAnswered(Question, Given.Tickets, Given.Validity,
                            this->Parts.Clock.now());
  this->Decide.notify();
}

Async<void> Holder::decideLoop() {
  while (!this->Context->Stopped) {
    const bool News = co_await this->Decide.wait(DecisionInterval);
    if (this->Context->Stopped)
      co_return;
    if (News)
      co_await pauseFor(DecisionDelay);
    const Instant Now = this->Parts.Clock.now();
    const bool Stale = Now - this->JobsSeenAt > OldestView;
    if (Stale != std::exchange(this->ViewIsStale, Stale))
      logEvent(LogLevel::Warning,
               Stale ? "holder.view_stale" : "holder.view_fresh",
               {{"version", std::to_string(this->JobsVersion)}});
    if (Stale || !this->Ownership.mayOrder(Now)) {
      co_await pauseFor(RetryPause);
      continue;
    }
    this->Plan.decide(Now, unixMillis());
    for (Order &Wanted : this->Plan.takeOrders())
      this->carryOut(Wanted);
    this->Store.notify();
    // Leaves most of the processor time to requests, leases and the change
    // feed, however long a run of the scheduler takes.
    const Duration Cost = this->Parts.Clock.now() - Now;
    this->Parts.Figures.observe("decision", "all", Cost);
    co_await pauseFor(std::min<Duration>(Cost * RestPerDecision, LongestRest));
  }
}

void Holder::publishFigures() {
  this->Parts.Figures.setGauge("holder_jobs", double(this->Plan.jobs().size()));
  this->Parts.Figures.setGauge("holder_token", double(this->From.Token));
}

} // namespace sardinerill::site
