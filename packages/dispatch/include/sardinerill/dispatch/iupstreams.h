#pragma once

#include "sardinerill/dispatch/dispatchtypes.h"

#include <functional>

/// \file
/// The upstream VMs, by the protocol of docs/UPSTREAM.md.

namespace sardinerill {

/// Sends work to upstream VMs.
class IUpstreams {
public:
  using Callback = std::function<void(UpstreamOutcome)>;

  virtual ~IUpstreams() = default;
  /// Sends one try; \p Finished is called once, not before this returns.
  virtual void send(UpstreamRequest Request, Callback OnDone) = 0;
  /// Asks the VM to stop the task; its send() still ends by itself.
  virtual void cancel(const VmEndpoint &Vm, const RequestId &Id) = 0;
};

} // namespace sardinerill
