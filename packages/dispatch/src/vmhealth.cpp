#include "sardinerill/dispatch/vmhealth.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr unsigned FailuresToEject = 3;
constexpr Duration InitialBackoff = milliseconds(500);
/// Limits the backoff to 64 times the initial one, that is 32 s.
constexpr unsigned MaxDoublings = 6;
/// Time after which another probe may be sent if the outcome is still unknown.
constexpr Duration ProbeTimeout = seconds(5);

} // namespace

void VmHealth::record(AttemptOutcome Outcome, Instant Now) {
  if (Outcome == AttemptOutcome::Succeeded) {
    this->ConsecutiveFailures = 0;
    this->Ejections = 0;
    this->EjectedUntil = Instant{};
    return;
  }
  ++this->ConsecutiveFailures;
  if (this->ConsecutiveFailures < FailuresToEject)
    return;
  const unsigned Doublings = std::min(this->Ejections++, MaxDoublings);
  this->EjectedUntil = Now + InitialBackoff * (1U << Doublings);
}

bool VmHealth::isAvailable(Instant Now) const { return !this->isEjected(Now); }

void VmHealth::recordSent(Instant Now) {
  if (this->ConsecutiveFailures >= FailuresToEject)
    this->EjectedUntil = std::max(this->EjectedUntil, Now + ProbeTimeout);
}

} // namespace sardinerill
