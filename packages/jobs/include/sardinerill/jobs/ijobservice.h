#pragma once

#include "sardinerill/jobs/jobtypes.h"

#include <functional>

/// \file
/// Interface through which the gateway submits callers' job requests.

namespace sardinerill {

/// Accepts jobs and reports their status and results.
class IJobService {
public:
  using Done = std::function<void(Result<JobAnswer>)>;

  virtual ~IJobService() = default;
  /// Executes \p Call. \p OnDone is called exactly once.
  virtual void call(JobCall Call, Done OnDone) = 0;
};

} // namespace sardinerill
