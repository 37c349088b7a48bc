#pragma once

#include "sardinerill/base/clock.h"

/// \file
/// Tracks the health of one upstream VM by the outcomes of the attempts sent to
/// it.

namespace sardinerill {

/// Outcome of one attempt. A complete reply with a status below 500 counts as
/// Succeeded.
enum class AttemptOutcome { Succeeded, Failed };

/// Ejects a VM after consecutive failures, and then sends it single probe
/// requests until one succeeds. Without ejection, a VM that fails requests
/// immediately would be preferred because it runs few of them.
class VmHealth {
public:
  void record(AttemptOutcome Outcome, Instant Now);
  /// \returns whether requests may be sent to the VM: neither a backoff nor a
  /// probe is in progress. The first request after a backoff is a probe.
  bool isAvailable(Instant Now) const;
  /// Records that a request was sent to the VM. If it is a probe, no other
  /// request is sent until its outcome is known or the probe has timed out.
  void recordSent(Instant Now);
  /// \returns whether the VM is in a backoff or waits for a probe's outcome.
  bool isEjected(Instant Now) const { return Now < this->EjectedUntil; }
  /// \returns the number of consecutive failed attempts.
  unsigned consecutiveFailures() const { return this->ConsecutiveFailures; }

private:
  unsigned ConsecutiveFailures = 0;
  unsigned Ejections = 0;
  Instant EjectedUntil{};
};

} // namespace sardinerill
