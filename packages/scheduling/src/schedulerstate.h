#pragma once

#include "sardinerill/overload/fairorder.h"
#include "sardinerill/overload/sizebalance.h"
#include "sardinerill/scheduling/scheduler.h"

#include "advicecalls.h"
#include "crashsuspects.h"
#include "placement.h"
#include "schedulermodel.h"
#include "shares.h"
#include "waitingorder.h"

/// \file
/// Implementation of Scheduler, grouped by the source file of each function.

namespace sardinerill::site {

/// A step with tasks to start.
struct WaitingStep {
  JobRecord *Job = nullptr;
  const QueueSettings *Queue = nullptr;
  int Occurrence = 0;
  int Step = 0;
  WaitingWork Work;

  OccurrenceRecord &occurrence() const {
    return this->Job->Occurrences.at(this->Occurrence);
  }
  StepRecord &record() const {
    return this->occurrence().Steps[std::size_t(this->Step)];
  }
  const StepSpec &spec() const {
    return this->Job->Spec.Steps[std::size_t(this->Step)];
  }
  RunId runOf(int Index, int Number) const {
    return {{this->Job->Spec.Id, this->Occurrence, this->Step, Index}, Number};
  }
};

/// The work of one organisation in one pool, in a round by fair shares.
struct FairLane {
  PoolId Pool;
  OrganisationId Organisation;
  double Weight = 1.0;
  double SumOfWeights = 0; ///< Of all organisations that use or want the pool.
  Resources Capacity;      ///< Of the pool.
};

struct FairRound {
  std::vector<FairLane> Lanes;
  std::vector<overload::FairWork> Works; ///< Of each waiting step.
};

/// Ratio of measured to estimated run times of a queue.
struct RunTimeFactor {
  double Factor = 1.0;
};

struct RetiredIncarnation {
  std::int64_t IncarnationStartMs = 0;
  Instant RetiredAt{};
};

/// Resources of tasks that an earlier holder may have started.
struct PossibleUse {
  Resources Reserved;   ///< Of tasks that reserve what they use.
  Resources BestEffort; ///< Of tasks that reserve no CPU.
};

/// An inherited job that ended while some upstreams had not answered. Its runs
/// there go on until their leases expire.
struct EndedInheritedJob {
  PoolId Pool; ///< Empty: it may run in any pool.
  OrganisationId Organisation;
  PossibleUse Use;
};

struct Scheduler::Impl {
  explicit Impl(SchedulerOptions Options) : Options(Options) {}

  // Jobs (scheduler.cpp)
  JobRecord *job(const JobId &Id);
  TaskRecord *task(const TaskId &Id);
  const StepSpec *spec(const TaskId &Id);
  /// Counts \p Job against the share of its organisation.
  /// \returns whether it exceeds the share.
  bool exceedsShare(const JobRecord &Job);
  const QueueSettings &queueSettingsOf(const JobRecord &Job) const;
  void markChanged(JobRecord &Job);
  void endJob(JobRecord &Job, JobState State, std::string_view Reason,
              Instant Now);
  void createDueOccurrences(JobRecord &Job, std::int64_t UnixMs);
  void createNextOccurrence(JobRecord &Job);
  /// Creates all occurrences up to that of \p Listed, a task of which an
  /// upstream lists a run. An earlier holder, whose wall clock was ahead, has
  /// created them before they are due here.
  void createListedOccurrence(const TaskId &Listed);

  // Runs (schedulerruns.cpp)
  RunPtr addRun(UpstreamRecord &Upstream, const RunId &Id, const StepSpec &Step,
                const OrganisationId &Organisation, RunPhase Phase,
                Instant Now);
  void removeRun(const RunPtr &Removed);
  void requestStop(const RunPtr &Stopped);
  void applyEndedRun(UpstreamRecord &Upstream, const EndedRun &End,
                     Instant Now);
  void finishTask(JobRecord &Job, const TaskId &Id, Instant Now);
  void failTask(JobRecord &Job, const TaskId &Id, int Number, Instant Now);
  void applyActiveRun(UpstreamRecord &Upstream, const ActiveRun &Listed,
                      Instant Now);
  void removeUnlistedRuns(UpstreamRecord &Upstream,
                          const std::set<RunId> &Listed, Instant SentAt,
                          Instant Now);
  void applyEndedRuns(UpstreamRecord &Upstream,
                      const std::vector<EndedRun> &Ends, Instant Now);

  // Crashes of upstreams (schedulercrashes.cpp)
  UpstreamCrash crashOf(const UpstreamRecord &Upstream, Instant Now) const;
  /// \returns whether all of \p Suspects are one task, or members of one gang.
  bool isOneCause(const std::vector<RunPtr> &Suspects);
  void countRecentStarts(const UpstreamRecord &Upstream,
                         const UpstreamCrash &Crash);
  /// \returns whether the task of \p Suspect is given up.
  bool suspect(const Run &Suspect, const UpstreamCrash &Crash, bool OneCause,
               Instant Now);
  /// Suspects the tasks that had just begun on \p Upstream.
  /// \returns those that have crashed too many upstreams to be started again.
  std::vector<TaskId> attributeCrash(UpstreamRecord &Upstream, Instant Now);
  /// The same for a process that has ended; nothing if that was planned.
  std::vector<TaskId> attributeEnd(UpstreamRecord &Upstream, Instant Now);
  /// Ends the jobs of \p GivenUp, whose last upstream was \p Id.
  void endGivenUpJobs(const std::vector<TaskId> &GivenUp, const UpstreamId &Id,
                      Instant Now);
  /// \returns whether another upstream of the rack ended at about the same
  /// time, or several are out of contact.
  bool isRackFailing(const UpstreamRecord &Upstream, Instant Now) const;
  /// Clears \p Candidate once it has outlived its probation.
  void settle(UpstreamRecord &Upstream, const RunPtr &Candidate, Instant Now);
  /// \returns whether another run of the job is on probation.
  bool hasRunOnProbation(const JobRecord &Job) const;

  // Runs of unknown jobs and of unknown size (schedulerunknown.cpp)
  void rememberUncountedRuns(UpstreamRecord &Upstream,
                             const RunListing &Listing);
  void stopUncountedRun(const UpstreamRecord &Upstream, const RunId &Uncounted);
  void updatePossibleUncountedUse();
  /// Applies what the newest listings say of \p Job, which has been added.
  void adoptRememberedRuns(const JobId &Job, Instant Now);

  // Ended and restarted upstreams (schedulerrestart.cpp)
  /// Drops a run that has ended with its upstream.
  void loseRun(const RunPtr &Lost, Instant Now);
  /// Keeps a run that the new incarnation of its upstream may run.
  void keepAcrossRestart(const RunPtr &Kept, Instant Now);
  /// Drops \p Ended, and makes \p Record that of the next process under the
  /// same id.
  void replaceProcess(UpstreamRecord &Record, const std::vector<RunPtr> &Ended,
                      Instant Now);
  /// Keeps the runs of \p Id, whose VM is listed as down, that a later process
  /// under the same id may have accepted, and drops the others.
  /// \param RequestedAt when the list was requested.
  /// \returns false, having changed nothing, if all of them have ended.
  bool keepForNextProcess(const UpstreamId &Id, Instant RequestedAt,
                          Instant Now);

  // Placement (schedulerplacement.cpp)
  std::vector<WaitingStep> waitingSteps(Instant Now, std::int64_t UnixMs);
  bool hasWaitingTask(const StepRecord &Step, Instant Now) const;
  WaitingWork waitingWorkOf(const JobRecord &Job, const QueueSettings &Queue,
                            const OccurrenceRecord &Occurrence,
                            Instant Now) const;
  /// \returns false if a task could not be placed for lack of resources.
  bool placeTasks(const WaitingStep &Waiting, Instant Now);
  /// Places the tasks of \p Waiting that are suspected of crashing upstreams,
  /// one of a job at a time.
  void placeSuspects(const WaitingStep &Waiting, Instant Now);
  /// \returns false if the gang could not be placed for lack of resources; true
  /// also if it waits for the end of earlier runs or for TaskRecord::NotBefore.
  bool placeGang(const WaitingStep &Waiting, Instant Now);
  bool placeTask(const WaitingStep &Waiting, int Index, Instant Now);
  UpstreamRecord *chooseUpstream(const PlacementRequest &Request);
  /// \returns whether a task may fit in \p Pool, by a quick upper bound.
  bool mayFitInPool(const PoolId &Pool, const Resources &Requested);
  bool fitsCeiling(const OrganisationId &Organisation,
                   const Resources &Requested) const;
  void start(UpstreamRecord &Upstream, const WaitingStep &Waiting, int Index,
             int Number, Instant Now);
  int nextRunNumber(const JobRecord &Job, const TaskRecord &Task) const;

  // Fair shares (schedulerfairshares.cpp)
  /// Places the tasks of \p Waiting by fair shares.
  std::set<PoolId> placeByFairShares(const std::vector<WaitingStep> &Waiting,
                                     Instant Now);
  /// Places \p Waiting in the order of isPlacedBefore().
  /// \returns the pools in which work waits for capacity.
  std::set<PoolId> placeInOrder(std::vector<WaitingStep> Waiting, Instant Now);
  FairRound fairRoundOf(const std::vector<WaitingStep> &Waiting);
  /// \returns the use of \p Lane in units of its fair part.
  double useOf(const FairLane &Lane) const;
  void placeAllSuspects(const std::vector<WaitingStep> &Waiting, Instant Now);
  /// Counts \p Job in the balance of sizes of its queue.
  void countArrival(JobRecord &Job, Instant Now);
  /// Marks the work whose size class must be served before smaller jobs.
  void preferUnderservedSizes(const std::vector<WaitingStep> &Waiting,
                              std::vector<overload::FairWork> &Works,
                              Instant Now) const;
  /// Counts all jobs against the shares again, by time of acceptance. A new
  /// holder loads the jobs of earlier holders in another order.
  void recountShares();
  double weightOf(const OrganisationId &Organisation) const;
  /// \returns the largest part of any resource of \p Pool, whose upstreams
  /// have \p Capacity, that short tasks of \p Organisation use.
  double dominantUse(const PoolId &Pool, const OrganisationId &Organisation,
                     const Resources &Capacity) const;

  // Runs of previous holders (schedulerinherited.cpp)
  void updateFullyAnsweredPools(Instant Now);
  bool hasUnansweredUpstream(const PoolId &Pool) const;
  bool hasAnswered(const UpstreamId &Id) const;
  /// \returns the pools of upstreams that have answered and have not yet listed
  /// all ended runs.
  std::set<PoolId> poolsWithUnlistedEnds() const;
  /// \returns the total capacity of the upstreams of \p Pool that have not
  /// answered this holder.
  Resources unansweredCapacity(const PoolId &Pool) const;
  /// \returns the same of all pools.
  Resources unansweredCapacity() const;
  std::set<PoolId> allPools() const;
  /// \returns whether the queue of \p Job has certainly been moved to another
  /// pool since the job was accepted, or may have been moved back.
  bool wasMoved(const JobRecord &Job) const;
  /// \returns the pool in which an earlier holder may have started \p Job, or
  /// an empty id if it may be any.
  PoolId poolOfInheritedRuns(const JobRecord &Job) const;
  bool isBlockedByInheritedRuns(const JobRecord &Job, const PoolId &Pool) const;
  /// \returns whether earlier holders may have runs in \p Pool, which need not
  /// exist any more, that are not known here.
  bool mayHaveUnknownRuns(const PoolId &Pool) const;
  /// Makes sure that the next holder will know that tasks of \p Job may run in
  /// \p Pool. \returns whether it is stored, so that one may be started there.
  bool recordPool(JobRecord &Job, const PoolId &Pool);
  /// \returns what \p Job may have running on upstreams that have not answered.
  PossibleUse possibleUseOf(const JobRecord &Job) const;
  /// Keeps what \p Job, which ends now, may have running there.
  void recordInheritedEnd(const JobRecord &Job);
  void updatePossibleInheritedUse(Instant Now);
  /// \returns what runs that InUse does not count may use of the ceiling of
  /// \p Organisation.
  Resources possibleInheritedUse(const OrganisationId &Organisation) const;

  // Tickets of the placement advisor (scheduleradvice.cpp)
  /// Requests tickets for a step that has none.
  /// \returns whether a task of the step can be started with one.
  bool ensureTickets(const WaitingStep &Waiting, Instant Now);
  /// \returns the upstreams of \p Pool to ask for next.
  std::vector<UpstreamId> adviceCandidates(const StepRecord &Record,
                                           const PoolId &Pool) const;
  StepRecord *stepOf(const AdviceRequest &Request);

  // Run times learned (schedulerruntimes.cpp)
  /// \returns the forecast of \p Job, renewed if it is too old. Only if
  /// SchedulingPolicy::LearnRunTimes is set.
  const JobForecast &forecastOf(const JobRecord &Job, Instant Now) const;
  /// Learns from the end of \p Ended as done.
  /// \param Slowdown of its upstream relative to others.
  void learnRunTime(const JobRecord &Job, const StepSpec &Step,
                    const Run &Ended, double Slowdown, Instant Now);

  // Demand (schedulerdemand.cpp)
  /// \returns the weight, 0 to 1, of the CPU of \p Job in the demand for VMs.
  double demandWeight(const JobRecord &Job, const OccurrenceRecord &Occurrence,
                      Instant Now) const;
  /// \returns the part, 0 to 1, of \p CpuMilli that the ceiling of
  /// \p Organisation allows to run.
  double runnableFraction(const OrganisationId &Organisation,
                          std::int64_t CpuMilli) const;
  /// Takes from \p Demand what the ceilings don't allow to run of
  /// \p ShortTasks.
  void
  limitToCeilings(const std::map<OrganisationId, std::map<PoolId, std::int64_t>>
                      &ShortTasks,
                  std::map<PoolId, PoolDemand> &Demand) const;

  // Speed of upstreams and copies of slow runs (schedulerspeed.cpp)
  bool comparesSpeed() const {
    return this->Options.Policy.CompareUpstreamSpeed;
  }
  /// \returns the expected run time of a task of \p Step; 0 if not known.
  Duration expectedDuration(const JobRecord &Job, const StepSpec &Step,
                            const Run &Candidate) const;
  /// \returns whether the run time of \p Candidate depends on its task and
  /// upstream only, and its start is known.
  bool isMeasurable(const UpstreamRecord &Upstream, const Run &Candidate,
                    const StepSpec &Step) const;
  /// Records how a run took compared with its forecast, before the forecast
  /// learns from it.
  void measureEndedRun(const UpstreamRecord &Upstream, const JobRecord &Job,
                       const StepSpec &Step, Run &Ended, Instant Now);
  void measureActiveRun(const UpstreamRecord &Upstream, Run &Active,
                        Instant Now);
  void measureFailure(const UpstreamRecord &Upstream, Instant Now);
  void updateHealth(Instant Now);
  /// \returns the failure domains of the runs of \p Step.
  StepSpread spreadOf(const StepRecord &Step) const;
  /// Starts copies of runs that are much slower than forecast.
  /// \param Short pools in which work waits for capacity; they get none.
  void placeCopies(const std::set<PoolId> &Short, Instant Now);
  /// \returns whether a fresh run of the task of \p Candidate on a healthy
  /// upstream is expected to end well before it.
  bool deservesCopy(const UpstreamRecord &Upstream, const Run &Candidate,
                    Instant Now);
  void placeCopy(const TaskId &Id, bool MayUseIdleVms, Instant Now);

  // Summary of the load (schedulerload.cpp)
  void addWorkAhead(overload::LoadSummary &Summary, Instant Now) const;

  // Supervision of running tasks (schedulersupervision.cpp)
  void updateUnresponsiveZones();
  void replaceStuckRuns(Instant Now);
  void paceBestEffortRuns(UpstreamRecord &Upstream, Instant Now);
  bool hasRecentAnswer(const UpstreamRecord &Upstream, Instant Now) const;
  bool isAvailable(const RunPtr &Candidate, Instant Now) const;
  /// \returns whether the task of \p Candidate fits on another upstream.
  /// \param AllowDue whether upstreams due for maintenance count.
  bool fitsElsewhere(const RunPtr &Candidate, bool AllowDue, Instant Now);
  int evacuate(UpstreamRecord &Upstream, bool AllowDue, Instant Now);
  /// Evacuates long-running tasks from evacuated zones, and early from VMs that
  /// a maintenance wave has yet to take down.
  void relocateLongRunning(Instant Now);
  int countUnavailableOthers(const JobRecord &Job, const TaskId &Task,
                             Instant Now) const;
  bool canInterrupt(const RunPtr &Candidate, Instant Now,
                    int OthersEnding) const;

  SchedulerOptions Options;
  SiteConfiguration Configuration;
  std::map<JobId, std::unique_ptr<JobRecord>> Jobs;
  /// Jobs that have not ended. A round visits all of them, which would cost too
  /// much with a search in Jobs for each.
  std::map<JobId, JobRecord *> LiveJobs;
  std::map<UpstreamId, std::unique_ptr<UpstreamRecord>> Upstreams;
  std::map<PoolId, std::vector<UpstreamRecord *>> ByPool;
  /// Capacity of the upstreams that run on the VMs of each pool.
  std::map<PoolId, std::map<UpstreamId, Resources>> HostedCapacity;
  /// VMs are moving, on standby, or up without an upstream.
  bool HasUnusedVms = false;
  bool VmsListed = false; ///< Whether HostedCapacity has been set.
  /// Whether InheritedRunsUntil has passed: no run of a previous holder is
  /// left.
  bool InheritedRunsExpired = false;
  /// Pools whose upstreams have all answered; updated in each round.
  std::set<PoolId> FullyAnsweredPools;
  bool AllPoolsAnswered = false;          ///< Updated in each round.
  std::set<PoolId> PoolsWithUnlistedEnds; ///< Updated in each round.
  /// Pools of each queue in all configurations that were in force here.
  std::map<QueueId, std::set<PoolId>> PoolsOfQueue;
  std::map<ZoneId, Instant> ZoneAnsweredAt;
  /// Resources requested by all runs, for the ceilings.
  std::map<OrganisationId, Resources> InUse;
  /// Resources reserved by the runs of short tasks, for the fair shares.
  std::map<PoolId, std::map<OrganisationId, Resources>> ShortTaskUse;
  std::map<QueueId, overload::SizeBalance> SizeBalances;
  /// Jobs were added that the shares have not counted by time of acceptance.
  bool SharesToRecount = false;
  /// Resources that inherited tasks may use on upstreams that have not
  /// answered.
  std::map<OrganisationId, Resources> PossibleInheritedUse;
  std::vector<EndedInheritedJob> EndedInheritedJobs;
  /// Resources that runs in UpstreamRecord::UncountedRuns may use; updated in
  /// each round.
  Resources PossibleUncountedUse;
  /// If SchedulingPolicy::LearnRunTimes is set, used for admission only.
  std::map<QueueId, RunTimeFactor> RunTimeFactors;
  AdviceCalls AdvisorCalls;
  UpstreamSpeeds Speeds;
  RunTimeModel RunTimes; ///< Empty otherwise.
  std::map<QueueId, RunTimeAccuracy> Accuracies;
  std::int64_t CopiesStarted = 0;
  std::map<OrganisationId, ShareLimiter> ShareLimiters;
  std::map<QueueId, ArrivalRateEstimator> ArrivalRates;
  /// Upper bound of the free resources on any one upstream of a pool. It is
  /// computed once a round, and again after a task could not be placed, and
  /// saves the search for an upstream for most tasks of a full pool.
  std::map<PoolId, Resources> MaxFree;
  std::set<UpstreamId> MaintenanceDue;
  std::set<UpstreamId>
      Cordoned; ///< Includes upstreams that are not registered yet.
  std::set<ZoneId> EvacuatedZones;
  /// Time until which an evacuation counts as pending.
  Instant EvacuatingUntil{};
  Instant NextRelocation{};
  std::vector<Command> Commands;
  std::set<JobId> ChangedJobs;
  /// Incarnations that have ended. A registry entry of one may be read later.
  std::map<UpstreamId, RetiredIncarnation> Retired;
  CrashCounts Counts;
  bool HasLoadedProgress = false; ///< It may contain suspects.
  /// Racks of the upstreams that crashed last, and when.
  std::vector<std::pair<std::string, Instant>> RecentCrashes;
  void rebuildPools();
};

std::string describe(const RunId &Id);
/// \returns the time from \p Since to \p Now in milliseconds, for a log line;
/// "never" if there is none.
std::string millisAgo(const std::optional<Instant> &Since, Instant Now);

} // namespace sardinerill::site
