#include "sardinerill/dispatch/vmhealth.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr unsigned FailuresToEject = 3;
constexpr Duration FirstEjection = milliseconds(500);
constexpr unsigned MaxDoublings = 6;
constexpr Duration ProbeTimeout = seconds(5);

} // namespace

void VmHealth::record(TryOutcome Outcome, Instant Now) {
  if (Outcome == TryOutcome::Answered) {
    this->InRow = 0;
    this->Ejections = 0;
    this->EjectedUntil = Instant{};
    return;
  }
  ++this->InRow;
  if (this->InRow < FailuresToEject)
    return;
  const unsigned Doublings = std::min(this->Ejections++, MaxDoublings);
  this->EjectedUntil = Now + FirstEjection * (1U << Doublings);
}

bool VmHealth::mayTry(Instant Now) const { return !this->isEjected(Now); }

void VmHealth::beginProbe(Instant Now) {
  if (this->InRow >= FailuresToEject)
    this->EjectedUntil = std::max(this->EjectedUntil, Now + ProbeTimeout);
}

} // namespace sardinerill
