#pragma once

#include "sardinerill/dispatch/dispatchtypes.h"

#include <functional>

/// \file
/// Interface to the upstream VMs; docs/UPSTREAM.md describes the protocol.

namespace sardinerill {

/// Sends requests to upstream VMs.
class IUpstreams {
public:
  using Callback = std::function<void(UpstreamOutcome)>;

  virtual ~IUpstreams() = default;
  /// Sends one attempt. \p OnDone is called exactly once, after send() has
  /// returned.
  virtual void send(UpstreamRequest Request, Callback OnDone) = 0;
  /// Asks the VM to stop the task. The callback passed to send() is still
  /// called.
  virtual void cancel(const VmEndpoint &Vm, const RequestId &Id) = 0;
};

} // namespace sardinerill
