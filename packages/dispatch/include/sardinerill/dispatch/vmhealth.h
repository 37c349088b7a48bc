#pragma once

#include "sardinerill/base/clock.h"

/// \file
/// Tracks the health of one upstream VM by the outcomes of the attempts sent to
/// it.

namespace sardinerill {

/// Outcome of one attempt. A complete reply with a status below 500 counts as
/// Succeeded.
enum class AttemptOutcome { Succeeded, Failed };

/// Ejects a VM after consecutive failures and readmits it by single probes.
/// A worker that fails every request at once looks idle; without ejection it
/// would attract more load.
class VmHealth {
public:
  void record(AttemptOutcome Outcome, Instant Now);
  /// \returns whether requests may be sent to the VM. An ejected VM receives
  /// one probe request once the backoff has passed.
  bool isAvailable(Instant Now) const;
  /// Records that a request was sent. If it is a probe, no other is sent until
  /// its outcome is known or the probe has timed out.
  void beginProbe(Instant Now);
  bool isEjected(Instant Now) const { return Now < this->EjectedUntil; }
  /// \returns the number of consecutive failed attempts.
  unsigned consecutiveFailures() const { return this->ConsecutiveFailures; }

private:
  unsigned ConsecutiveFailures = 0;
  unsigned Ejections = 0;
  Instant EjectedUntil{};
};

} // namespace sardinerill
