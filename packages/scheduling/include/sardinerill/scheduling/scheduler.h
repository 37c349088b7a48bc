#pragma once

#include "sardinerill/overload/admission.h"
#include "sardinerill/runtimes/runtimeaccuracy.h"
#include "sardinerill/runtimes/runtimemodel.h"
#include "sardinerill/scheduling/commands.h"
#include "sardinerill/scheduling/jobprogress.h"
#include "sardinerill/scheduling/schedulingpolicy.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

/// \file
/// Decides where and when each task of a site runs.
///
/// The holder is the daemon that holds the site's ownership lease. Only the
/// holder runs a scheduler; after a takeover the new holder starts one with the
/// jobs of the previous holders, which are called inherited.

namespace sardinerill::site {

struct UpstreamRecord;
struct JobRecord;

struct SchedulerOptions {
  SiteBounds Bounds;
  SchedulingPolicy Policy;
  /// Number of the ownership term, from which the run numbers of inherited jobs
  /// are derived, so that two holders never use the same one.
  int Term = 0;
  /// Time until which runs of a previous holder may still be active on
  /// upstreams that have not answered this holder.
  Instant InheritedRunsUntil{};
  /// Time until which stop commands of a previous holder may still take
  /// effect. A task listed as running before this time counts as unavailable.
  Instant StopsPendingUntil{};
  /// Time until which ended runs of unknown jobs are not acknowledged and their
  /// active runs are not stopped: the job table read at the takeover may be
  /// seconds old and lack the newest jobs.
  Instant UnknownJobsUntil{};
};

/// Progress of one job, to be stored. The end of a job is reported to callers
/// only once it is stored.
struct ProgressChange {
  JobId Job;
  std::int64_t Revision = 0;
  std::string Text;
};

/// Counts since the scheduler was created.
struct CrashCounts {
  std::int64_t Upstreams = 0;   ///< Upstreams that crashed.
  std::int64_t Suspicions = 0;  ///< Tasks suspected, once for each crash.
  std::int64_t GivenUpJobs = 0; ///< Jobs that failed because of crashes.
};

/// Effects of SchedulingPolicy::CompareUpstreamSpeed.
struct SpeedCounts {
  int SlowUpstreams = 0;      ///< At present, including unhealthy ones.
  int UnhealthyUpstreams = 0; ///< At present; see UpstreamHealth.
  std::int64_t Copies = 0; ///< Copies of runs since the scheduler was created.
};

struct UpstreamLoad {
  /// Whether the upstream has answered this holder recently. Otherwise the
  /// other fields may be out of date.
  bool Fresh = false;
  int Runs = 0; ///< Includes runs of unknown jobs, which Used does not count.
  int LongRunningTasks = 0;
  Resources Used;
};

/// Work in one zone.
struct ZoneLoad {
  int Upstreams = 0;
  int Runs = 0;             ///< Includes those of jobs that are not known here.
  int LongRunningTasks = 0; ///< Included in Runs.
  /// Whether upstreams that have not answered this holder may run inherited
  /// tasks.
  bool MayHaveMore = false;
};

/// A long-running task on an upstream that is not being stopped, and the
/// conditions of its evacuation.
struct BlockingTask {
  bool Found = false; ///< If false, the other fields are not set.
  TaskId Task;
  int OthersUnavailable = 0;  ///< Other tasks of its step that are unavailable.
  int MaxUnavailable = 0;     ///< See StepSpec::MaxUnavailable.
  bool FitsElsewhere = false; ///< Another upstream can run the task now.
};

/// Demand of one pool, as input of the pool planner.
struct PoolDemand {
  /// CPU reserved by the unfinished tasks of ready steps. Work that is late or
  /// exceeds its organisation's share counts only partly.
  std::int64_t CpuMilli = 0;
  /// The part of CpuMilli for tasks without a run.
  std::int64_t WaitingCpuMilli = 0;
  /// The part of CpuMilli for jobs with long-running tasks.
  std::int64_t LongRunningCpuMilli = 0;
  /// Expected CPU use of newly arriving jobs, at the time when a VM that is
  /// requested now becomes available.
  std::int64_t ArrivingCpuMilli = 0;
  /// VMs required by the long-running step that is spread over the most VMs.
  int MinVmsForSpread = 0;

  /// \returns the larger of the current demand and the forecast.
  std::int64_t expected() const {
    return std::max(this->CpuMilli,
                    this->LongRunningCpuMilli + this->ArrivingCpuMilli);
  }
};

/// \returns the form of \p Id for logs: job.occurrence.step.index.
std::string describe(const TaskId &Id);

/// Decides where and when each task of a site runs. Has no clock and does no
/// I/O: the caller passes the time with each event and fetches the resulting
/// commands with takeCommands().
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  /// Replaces the configuration in force.
  void configure(const SiteConfiguration &Configuration);

  /// Adds an accepted job.
  /// \param Progress the progress stored by a previous holder, if any.
  /// \param Inherited whether a previous holder may have started the job.
  /// \param AcceptedAt when the job was accepted; may lie before \p Now.
  void addJob(JobSpec Spec, const std::optional<JobProgress> &Progress,
              bool Inherited, Instant AcceptedAt, Instant Now);
  /// Adds a job that ended under a previous holder.
  /// \param Spec by its steps and organisation, runs of the job that upstreams
  /// still list are counted until they have ended. If it has only an id, these
  /// upstreams get no task meanwhile.
  void addEndedJob(JobSpec Spec, JobState State, Instant Now);
  void cancelJob(const JobId &Job, Instant Now);
  bool hasJob(const JobId &Job) const;
  /// \returns the externally visible state, or nothing for an unknown job. An
  /// ended job is reported as running until its end is stored.
  std::optional<JobState> stateOf(const JobId &Job) const;
  /// \returns the number of jobs of \p Queue of which no task has been started
  /// yet.
  int pendingJobs(const QueueId &Queue) const;

  /// Applies the registry entry of an upstream.
  void updateUpstream(const UpstreamReport &Report, Instant Now);
  /// Marks \p Id as no longer listed in the registry.
  void markUnregistered(const UpstreamId &Id, Instant Now);
  /// Removes an upstream whose process has ended; its tasks are restarted.
  void removeUpstream(const UpstreamId &Id, std::string_view Reason,
                      Instant Now);
  /// As removeUpstream(), for a process that has certainly ended. Unless it
  /// was drained or taken down, this is a crash, for which the tasks that had
  /// just begun on it are suspected.
  void removeEndedUpstream(const UpstreamId &Id, std::string_view Reason,
                           Instant Now);
  /// Retires the upstreams whose VMs run no process or another one, according
  /// to \p Vms. An upstream that has answered since is kept. So are the runs
  /// that a later process under the same id may have accepted, until it answers
  /// or another list shows that there is none.
  /// \param RequestedAt when the list of VMs was requested.
  void retireEndedUpstreams(const std::vector<VmRecord> &Vms,
                            Instant RequestedAt, Instant Now);
  /// Records that a poll of \p Id failed.
  /// \param ConnectionBroke whether an open connection broke; otherwise the
  /// upstream did not answer in time, or could not be reached.
  void recordFailedPoll(const UpstreamId &Id, bool ConnectionBroke,
                        Instant Now);
  /// \returns whether a stop of \p Run that got no answer is still to be sent:
  /// false if it was withdrawn.
  bool wantsStop(const UpstreamId &Id, const RunId &Run) const;
  /// \returns whether the stop of \p Run is only to bar a start that may be
  /// carried out late, so that it must not end the task at work.
  bool stopOnlyBars(const UpstreamId &Id, const RunId &Run) const;
  /// \returns whether an upstream has lost contact that may have ended.
  bool hasLostContact() const;
  /// \returns whether the process of \p Id has ended, and the next one under
  /// the same id may run tasks although it has not answered yet.
  bool awaitsNextProcess(const UpstreamId &Id) const;
  /// Records that the process of \p Id ended and another one runs under the
  /// same id. Runs that the old process has listed are gone and are restarted.
  /// The new process may have accepted the others: they count until a listing
  /// that is requested after \p Now shows them or not.
  void restartUpstream(const UpstreamId &Id, std::int64_t IncarnationStartMs,
                       Instant Now);
  /// As removeUpstream(), and ignores later registry entries of the same or an
  /// earlier incarnation, because the registry keeps entries of ended processes
  /// for some time.
  void retireUpstream(const UpstreamId &Id, std::string_view Reason,
                      Instant Now);
  /// Sets which upstreams run on the VMs, whether reachable or not. The
  /// registry is not sufficient: entries of partitioned upstreams expire
  /// although their tasks keep running.
  void setHostedUpstreams(const std::vector<VmRecord> &Vms);
  /// \returns the upstreams first reported before \p ReportedBefore that have
  /// never answered, without those that may run tasks of an earlier process.
  std::vector<UpstreamId> unansweredUpstreams(Instant ReportedBefore) const;
  CrashCounts crashCounts() const;
  SpeedCounts speedCounts() const;
  UpstreamLoad loadOf(const UpstreamId &Id, Instant Now) const;
  /// Applies the active and ended runs listed by an upstream.
  /// \param SentAt when the request for the listing was sent.
  void applyListing(const UpstreamId &Id, const RunListing &Listing,
                    Instant SentAt, Instant Now);
  /// Applies only the ended runs of a listing that arrived after a newer one.
  /// They can't be ignored, because the upstream may be gone before its next
  /// listing.
  void applyEndedRuns(const UpstreamId &Id, const std::vector<EndedRun> &Ends,
                      Instant Now);
  /// \returns the highest sequence number up to which the progress of all ended
  /// runs is stored, so that the upstream may discard them.
  std::int64_t acknowledgedSequence(const UpstreamId &Id) const;

  void handleStartOutcome(const UpstreamId &Id, const RunId &Run,
                          StartOutcome Outcome, Instant Now);
  void handleStopOutcome(const UpstreamId &Id, const RunId &Run,
                         StopOutcome Outcome, Instant Now);
  /// \param Tickets of the upstreams that the advisor admits, out of those that
  /// \p Request names.
  void handleAdvice(const AdviceRequest &Request,
                    const std::map<UpstreamId, std::string> &Tickets,
                    Duration Validity, Instant Now);
  /// The advisor gave no valid answer to \p Request.
  void handleAdviceFailure(const AdviceRequest &Request, AdviceFailure Failure,
                           Instant Now);

  /// Sets the upstreams that will be taken down for maintenance. Replaces the
  /// previous set.
  void setMaintenanceDue(const std::set<UpstreamId> &Due);
  /// \returns whether \p Id should be polled sooner than usual: a task with an
  /// availability budget is starting on it, and evacuations wait for this task.
  bool needsEarlyPoll(const UpstreamId &Id, Instant Now) const;
  /// Sets whether \p Id is cordoned. No new tasks are placed on a cordoned
  /// upstream.
  void cordon(const UpstreamId &Id, bool Cordoned);

  /// Sets the zones that operators are evacuating. Nothing is placed there, and
  /// long-running tasks are moved to other zones as their availability budgets
  /// allow. Replaces the previous set.
  void setEvacuatedZones(const std::set<ZoneId> &Zones);

  /// \returns what still runs in each evacuated zone.
  std::map<ZoneId, ZoneLoad> evacuatedZoneLoads() const;

  /// Runs one scheduling round: places waiting tasks, replaces stuck runs and
  /// relocates long-running tasks ahead of maintenance.
  /// \param UnixMs the wall-clock time, for recurring jobs.
  void schedule(Instant Now, std::int64_t UnixMs);
  /// \returns the commands issued since the last call.
  std::vector<Command> takeCommands();
  /// \returns the changes of progress to be stored since the last call.
  std::vector<ProgressChange> takeProgress();
  /// Confirms that the progress of \p Job up to \p Revision is stored.
  /// \returns whether tasks of the job waited for this.
  bool progressStored(const JobId &Job, std::int64_t Revision);
  /// Removes the jobs that ended more than twice the status retention ago.
  /// \returns their ids.
  std::vector<JobId> takeExpired(Instant Now);

  /// \returns the run times learned; empty unless
  /// SchedulingPolicy::LearnRunTimes is set.
  const RunTimeModel &runTimes() const;
  /// Adds what an earlier holder has learned.
  void mergeRunTimes(const RunTimeSummary &Earlier);
  /// \returns the errors of the forecasts and the callers' estimates of the
  /// runs that ended since the last call.
  std::map<QueueId, RunTimeAccuracyReport> takeRunTimeAccuracy();

  /// The records are defined in the private header schedulermodel.h; other
  /// packages use only the keys and the number of entries.
  const std::map<UpstreamId, std::unique_ptr<UpstreamRecord>> &
  upstreams() const;
  const std::map<JobId, std::unique_ptr<JobRecord>> &jobs() const;
  /// \returns the demand of each pool that has jobs, or queues to which jobs
  /// have been submitted.
  std::map<PoolId, PoolDemand> demand(Instant Now) const;
  /// \returns the load by which daemons decide on the admission of jobs.
  overload::LoadSummary loadSummary(Instant Now) const;
  /// Stops the long-running tasks on \p Id whose availability budgets allow it
  /// and that fit on another upstream, to restart them there.
  /// \returns the number of long-running tasks found on \p Id, including those
  /// that are stopping.
  int evacuate(const UpstreamId &Id, Instant Now);
  /// \returns whether all runs on \p Id can be ended without exceeding an
  /// availability budget.
  bool canInterrupt(const UpstreamId &Id, Instant Now) const;
  /// Sets whether all runs on \p Id are about to be ended by a command that
  /// the scheduler does not issue, such as a VM reboot. \p Pending is false if
  /// that command had no effect.
  void setTakedownPending(const UpstreamId &Id, bool Pending);
  /// \returns the first long-running task on \p Id that is not being stopped,
  /// whether it can be evacuated or not.
  BlockingTask blockingTask(const UpstreamId &Id, Instant Now);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace sardinerill::site
