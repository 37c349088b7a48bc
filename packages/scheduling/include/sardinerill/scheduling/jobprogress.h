#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// The stored progress of a job.

namespace sardinerill::site {

/// What is kept of one task beyond its being done.
struct TaskProgress {
  bool Done = false;
  /// Numbers of the runs that failed; upstreams list an end again until it is
  /// acknowledged, also to the next holder.
  std::vector<int> FailedRuns;
  int LastNumber = 0;
  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

struct JobProgress {
  JobState State = JobState::Queued;
  /// By occurrence, step and index; only tasks that differ from new ones.
  std::map<int, std::map<int, std::map<int, TaskProgress>>> Tasks;
  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

std::string_view toString(JobState State);

/// \returns the text that is stored for \p Progress.
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Text);

/// \returns the text that is stored for an accepted job.
std::string encodeJob(const JobSpec &Spec);
Result<JobSpec> decodeJob(const std::string &Text);

} // namespace sardinerill::site
