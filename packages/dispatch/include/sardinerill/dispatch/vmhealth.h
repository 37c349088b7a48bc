#pragma once

#include "sardinerill/base/clock.h"

/// \file
/// Judges one upstream VM by the outcome of the work sent to it.

namespace sardinerill {

/// What became of one try.
enum class AttemptOutcome { Succeeded, Failed };

/// Ejects a VM whose tries fail in a row and lets it back by single probes.
/// A worker that fails everything at once looks idle; ejection keeps failure
/// from attracting load.
class VmHealth {
public:
  void record(AttemptOutcome Outcome, Instant Now);
  /// \returns whether the VM may be given work. During ejection one probe is
  /// let through when the back-off has passed.
  bool isAvailable(Instant Now) const;
  /// A probe was sent; no other goes out before its outcome.
  void beginProbe(Instant Now);
  bool isEjected(Instant Now) const { return Now < this->EjectedUntil; }
  /// \returns tries that failed in a row.
  unsigned consecutiveFailures() const { return this->ConsecutiveFailures; }

private:
  unsigned ConsecutiveFailures = 0;
  unsigned Ejections = 0;
  Instant EjectedUntil{};
};

} // namespace sardinerill
