#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Refusal of jobs that can't end while they still have value.
///
/// Load that is addressed: callers submit more than a pool can serve, and learn
/// that their jobs were not served only when it is too late to send them
/// elsewhere. A job is refused only if the work that certainly precedes it
/// takes too long; what is unknown counts in favour of the job.

namespace sardinerill::overload {

/// Waiting work is summed by the size of its jobs: class I holds jobs of less
/// than 2^I CPU seconds.
constexpr std::size_t SizeBuckets = 16;

/// \returns the class of a job with \p CpuSeconds.
std::size_t sizeBucketOf(double CpuSeconds);

/// Work of one pool and priority, in CPU seconds. Contains only work within the
/// rate shares that can meet its objective, and that of started jobs.
struct WorkAhead {
  double Started = 0;                        ///< What is left of started jobs.
  std::array<double, SizeBuckets> Waiting{}; ///< Of jobs that have not started.
  friend bool operator==(const WorkAhead &, const WorkAhead &) = default;
};

/// The largest resources that are free on any one upstream.
struct LargestFree {
  std::int64_t CpuMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  friend bool operator==(const LargestFree &, const LargestFree &) = default;
};

/// Load of one pool.
struct PoolLoad {
  double Cores = 0; ///< Capacity for short tasks.
  LargestFree Free;
  std::map<int, WorkAhead> Ahead; ///< By priority.
  /// With fair shares: the waiting CPU seconds of each organisation divided by
  /// its fair part of the pool.
  std::map<std::string, double> FairWaiting;
  friend bool operator==(const PoolLoad &, const PoolLoad &) = default;
};

/// What an entry daemon needs to decide. Pools that the holder does not know
/// completely are left out.
struct LoadSummary {
  /// VMs are idle or about to be available that may serve any pool.
  bool HasIdleVms = false;
  bool FairShares = false;
  std::map<std::string, PoolLoad> Pools;
  /// Ratio of measured to estimated run times, by queue.
  std::map<std::string, double> RunTimeFactors;
  friend bool operator==(const LoadSummary &, const LoadSummary &) = default;
};

/// A summary and its age when it was sent.
struct AgedSummary {
  LoadSummary Summary;
  Duration Age{};
};

std::string encodeSummary(const LoadSummary &Summary, Duration Age);
/// \returns the summary, or BadRequest.
Result<AgedSummary> decodeSummary(const std::string &Text);

/// A submitted job. Recurring jobs and jobs with long-running tasks are never
/// refused and have no request.
struct AdmissionRequest {
  std::string Job;
  std::string Queue;
  std::string Pool;
  std::string Organisation;
  int Priority = 0;
  Duration CriticalPath{}; ///< By the caller's estimates.
  double CpuSeconds = 0;   ///< By the caller's estimates.
  double CriticalPathFactor = 1.0;
  Duration LatencyTarget{};
  /// What one task of each step that may start at once requires.
  std::vector<LargestFree> FirstTasks;
};

struct Refusal {
  milliseconds RetryAfter{};
  Duration PredictedWait{};
};

/// \returns the refusal of \p Request, or none if it is to be accepted.
std::optional<Refusal> refusalOf(const AdmissionRequest &Request,
                                 const LoadSummary &Summary);

} // namespace sardinerill::overload
