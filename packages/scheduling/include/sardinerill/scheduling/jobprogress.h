#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Stored progress of a job and its encoding, and the encoding of accepted
/// jobs.

namespace sardinerill::site {

/// Stored state of one task.
struct TaskProgress {
  bool Done = false;
  /// Numbers of the runs that failed. An upstream lists an ended run
  /// repeatedly, also to a new holder, until it is acknowledged; the numbers
  /// identify the repeats, so that each failure counts once.
  std::vector<int> FailedRuns;
  int LastRunNumber = 0; ///< Highest run number used so far.
  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

/// The part of a job's state that is stored and survives a change of holder.
struct JobProgress {
  JobState State = JobState::Queued;
  /// By occurrence, step and task index. Only tasks that are done or have
  /// failed runs.
  std::map<int, std::map<int, std::map<int, TaskProgress>>> Tasks;
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
