#pragma once

#include "sardinerill/jobs/jobtypes.h"

#include <functional>

/// \file
/// What callers' doors hand job calls to.

namespace sardinerill {

/// Takes and follows jobs.
class IJobService {
public:
  using Done = std::function<void(Result<JobAnswer>)>;

  virtual ~IJobService() = default;
  /// \p Finished is called exactly once.
  virtual void call(JobCall Call, Done OnDone) = 0;
};

} // namespace sardinerill
