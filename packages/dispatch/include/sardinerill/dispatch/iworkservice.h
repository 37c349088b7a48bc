#pragma once

#include "sardinerill/dispatch/dispatchtypes.h"

#include <functional>

/// \file
/// Interface through which the gateway submits callers' requests.

namespace sardinerill {

/// Runs requests and returns their responses.
class IWorkService {
public:
  using Callback = std::function<void(Result<WorkResponse>)>;

  virtual ~IWorkService() = default;
  /// Submits \p Request. \p OnDone is called exactly once, possibly before
  /// submit() returns.
  virtual void submit(WorkRequest Request, Callback OnDone) = 0;
  /// Cancels a pending request, for example because its caller has
  /// disconnected. A queued request is not started; a running one is stopped if
  /// the worker supports it. The callback passed to submit() is still called.
  virtual void cancel(const RequestId &Id) = 0;
};

} // namespace sardinerill
