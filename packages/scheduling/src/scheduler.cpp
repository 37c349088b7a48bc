#include "jobgraph.h"
#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// How long an ended incarnation of an upstream is ignored. Its registry entry
/// is gone after three heartbeats, and reads are at most some seconds old.
constexpr seconds RetiredRetention{300};

} // namespace

std::string describe(const TaskId &Id) {
  return Id.Job.str() + "." + std::to_string(Id.Occurrence) + "." +
         std::to_string(Id.Step) + "." + std::to_string(Id.Index);
}

std::string describe(const RunId &Id) {
  return describe(Id.Task) + "/" + std::to_string(Id.Number);
}

std::string millisAgo(const std::optional<Instant> &Since, Instant Now) {
  if (!Since)
    return "never";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(Now - *Since).count());
}

JobRecord *Scheduler::Impl::job(const JobId &Id) {
  const auto Found = this->Jobs.find(Id);
  return Found == this->Jobs.end() ? nullptr : Found->second.get();
}

TaskRecord *Scheduler::Impl::task(const TaskId &Id) {
  JobRecord *Job = this->job(Id.Job);
  if (!Job)
    return nullptr;
  const auto Found = Job->Occurrences.find(Id.Occurrence);
  if (Found == Job->Occurrences.end() || Id.Step < 0 ||
      Id.Step >= int(Found->second.Steps.size()))
    return nullptr;
  StepRecord &Step = Found->second.Steps[std::size_t(Id.Step)];
  if (Id.Index < 0 || Id.Index >= int(Step.Tasks.size()))
    return nullptr;
  return &Step.Tasks[std::size_t(Id.Index)];
}

const StepSpec *Scheduler::Impl::spec(const TaskId &Id) {
  JobRecord *Job = this->job(Id.Job);
  if (!Job || Id.Step < 0 || Id.Step >= int(Job->Spec.Steps.size()))
    return nullptr;
  return &Job->Spec.Steps[std::size_t(Id.Step)];
}

const QueueSettings &
Scheduler::Impl::queueSettingsOf(const JobRecord &Job) const {
  const QueueSettings *InForce = this->Configuration.queue(Job.Spec.Queue.Id);
  return InForce ? *InForce : Job.Spec.Queue;
}

bool Scheduler::Impl::exceedsShare(const JobRecord &Job) {
  const OrganisationSettings *Settings =
      this->Configuration.organisation(Job.Spec.Organisation);
  if (!Settings || Settings->Share <= 0)
    return false;
  return !this->ShareLimiters[Job.Spec.Organisation].tryConsume(Settings->Share,
                                                                Job.AcceptedAt);
}

void Scheduler::Impl::markChanged(JobRecord &Job) {
  ++Job.Revision;
  this->ChangedJobs.insert(Job.Spec.Id);
}

void Scheduler::Impl::endJob(JobRecord &Job, JobState State,
                             std::string_view Reason, Instant Now) {
  if (Job.ended())
    return;
  this->recordInheritedEnd(Job);
  Job.State = State;
  Job.EndedAt = Now;
  this->LiveJobs.erase(Job.Spec.Id);
  for (auto &[Number, Occurrence] : Job.Occurrences)
    for (StepRecord &Step : Occurrence.Steps)
      for (TaskRecord &Task : Step.Tasks)
        for (const RunPtr &Running : Task.Runs)
          this->requestStop(Running);
  this->markChanged(Job);
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Now - Job.AcceptedAt);
  logEvent(LogLevel::Info, "job.ended",
           {{"job", Job.Spec.Id.str()},
            {"queue", Job.Spec.Queue.Id.str()},
            {"state", std::string(toString(State))},
            {"reason", std::string(Reason)},
            {"age_ms", std::to_string(Age.count())}});
}

void Scheduler::Impl::createDueOccurrences(JobRecord &Job,
                                           std::int64_t UnixMs) {
  const Recurrence &Due = Job.Spec.Schedule;
  while (Job.NextOccurrence < Due.Count &&
         Due.FirstDueMs + Job.NextOccurrence * Due.IntervalMs <= UnixMs)
    this->createNextOccurrence(Job);
}

void Scheduler::Impl::createNextOccurrence(JobRecord &Job) {
  const int Number = Job.NextOccurrence++;
  if (!Job.Occurrences.contains(Number))
    Job.Occurrences[Number] = makeOccurrence(Job.Spec, Number, nullptr);
}

void Scheduler::Impl::createListedOccurrence(const TaskId &Listed) {
  JobRecord *Job = this->job(Listed.Job);
  if (!Job || Job->ended() || Listed.Occurrence >= Job->Spec.Schedule.Count)
    return;
  while (Job->NextOccurrence <= Listed.Occurrence)
    this->createNextOccurrence(*Job);
}

void Scheduler::Impl::rebuildPools() {
  this->ByPool.clear();
  for (auto &[Id, Upstream] : this->Upstreams)
    this->ByPool[Upstream->Report.Pool].push_back(Upstream.get());
}

Scheduler::Scheduler(SchedulerOptions Options)
    : Inner(std::make_unique<Impl>(Options)) {}

Scheduler::~Scheduler() = default;

void Scheduler::configure(const SiteConfiguration &Configuration) {
  this->Inner->Configuration = Configuration;
  for (const QueueSettings &Queue : Configuration.Queues)
    this->Inner->PoolsOfQueue[Queue.Id].insert(Queue.Pool);
}

void Scheduler::addJob(JobSpec Spec, const std::optional<JobProgress> &Progress,
                       bool Inherited, Instant AcceptedAt, Instant Now) {
  if (this->Inner->Jobs.contains(Spec.Id))
    return;
  auto Job = std::make_unique<JobRecord>();
  Job->Spec = std::move(Spec);
  Job->Inherited = Inherited;
  Job->AcceptedAt = AcceptedAt;
  Job->EstimatedCriticalPath = criticalPath(Job->Spec, 1.0);
  Job->OverShare = this->Inner->exceedsShare(*Job);
  if (Progress)
    Job->State = Progress->State;
  this->Inner->HasLoadedProgress |= Progress.has_value();
  if (Progress)
    for (const PoolId &Pool : Progress->OtherPools)
      Job->OtherPools.emplace(Pool, 0);
  if (Job->ended()) {
    Job->EndedAt = Now;
  } else {
    if (Job->Spec.Schedule.Count <= 0)
      Job->Occurrences[0] =
          makeOccurrence(Job->Spec, 0, Progress ? &*Progress : nullptr);
    else if (Progress)
      for (const auto &[Number, Tasks] : Progress->Tasks)
        Job->Occurrences[Number] =
            makeOccurrence(Job->Spec, Number, &*Progress);
    Job->Started = Progress.has_value();
    if (this->Inner->Options.Policy.FairShares) {
      this->Inner->SharesToRecount |= Inherited || AcceptedAt < Now;
      this->Inner->countArrival(*Job, Now);
    }
    if (!Inherited && !Job->Occurrences.empty() &&
        !hasLongRunningStep(Job->Spec))
      this->Inner->ArrivalRates[Job->Spec.Queue.Id].add(
          this->Inner->Options.Policy.LearnRunTimes
              ? this->Inner->forecastOf(*Job, Now).CpuSeconds
              : remainingCpuSeconds(Job->Spec, Job->Occurrences.begin()->second,
                                    1.0),
          Now);
    this->Inner->LiveJobs.emplace(Job->Spec.Id, Job.get());
  }
  const JobId Id = Job->Spec.Id;
  this->Inner->Jobs[Id] = std::move(Job);
  this->Inner->adoptRememberedRuns(Id, Now);
}

void Scheduler::addEndedJob(JobSpec Spec, JobState State, Instant Now) {
  const JobId Id = Spec.Id;
  auto &Existing = this->Inner->Jobs[Id];
  if (Existing)
    return;
  Existing = std::make_unique<JobRecord>();
  Existing->Spec = std::move(Spec);
  Existing->State = State;
  Existing->EndedAt = Now;
  this->Inner->adoptRememberedRuns(Id, Now);
}

void Scheduler::cancelJob(const JobId &Id, Instant Now) {
  if (JobRecord *Job = this->Inner->job(Id))
    this->Inner->endJob(*Job, JobState::Cancelled, "cancelled by the caller",
                        Now);
}

bool Scheduler::hasJob(const JobId &Job) const {
  return this->Inner->Jobs.contains(Job);
}

std::optional<JobState> Scheduler::stateOf(const JobId &Id) const {
  const JobRecord *Job = this->Inner->job(Id);
  if (!Job)
    return std::nullopt;
  if (!Job->ended())
    return Job->Started ? JobState::Running : JobState::Queued;
  // The end is shown once it is stored, so that a new holder reports
  // the same state.
  return Job->stored() ? Job->State : JobState::Running;
}

int Scheduler::pendingJobs(const QueueId &Queue) const {
  return int(
      std::ranges::count_if(this->Inner->LiveJobs, [&](const auto &Entry) {
        return Entry.second->Spec.Queue.Id == Queue && !Entry.second->Started;
      }));
}

void Scheduler::retireUpstream(const UpstreamId &Id, std::string_view Reason,
                               Instant Now) {
  if (const auto Found = this->Inner->Upstreams.find(Id);
      Found != this->Inner->Upstreams.end())
    this->Inner->Retired[Id] = {Found->second->Report.IncarnationStartMs, Now};
  std::erase_if(this->Inner->Retired, [&](const auto &Entry) {
    return Now - Entry.second.RetiredAt > RetiredRetention;
  });
  this->removeUpstream(Id, Reason, Now);
}

std::vector<UpstreamId>
Scheduler::unansweredUpstreams(Instant ReportedBefore) const {
  std::vector<UpstreamId> Unanswered;
  for (const auto &[Id, Upstream] : this->Inner->Upstreams)
    // Runs are kept from the process that had the id before.
    if (!Upstream->Answered && Upstream->Runs.empty() &&
        Upstream->ReportedAt < ReportedBefore)
      Unanswered.push_back(Id);
  return Unanswered;
}

void Scheduler::setHostedUpstreams(const std::vector<VmRecord> &Vms) {
  auto &HostedCapacity = this->Inner->HostedCapacity;
  HostedCapacity.clear();
  this->Inner->VmsListed = true;
  this->Inner->HasUnusedVms = false;
  std::set<UpstreamId> Present;
  for (const VmRecord &Vm : Vms) {
    Present.insert(Vm.Upstream);
    if (Vm.State == VmState::Up && !Vm.Upstream.empty()) {
      HostedCapacity[Vm.Pool][Vm.Upstream] = Vm.Capacity;
      if (const auto Hosted = this->Inner->Upstreams.find(Vm.Upstream);
          Hosted != this->Inner->Upstreams.end())
        Hosted->second->ListedOnVm = true;
    }
    const auto Pool = this->Inner->Configuration.Pools.find(Vm.Pool);
    const bool IsStandby =
        Pool != this->Inner->Configuration.Pools.end() && Pool->second.Standby;
    this->Inner->HasUnusedVms |=
        Vm.State == VmState::Moving ||
        (Vm.State == VmState::Up && (IsStandby || Vm.Upstream.empty()));
  }
  // A cordon lasts as long as a VM runs an upstream with this id, also if its
  // registry entry is gone.
  std::erase_if(this->Inner->Cordoned,
                [&](const UpstreamId &Id) { return !Present.contains(Id); });
}

UpstreamLoad Scheduler::loadOf(const UpstreamId &Id, Instant Now) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return {};
  const UpstreamRecord &Upstream = *Found->second;
  const auto LongRunning =
      std::ranges::count_if(Upstream.Runs, [](const auto &Entry) {
        return Entry.second->LongRunning;
      });
  return {.Fresh = this->Inner->hasRecentAnswer(Upstream, Now),
          .Runs = int(Upstream.Runs.size() + Upstream.UncountedRuns.size()),
          .LongRunningTasks = int(LongRunning),
          .Used = Upstream.Used};
}

void Scheduler::updateUpstream(const UpstreamReport &Report, Instant Now) {
  if (const auto Ended = this->Inner->Retired.find(Report.Id);
      Ended != this->Inner->Retired.end() &&
      Report.IncarnationStartMs <= Ended->second.IncarnationStartMs)
    return;
  auto &Existing = this->Inner->Upstreams[Report.Id];
  if (Existing && Existing->Report.IncarnationStartMs &&
      Report.IncarnationStartMs &&
      Existing->Report.IncarnationStartMs != Report.IncarnationStartMs) {
    if (Report.IncarnationStartMs < Existing->Report.IncarnationStartMs)
      return; // The entry was written by an earlier incarnation.
    this->restartUpstream(Report.Id, Report.IncarnationStartMs, Now);
  }
  auto &Record = this->Inner->Upstreams[Report.Id];
  const bool IsNew = !Record;
  if (IsNew)
    Record = std::make_unique<UpstreamRecord>();
  if (IsNew)
    Record->ReportedAt = Now;
  const bool PoolChanged = IsNew || Record->Report.Pool != Report.Pool;
  if (!IsNew && Record->Report.Draining != Report.Draining)
    logEvent(LogLevel::Info, "upstream.draining",
             {{"upstream", Report.Id.str()}, {"pool", Report.Pool.str()}});
  // An entry that is read again unchanged may be older than the read.
  if (IsNew || Record->Report.ColdRemaining != Report.ColdRemaining)
    Record->ColdUntil = Now + Report.ColdRemaining;
  // A drain is never revoked within one incarnation.
  const bool Draining = !IsNew && Record->Report.Draining;
  Record->Report = Report;
  Record->Report.Draining |= Draining;
  Record->Cordoned = this->Inner->Cordoned.contains(Report.Id);
  Record->MaintenanceDue = this->Inner->MaintenanceDue.contains(Report.Id);
  Record->ZoneEvacuated = this->Inner->EvacuatedZones.contains(Report.Zone);
  Record->Registered = true;
  if (PoolChanged)
    this->Inner->rebuildPools();
}

void Scheduler::markUnregistered(const UpstreamId &Id, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end() || !Found->second->Registered)
    return;
  Found->second->Registered = false;
  Found->second->UnregisteredAt = Now;
}

void Scheduler::removeUpstream(const UpstreamId &Id, std::string_view Reason,
                               Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return;
  const std::map<RunId, RunPtr> LostRuns = Found->second->Runs;
  logEvent(
      LogLevel::Warning, "upstream.lost",
      {{"upstream", Id.str()},
       {"pool", Found->second->Report.Pool.str()},
       {"reason", std::string(Reason)},
       {"contact_lost_ms_ago", millisAgo(Found->second->ContactLostAt, Now)},
       {"runs", std::to_string(LostRuns.size())}});
  for (const auto &[Run, Lost] : LostRuns)
    this->Inner->loseRun(Lost, Now);
  this->Inner->Upstreams.erase(Id);
  this->Inner->rebuildPools();
}

std::int64_t Scheduler::acknowledgedSequence(const UpstreamId &Id) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end())
    return 0;
  UpstreamRecord &Upstream = *Found->second;
  auto &Unstored = Upstream.UnstoredEndedRuns;
  while (!Unstored.empty()) {
    const auto &[Sequence, End] = *Unstored.begin();
    const JobRecord *Job = this->Inner->job(End.Job);
    if (Job && Job->StoredRevision < End.Revision)
      return std::min(Sequence - 1, Upstream.LastEndSequence);
    Unstored.erase(Unstored.begin());
  }
  return Upstream.LastEndSequence;
}

void Scheduler::cordon(const UpstreamId &Id, bool Cordoned) {
  // The VM listing may contain an upstream before the registry does.
  if (Cordoned)
    this->Inner->Cordoned.insert(Id);
  else
    this->Inner->Cordoned.erase(Id);
  if (const auto Found = this->Inner->Upstreams.find(Id);
      Found != this->Inner->Upstreams.end())
    Found->second->Cordoned = Cordoned;
}

std::vector<Command> Scheduler::takeCommands() {
  return std::exchange(this->Inner->Commands, {});
}

std::vector<ProgressChange> Scheduler::takeProgress() {
  std::vector<ProgressChange> Changes;
  for (const JobId &Id : std::exchange(this->Inner->ChangedJobs, {}))
    if (JobRecord *Job = this->Inner->job(Id)) {
      Job->FetchedRevision = Job->Revision;
      Changes.push_back({Id, Job->Revision, encodeProgress(progressOf(*Job))});
    }
  return Changes;
}

bool Scheduler::progressStored(const JobId &Id, std::int64_t Revision) {
  JobRecord *Job = this->Inner->job(Id);
  if (!Job)
    return false;
  const PoolId &Pool = this->Inner->queueSettingsOf(*Job).Pool;
  const bool Awaited = Job->awaitsRecordOf(Pool);
  Job->StoredRevision = std::max(Job->StoredRevision, Revision);
  if (Job->ended() && Job->stored())
    Job->Occurrences.clear();
  return Awaited && !Job->awaitsRecordOf(Pool);
}

std::vector<JobId> Scheduler::takeExpired(Instant Now) {
  std::vector<JobId> Expired;
  for (const auto &[Id, Job] : this->Inner->Jobs)
    if (Job->ended() && Job->stored() &&
        Now - Job->EndedAt > 2 * this->Inner->Options.Bounds.StatusRetention)
      Expired.push_back(Id);
  for (const JobId &Id : Expired)
    this->Inner->Jobs.erase(Id);
  return Expired;
}

const std::map<UpstreamId, std::unique_ptr<UpstreamRecord>> &
Scheduler::upstreams() const {
  return this->Inner->Upstreams;
}

const std::map<JobId, std::unique_ptr<JobRecord>> &Scheduler::jobs() const {
  return this->Inner->Jobs;
}

std::set<PoolId> Scheduler::Impl::placeInOrder(std::vector<WaitingStep> Waiting,
                                               Instant Now) {
  std::ranges::stable_sort(Waiting, isPlacedBefore, &WaitingStep::Work);
  // First, because they need an upstream on which nothing has just begun.
  for (const WaitingStep &Step : Waiting)
    this->placeSuspects(Step, Now);
  std::set<PoolId> Short;
  for (const WaitingStep &Step : Waiting)
    if (!this->placeTasks(Step, Now))
      Short.insert(Step.Queue->Pool);
  return Short;
}

void Scheduler::schedule(Instant Now, std::int64_t UnixMs) {
  Impl &Scheduling = *this->Inner;
  for (const auto &[Id, Job] : Scheduling.LiveJobs)
    Scheduling.createDueOccurrences(*Job, UnixMs);
  Scheduling.replaceStuckRuns(Now);
  Scheduling.updateFullyAnsweredPools(Now);
  Scheduling.updateUnresponsiveZones();
  Scheduling.relocateLongRunning(Now);
  Scheduling.updatePossibleInheritedUse(Now);
  Scheduling.updatePossibleUncountedUse();
  Scheduling.MaxFree.clear();
  Scheduling.updateHealth(Now);
  if (std::exchange(Scheduling.SharesToRecount, false))
    Scheduling.recountShares();
  std::vector<WaitingStep> Waiting = Scheduling.waitingSteps(Now, UnixMs);
  const std::set<PoolId> Short =
      Scheduling.Options.Policy.FairShares
          ? Scheduling.placeByFairShares(Waiting, Now)
          : Scheduling.placeInOrder(std::move(Waiting), Now);
  Scheduling.placeCopies(Short, Now);
}

} // namespace sardinerill::site
