#pragma once

#include "sardinerill/jobs/jobtypes.h"

#include <functional>

/// \file
/// Interface through which the gateway submits callers' job requests.

namespace sardinerill {

/// Accepts jobs and reports their status and results.
class IJobService {
public:
  using Callback = std::function<void(Result<JobResponse>)>;

  virtual ~IJobService() = default;
  /// Executes \p Request. \p OnDone is called exactly once.
  virtual void call(JobRequest Request, Callback OnDone) = 0;
};

} // namespace sardinerill
