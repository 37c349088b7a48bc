#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include <set>

/// \file
/// Stored progress of a job and its encoding, and the encoding of accepted
/// jobs.

namespace sardinerill::site {

/// What is known of upstreams that crashed just after they had started a task.
struct CrashRecord {
  int Crashes = 0; ///< Upstreams that crashed while the task was a suspect.
  /// At one of these crashes no other task could be the cause.
  bool Proven = false;
  bool Suspected = false; ///< Is started on its own; not stored.
  /// Crashes shortly before which the task was started; not stored.
  int RecentStarts = 0;
  /// Until then, it is started only where nothing else runs; not stored.
  Instant IdleOnlyUntil{};
  friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
};

/// Stored state of one task.
struct TaskProgress {
  bool Done = false;
  /// Numbers of the runs that failed. An upstream lists an ended run
  /// repeatedly, also to a new holder, until it is acknowledged; the numbers
  /// identify the repeats, so that each failure counts once.
  std::vector<int> FailedRuns;
  int LastRunNumber = 0; ///< Highest run number used so far.
  CrashRecord Crashes;
  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

/// The part of a job's state that is stored and survives a change of holder.
struct JobProgress {
  JobState State = JobState::Queued;
  /// By occurrence, step and task index. Only tasks that are done, have failed
  /// runs or have crashed upstreams.
  std::map<int, std::map<int, std::map<int, TaskProgress>>> Tasks;
  /// Pools other than that at its acceptance in which tasks may have been
  /// started. Stored before the first start there.
  std::set<PoolId> OtherPools;
  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

std::string_view toString(JobState State);

/// \returns \p Progress encoded as JSON for storage.
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Text);

/// \returns an accepted job encoded as JSON for storage.
std::string encodeJob(const JobSpec &Spec);
Result<JobSpec> decodeJob(const std::string &Text);

} // namespace sardinerill::site
