#pragma once

#include "sardinerill/dispatch/dispatchtypes.h"

#include <functional>

/// \file
/// What callers' doors hand work to.

namespace sardinerill {

/// Takes work and answers it.
class IWorkService {
public:
  using Done = std::function<void(Result<WorkAnswer>)>;

  virtual ~IWorkService() = default;
  /// Takes \p Request; \p Finished is called exactly once, possibly before this
  /// returns.
  virtual void submit(WorkRequest Request, Done OnDone) = 0;
  /// The caller has gone: what has not started does not start, and what runs is
  /// stopped where the worker can. \p Finished is still called.
  virtual void cancel(const RequestId &Id) = 0;
};

} // namespace sardinerill
