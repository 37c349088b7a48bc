#pragma once

#include "sardinerill/overload/sizebalance.h"
#include "sardinerill/runtimes/runtimemodel.h"
#include "sardinerill/scheduling/commands.h"
#include "sardinerill/scheduling/jobprogress.h"
#include "sardinerill/upstreamspeed/upstreamspeeds.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

/// \file
/// Records of jobs, runs and upstreams inside the scheduler.

namespace sardinerill::site {

enum class RunPhase {
  Starting,  ///< The start command was issued.
  Uncertain, ///< The outcome of the start is unknown. A stop was issued, or is
             ///< if the next listing does not show a long-running task.
  Fenced,    ///< The stop was acknowledged: the run can no longer start.
  Active,    ///< The upstream has confirmed the run.
};

/// One attempt to run a task that is active on its upstream, or may have been
/// started there.
struct Run {
  RunId Id;
  UpstreamId Upstream;
  RunPhase Phase = RunPhase::Starting;
  Resources Reserved; ///< On the upstream. Ceilings count StepSpec::Requested,
                      ///< which includes the CPU of best-effort tasks.
  OrganisationId Organisation;
  PoolId Pool;              ///< Of the upstream when the run was added.
  bool LongRunning = false; ///< As StepSpec::LongRunning.
  Instant StartedAt{};      ///< When its start was decided.
  /// When its upstream accepted the start, which may have waited for a
  /// connection.
  std::optional<Instant> AcceptedAt;
  Instant PhaseChangedAt{};
  /// When the upstream last said that it runs this: it accepted the start, or
  /// listed the run as active.
  std::optional<Instant> ConfirmedAt;
  bool StopRequested = false;
  /// The stop only bars a start that may be carried out late. It is withdrawn
  /// if the run is found at work.
  bool StopOnlyBars = false;
  bool Listed = false; ///< The present incarnation has listed it as active.
  bool StoppedAsStuck = false; ///< Not used.
  int Percent = 0;
  Instant ProgressAt{};              ///< Last change of the percentage.
  std::optional<Instant> ReadySince; ///< First listed at 100 percent.
  std::int64_t Load = 0;
  int Pace = 100;
  Instant PacedAt{};
  /// PhaseChangedAt is the start of the task, and not a later time at which an
  /// upstream was found to run it.
  bool StartKnown = false;
  bool Resumed = false; ///< Started from a checkpoint.
  Duration Forecast{};  ///< Median of the forecast at the start; 0: none.
  /// Has outlived the time after its start within which it could crash its
  /// upstream; see crashsuspects.h.
  bool Settled = false;
  bool Measured = false; ///< Counted in Scheduler::Impl::Speeds.

  /// \returns a time before which it has begun, if it has.
  Instant latestBegin() const {
    return this->AcceptedAt.value_or(this->StartedAt);
  }
};

using RunPtr = std::shared_ptr<Run>;

struct TaskRecord {
  CrashRecord Crashes;
  bool Done = false;
  std::vector<int> FailedRuns;
  int LastRunNumber = 0;
  std::string Checkpoint;
  std::vector<RunPtr> Runs;
  Instant NotBefore{};     ///< Earliest start, after a failure or a lost run.
  Instant InterruptedAt{}; ///< Last end by a stop command.
};

struct StepRecord {
  std::vector<TaskRecord> Tasks;
  int DoneCount = 0;
  std::map<UpstreamId, int> RunsPerUpstream; ///< Number of runs, limited by
                                             ///< StepSpec::MaxPerUpstream.
  /// Text of each ticket, and the time from which it is no longer used.
  std::map<UpstreamId, std::pair<std::string, Instant>> Tickets;
  /// Upstreams that the placement advisor does not admit.
  std::set<UpstreamId> NotAdmitted;
  bool AdvicePending = false;
};

struct OccurrenceRecord {
  std::int64_t DueMs = 0; ///< Milliseconds since 1970; 0: due at once.
  std::vector<StepRecord> Steps;
  int UnfinishedTasks = 0; ///< Tasks not yet done.
};

/// Forecast run times of a step's tasks.
struct StepForecast {
  RunTimeKey Key;
  Duration Mean{};    ///< Of one task.
  Duration Slowest{}; ///< Median time until all tasks that start together end.
};

/// Forecast of a job, unused if run times are not learned. It is renewed while
/// the job waits, because the run times learned change.
struct JobForecast {
  std::vector<StepForecast> Steps;
  Duration CriticalPath{};
  double CpuSeconds = 0; ///< Of all tasks of one occurrence.
  Instant MadeAt{};
};

struct JobRecord {
  JobSpec Spec;
  JobState State = JobState::Queued;
  std::map<int, OccurrenceRecord> Occurrences;
  int NextOccurrence = 0; ///< The first that is not created yet.
  Instant AcceptedAt{};
  Instant EndedAt{};
  bool Inherited = false;
  bool Started = false;
  bool OverShare = false; ///< Exceeded the share of its organisation when it
                          ///< was accepted.
  /// Among the jobs of its queue; none if the balance does not count the job.
  std::optional<overload::SizeClass> Size;
  /// Length of the critical path by the caller's estimates.
  Duration EstimatedCriticalPath{};
  mutable JobForecast Forecast; ///< See Scheduler::Impl::forecastOf().
  std::int64_t Revision = 0;    ///< Incremented by each change to be stored.
  std::int64_t FetchedRevision = 0; ///< Passed to the caller for storing.
  std::int64_t StoredRevision = 0;  ///< Confirmed as stored.
  /// Pools other than that at its acceptance in which tasks may be started,
  /// each with the revision that stores this.
  std::map<PoolId, std::int64_t> OtherPools;

  bool ended() const {
    return this->State == JobState::Completed ||
           this->State == JobState::Failed ||
           this->State == JobState::Cancelled;
  }
  bool stored() const { return this->StoredRevision >= this->Revision; }
  /// \returns whether tasks wait until a start in \p Pool is stored as
  /// possible.
  bool awaitsRecordOf(const PoolId &Pool) const {
    const auto Found = this->OtherPools.find(Pool);
    return Found != this->OtherPools.end() &&
           this->StoredRevision < Found->second;
  }
};

/// An ended run that the upstream must keep until the job's progress is stored.
struct UnstoredEndedRun {
  JobId Job;
  std::int64_t Revision = 0;
};

struct UpstreamRecord {
  UpstreamReport Report;
  bool Registered = true; ///< In the registry.
  bool Answered = false;  ///< Has answered this holder, and therefore rejects
                          ///< commands of earlier holders.
  /// A listing that named all its runs has been applied since then. An end that
  /// an earlier one left out may be that of any inherited task.
  bool RunsKnown = false;
  bool Cordoned = false;
  bool MaintenanceDue = false;  ///< Will be taken down by a maintenance wave.
  bool TakedownPending = false; ///< See Scheduler::setTakedownPending().
  Resources Used;
  std::map<RunId, RunPtr> Runs;
  std::map<std::int64_t, UnstoredEndedRun> UnstoredEndedRuns;
  /// All ended runs up to this one have been applied.
  std::int64_t LastEndSequence = 0;
  /// Later ones that have been applied too, behind one that waits for its job.
  std::set<std::int64_t> EndsAppliedAhead;
  /// Active runs in the newest listing that Used does not count: their job or
  /// its specification is not known. See schedulerunknown.cpp.
  std::vector<ActiveRun> UncountedRuns;
  /// Ended runs in the newest listing that wait for a job to become known.
  std::vector<EndedRun> HeldBackEnds;
  Instant ReportedAt{}; ///< First seen in the registry.
  Instant AnsweredAt{};
  Instant UnregisteredAt{};
  /// The outcome of a start is unknown, and the upstream has not answered
  /// since.
  bool Unresponsive = false;
  /// Operators are evacuating its zone.
  bool ZoneEvacuated = false;
  /// Its zone seems partitioned from this daemon.
  bool ZoneUnresponsive = false;
  int ConsecutiveFailures = 0;
  Instant ColdUntil{};  ///< Slow until then, after its start.
  Instant AvoidUntil{}; ///< Deprioritised until then, after failures.
  /// When polls began to fail; unset while the upstream answers.
  std::optional<Instant> ContactLostAt;
  /// Whether an open connection broke at ContactLostAt.
  bool ConnectionBroke = false;
  /// A list of VMs has shown that its VM runs it.
  bool ListedOnVm = false;
  /// When its process was found to have ended, while the next one under the
  /// same id may run what is in Runs; unset once a process answers.
  std::optional<Instant> ProcessEndedAt;
  /// The run of a suspect, beside which nothing is started; see
  /// crashsuspects.h.
  RunPtr OnProbation;
  /// Measured speed and failures; updated in each round. Normal unless
  /// SchedulingPolicy::CompareUpstreamSpeed is set.
  UpstreamHealth Health;

  Resources freeCapacity() const { return this->Report.Capacity - this->Used; }
  /// \returns whether new tasks may be placed here. Without contact, the next
  /// process under the same id could accept a start before the end of this one
  /// is known.
  bool acceptsTasks() const {
    return this->Answered && this->Registered && !this->ContactLostAt &&
           !this->Report.Draining && !this->Cordoned && !this->ZoneEvacuated &&
           !this->Unresponsive && !this->ZoneUnresponsive &&
           this->UncountedRuns.empty();
  }
  std::string_view rack() const;
};

} // namespace sardinerill::site
