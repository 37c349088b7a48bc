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
  /// Numbers of the runs that failed. Stored as numbers rather than as a count:
  /// an upstream lists an ended run again until it is acknowledged, also to the
  /// next holder, and each failure must count once.
  std::vector<int> FailedRuns;
  int LastNumber = 0; ///< Highest run number used so far.
  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

struct JobProgress {
  JobState State = JobState::Queued;
  /// By occurrence, step and task index. Tasks without a change are omitted.
  std::map<int, std::map<int, std::map<int, TaskProgress>>> Tasks;
  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

std::string_view toString(JobState State);

/// \returns the stored form of \p Progress.
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Text);

/// \returns the stored form of an accepted job.
std::string encodeJob(const JobSpec &Spec);
Result<JobSpec> decodeJob(const std::string &Text);

} // namespace sardinerill::site
