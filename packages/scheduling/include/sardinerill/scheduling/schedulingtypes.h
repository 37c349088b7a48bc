#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// Value types of the scheduler: jobs, upstreams, VMs and the configuration.

namespace sardinerill::site {

using JobId = StrongId<struct JobTag>;
using QueueId = StrongId<struct QueueTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
/// Registry id of a process on a VM that runs tasks. A process that restarts
/// under the same id is a new incarnation, told apart by its start time
/// (UpstreamReport::IncarnationStartMs).
using UpstreamId = StrongId<struct UpstreamTag>;

/// CPU in thousandths of a processor, memory in MiB, and accelerators.
struct Resources {
  std::int64_t CpuMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  Resources operator+(const Resources &Other) const {
    return {this->CpuMilli + Other.CpuMilli, this->MemoryMb + Other.MemoryMb,
            this->Accelerators + Other.Accelerators};
  }
  Resources operator-(const Resources &Other) const {
    return {this->CpuMilli - Other.CpuMilli, this->MemoryMb - Other.MemoryMb,
            this->Accelerators - Other.Accelerators};
  }
  Resources operator*(std::int64_t Factor) const {
    return {this->CpuMilli * Factor, this->MemoryMb * Factor,
            this->Accelerators * Factor};
  }
  Resources &operator+=(const Resources &Other) {
    return *this = *this + Other;
  }
  Resources &operator-=(const Resources &Other) {
    return *this = *this - Other;
  }
  /// \returns whether no component exceeds that of \p Limit.
  bool fitsIn(const Resources &Limit) const {
    return this->CpuMilli <= Limit.CpuMilli &&
           this->MemoryMb <= Limit.MemoryMb &&
           this->Accelerators <= Limit.Accelerators;
  }
  friend bool operator==(const Resources &, const Resources &) = default;
};

/// A set of identical tasks of a job.
struct StepSpec {
  int Count = 0;
  Resources Requested;
  Duration Estimate{};        ///< Approximate run time of one task.
  std::vector<int> DependsOn; ///< Indices of steps that must be done first.
  bool Checkpoints = false;   ///< Tasks write checkpoints; not read here.
  bool Gang = false;          ///< All tasks start together or not at all.
  bool SameRack = false;    ///< Prefers one rack for all tasks of a gang, which
                            ///< are slow if spread over several racks.
  bool Speculative = false; ///< A task may have two runs at a time.
  bool LongRunning = false; ///< Restarted whenever it ends, until the job is
                            ///< cancelled.
  bool BestEffort = false;  ///< Uses only CPU that other tasks leave idle.
  std::string RequiredLabel;
  std::string DataRack;         ///< Rack of the input data; slow on any other.
  int MaxPerUpstream = 0;       ///< 0: no limit.
  std::string Image;            ///< Identifies the program; not used for
                                ///< scheduling.
  Duration TailLatencyTarget{}; ///< Limit on the tail latency. Tasks with a
                                ///< target are called serving tasks; 0: none.
  int MaxUnavailable = -1;      ///< Availability budget: tasks that may be
                                ///< unavailable at a time; negative: no limit.

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// When the steps of a job run.
struct Recurrence {
  int Count = 0; ///< Number of occurrences; 0: a single occurrence that is due
                 ///< at once.
  std::int64_t FirstDueMs = 0; ///< Milliseconds since 1970.
  std::int64_t IntervalMs = 0;
  friend bool operator==(const Recurrence &, const Recurrence &) = default;
};

/// Time that the placement advisor takes for a call, as the configuration
/// states it.
struct AdvisorTimings {
  Duration PerCall{};
  Duration PerUpstream{};    ///< For each upstream that the call names.
  Duration TicketValidity{}; ///< Used if an answer does not state it.
  friend bool operator==(const AdvisorTimings &,
                         const AdvisorTimings &) = default;
};

struct QueueSettings {
  QueueId Id;
  std::string Host;
  std::string PathPrefix;
  PoolId Pool;
  int Priority = 0; ///< 0 is the highest priority.
  int MaxAttempts = 1;
  /// The completion objective of a job is its acceptance plus
  /// CriticalPathFactor * critical path + LatencyTarget.
  double CriticalPathFactor = 1.0;
  Duration LatencyTarget{};
  Duration CallTimeout{}; ///< Default and upper limit of a call's timeout.
  bool Public = false;    ///< Callers need no API key.
  bool NeedsAdvice =
      false;              ///< Starts require tickets of the placement advisor.
  AdvisorTimings Advisor; ///< Zero where the configuration states nothing.
  friend bool operator==(const QueueSettings &,
                         const QueueSettings &) = default;
};

struct JobSpec {
  JobId Id;
  /// Settings at acceptance; used if the queue has been removed since. Host,
  /// PathPrefix, CallTimeout and Public are not stored with the job.
  QueueSettings Queue;
  OrganisationId Organisation; ///< Empty on a public queue.
  std::string Payload;         ///< Passed unchanged to each task.
  std::vector<StepSpec> Steps;
  Recurrence Schedule;
  /// Wall-clock time of acceptance in milliseconds since 1970.
  std::int64_t AcceptedAtMs = 0;
  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

struct TaskId {
  JobId Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;
  friend auto operator<=>(const TaskId &, const TaskId &) = default;
  friend bool operator==(const TaskId &, const TaskId &) = default;
};

/// One attempt to run a task. Each start of a task has a new number, which is
/// equal for all members of a gang that start together.
struct RunId {
  TaskId Task;
  int Number = 0;
  friend auto operator<=>(const RunId &, const RunId &) = default;
  friend bool operator==(const RunId &, const RunId &) = default;
};

/// The state of a job. \c Running is never stored: Scheduler::stateOf() derives
/// it.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// How a run ended, as reported by its upstream. Only \c Failed counts as a
/// failed attempt.
enum class RunEnd {
  Done,
  Failed,
  Stopped,
  LeaseExpired,  ///< The lease was not renewed in time.
  GangBroken,    ///< Another member of the gang ended. Kinds of end that are
                 ///< unknown to this version are decoded as this value too.
  GangIncomplete ///< The run waited for the other members of its gang until
                 ///< the gang timeout.
};

struct ActiveRun {
  RunId Run;
  std::string Checkpoint;  ///< The latest one; empty: none.
  int ProgressPercent = 0; ///< Progress of the task; for a long-running task,
                           ///< that of its start (100: ready).
  std::int64_t Load = 0;   ///< Tail latency in ms of a serving task, otherwise
                           ///< milli-CPUs in use.
  friend bool operator==(const ActiveRun &, const ActiveRun &) = default;
};

struct EndedRun {
  /// Increases with each ended run of the incarnation.
  std::int64_t Sequence = 0;
  RunId Run;
  RunEnd Kind = RunEnd::Failed;
  std::string Checkpoint; ///< The latest one; empty: none.
  friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

/// Ended runs that one listing contains at most.
constexpr std::size_t MaxListedEnds = 500;

/// Active and ended runs, as listed by an upstream.
struct RunListing {
  std::int64_t ClockMs = 0; ///< Steady clock of the upstream.
  std::int64_t IncarnationStartMs =
      0; ///< Start of this incarnation, in ms since 1970.
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;

  /// \returns whether no ended run was left out for the limit. Otherwise it
  /// says nothing about runs that it does not contain.
  bool isComplete() const { return this->Ended.size() < MaxListedEnds; }
};

/// Registry entry of an upstream.
struct UpstreamReport {
  UpstreamId Id;
  PoolId Pool;
  std::string Address;
  ZoneId Zone;
  VmId Vm;
  std::int64_t IncarnationStartMs = 0;
  Resources Capacity;
  std::vector<std::string> Labels; ///< The second one is the rack.
  bool Draining = false;           ///< The upstream accepts no new runs.
  /// How much longer it is slow after its start, when the entry was written.
  Duration ColdRemaining{};
  friend bool operator==(const UpstreamReport &,
                         const UpstreamReport &) = default;
};

struct PoolSettings {
  PoolId Id;
  bool EnforcesCapacity =
      true;             ///< Upstreams reject runs that exceed their capacity.
  bool Standby = false; ///< VMs of this pool are off and cost nothing.
  friend bool operator==(const PoolSettings &, const PoolSettings &) = default;
};

struct OrganisationSettings {
  OrganisationId Id;
  std::vector<std::string> Keys;
  double Share = 1.0; ///< Jobs a second; jobs of the same priority that
                      ///< exceed it are placed last.
  Resources Ceiling;  ///< Limit on the resources requested by its runs;
                      ///< per component, 0: no limit.
  friend bool operator==(const OrganisationSettings &,
                         const OrganisationSettings &) = default;
};

/// Limits on HTTP requests of callers.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 1024 * 1024;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// The complete configuration in force.
struct SiteConfiguration {
  std::int64_t Version = 0;
  std::vector<QueueSettings> Queues;
  std::map<PoolId, PoolSettings> Pools;
  std::vector<OrganisationSettings> Organisations;
  CallerLimits Limits;

  const QueueSettings *queue(const QueueId &Id) const;
  const OrganisationSettings *organisation(const OrganisationId &Id) const;
  /// \returns the queue of \p Host with the longest PathPrefix that \p Path
  /// starts with, if any.
  const QueueSettings *match(std::string_view Host,
                             std::string_view Path) const;
  /// \returns the organisation that \p Key belongs to, if any.
  const OrganisationSettings *organisationOfKey(std::string_view Key) const;
};

enum class VmState { Up, Moving, Maintenance, Down };

struct VmRecord {
  VmId Id;
  PoolId Pool;
  VmState State = VmState::Down;
  ZoneId Zone;
  std::vector<std::string> Labels;
  Resources Capacity;
  UpstreamId Upstream;
  friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

/// A request to take each VM of a set down for maintenance once.
struct MaintenanceWave {
  std::int64_t Number = 0;
  std::vector<VmId> Vms;
  Duration Period{};     ///< Time within which all VMs are to be done.
  int MaxConcurrent = 1; ///< VMs that are prepared or down at a time.
  friend bool operator==(const MaintenanceWave &,
                         const MaintenanceWave &) = default;
};

/// Time bounds and limits of the site, as configured. StopTimeout, EarlyStart,
/// Notice and FarFactor are read from the node file but not used.
struct SiteBounds {
  Duration MaxLease = seconds(6); ///< Longest lease sent to an upstream.
  /// Minimum time between commands of two holders to one VM.
  Duration VmHandoverPause = seconds(3);
  Duration StopTimeout = milliseconds(400);
  Duration EarlyStart = milliseconds(250);
  Duration Notice = milliseconds(4500);
  /// Time within which a change of the configuration is in force.
  Duration ConfigurationApply = seconds(2);
  /// Ended jobs are removed after twice this time.
  Duration StatusRetention = seconds(120);
  double FarFactor = 1.5;
  friend bool operator==(const SiteBounds &, const SiteBounds &) = default;
};

} // namespace sardinerill::site

template <> struct std::hash<sardinerill::site::TaskId> {
  std::size_t operator()(const sardinerill::site::TaskId &Id) const {
    // Multiplied by 2^64 divided by the golden ratio, which spreads the bits.
    const std::size_t Position = (std::size_t(Id.Occurrence) << 32) ^
                                 (std::size_t(Id.Step) << 16) ^
                                 std::size_t(Id.Index);
    return std::hash<std::string>()(Id.Job.str()) ^
           (Position * std::size_t(0x9E3779B97F4A7C15ULL));
  }
};
