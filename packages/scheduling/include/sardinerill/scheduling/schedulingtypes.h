#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// Values of the scheduler: jobs, upstreams, the configuration and orders.

namespace sardinerill::site {

using JobId = StrongId<struct JobTag>;
using QueueId = StrongId<struct QueueTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
/// One life of a process on a VM that runs tasks.
using UpstreamId = StrongId<struct UpstreamTag>;

/// Processors in thousandths, memory in MiB, accelerators.
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
  /// \returns whether this much fits into \p Room.
  bool fitsIn(const Resources &Room) const {
    return this->CpuMilli <= Room.CpuMilli && this->MemoryMb <= Room.MemoryMb &&
           this->Accelerators <= Room.Accelerators;
  }
  friend bool operator==(const Resources &, const Resources &) = default;
};

/// A set of equal tasks of a job.
struct StepSpec {
  int Count = 0;
  Resources Need;
  Duration Estimate{};    ///< Rough run time of one task.
  std::vector<int> After; ///< Earlier steps that must be done first.
  bool Checkpoints = false;
  bool Gang = false;        ///< All tasks run together or not at all.
  bool SameRack = false;    ///< Slow when spread over several racks.
  bool Speculative = false; ///< Copies may run in parallel.
  bool LongRunning = false; ///< Runs until the job is cancelled.
  bool Fills = false;       ///< Uses only processors that others leave.
  std::string RequiredLabel;
  std::string DataRack;    ///< Slow on any other rack.
  int MaxPerUpstream = 0;  ///< 0: no limit.
  std::string Image;       ///< Tasks of one image behave alike.
  Duration TailTarget{};   ///< Longest tail latency of a serving task; 0: none.
  int MaxUnavailable = -1; ///< Availability budget; negative: none.

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// When the steps of a job run; one occurrence, at once, by default.
struct Recurrence {
  int Count = 0;               ///< 0: not scheduled by time.
  std::int64_t FirstDueMs = 0; ///< Since 1970.
  std::int64_t IntervalMs = 0;
  friend bool operator==(const Recurrence &, const Recurrence &) = default;
};

struct QueueSettings {
  QueueId Id;
  std::string Host;
  std::string PathPrefix;
  PoolId Pool;
  int Priority = 0; ///< 0 goes first.
  int MaxAttempts = 1;
  double Stretch = 1.0; ///< Objective as a multiple of the longest chain.
  Duration LatencyTarget{};
  Duration CallTimeout{};
  bool Public = false;
  bool NeedsAdvice = false; ///< Starts need tickets of the placement advisor.
  friend bool operator==(const QueueSettings &,
                         const QueueSettings &) = default;
};

struct JobSpec {
  JobId Id;
  /// As they were at the acceptance; serve once the queue is removed.
  QueueSettings Queue;
  OrganisationId Organisation; ///< Empty on a public queue.
  std::string Payload;         ///< Passed to each task unchanged.
  std::vector<StepSpec> Steps;
  Recurrence Schedule;
  /// Time of day of the acceptance in milliseconds since 1970.
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

/// One start of a task.
struct RunId {
  TaskId Task;
  int Number = 0;
  friend auto operator<=>(const RunId &, const RunId &) = default;
  friend bool operator==(const RunId &, const RunId &) = default;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// How a run ended, as its upstream lists it.
enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

struct ActiveRun {
  RunId Run;
  std::string Checkpoint;
  int Percent = 0;
  std::int64_t Load = 0; ///< Tail in ms of a serving task, else milli-CPUs.
  friend bool operator==(const ActiveRun &, const ActiveRun &) = default;
};

struct EndedRun {
  std::int64_t Sequence = 0; ///< Position in the list of this life.
  RunId Run;
  RunEnd How = RunEnd::Failed;
  std::string Checkpoint;
  friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

/// What an upstream says is running and has ended.
struct RunListing {
  std::int64_t ClockMs = 0; ///< Steady clock of the upstream.
  std::int64_t BornMs = 0;  ///< Start of this life, since 1970.
  std::vector<ActiveRun> Active;
  std::vector<EndedRun> Ended;
};

/// What an upstream says about itself in the registry.
struct UpstreamReport {
  UpstreamId Id;
  PoolId Pool;
  std::string Address;
  ZoneId Zone;
  VmId Vm;
  std::int64_t BornMs = 0;
  Resources Capacity;
  std::vector<std::string> Labels;
  bool Draining = false;
  friend bool operator==(const UpstreamReport &,
                         const UpstreamReport &) = default;
};

struct PoolSettings {
  PoolId Id;
  bool GuardsCapacity = true; ///< Upstreams refuse what does not fit.
  bool Standby = false;       ///< Its VMs are off and cost nothing.
  friend bool operator==(const PoolSettings &, const PoolSettings &) = default;
};

struct OrganisationSettings {
  OrganisationId Id;
  std::vector<std::string> Keys;
  double Share = 1.0;
  Resources Ceiling; ///< 0: no limit.
  friend bool operator==(const OrganisationSettings &,
                         const OrganisationSettings &) = default;
};

struct CallerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 1024 * 1024;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// The configuration in force, in full.
struct SiteConfiguration {
  std::int64_t Version = 0;
  std::vector<QueueSettings> Queues;
  std::map<PoolId, PoolSettings> Pools;
  std::vector<OrganisationSettings> Organisations;
  CallerLimits Limits;

  const QueueSettings *queue(const QueueId &Id) const;
  const OrganisationSettings *organisation(const OrganisationId &Id) const;
  /// \returns the queue of the longest path prefix that fits, if any.
  const QueueSettings *match(std::string_view Host,
                             std::string_view Path) const;
  /// \returns the organisation that holds \p Key, if any.
  const OrganisationSettings *holderOf(std::string_view Key) const;
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

/// A request to take each of some VMs down for maintenance once.
struct MaintenanceWave {
  std::int64_t Number = 0;
  std::vector<VmId> Vms;
  Duration Period{};
  int MaxAtOnce = 1;
  friend bool operator==(const MaintenanceWave &,
                         const MaintenanceWave &) = default;
};

/// Bounds of the site that the scheduler needs.
struct SiteBounds {
  Duration LongestHold = seconds(6);
  Duration StopTimeout = milliseconds(400);
  Duration EarlyStart = milliseconds(250);
  Duration Notice = milliseconds(4500);
  Duration StatusRetention = seconds(120);
  double FarFactor = 1.5;
  friend bool operator==(const SiteBounds &, const SiteBounds &) = default;
};

} // namespace sardinerill::site

template <> struct std::hash<sardinerill::site::TaskId> {
  std::size_t operator()(const sardinerill::site::TaskId &Id) const {
    const std::size_t Place = (std::size_t(Id.Occurrence) << 32) ^
                              (std::size_t(Id.Step) << 16) ^
                              std::size_t(Id.Index);
    return std::hash<std::string>()(Id.Job.str()) ^
           (Place * std::size_t(0x9E3779B97F4A7C15ULL));
  }
};
