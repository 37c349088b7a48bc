#include "sardinerill/platform/platformgate.h"

#include <algorithm>
#include <array>

namespace sardinerill {

namespace {

/// Fraction of the bucket that calls of each priority leave to calls of higher
/// priority, indexed by CallPriority.
constexpr std::array<double, 3> ReservedPart{0.0, 0.2, 0.5};
/// Consecutive failures that open the breaker.
constexpr unsigned FailuresToOpen = 3;
/// Longest time for which the breaker opens first; it doubles with each further
/// failure, at most MaxDoublings times.
constexpr Duration FirstPause = milliseconds(100);
constexpr unsigned MaxDoublings = 5;

} // namespace

bool PlatformGate::allow(CallPriority Priority, Instant Now) {
  const std::chrono::duration<double> Passed = Now - this->Refilled;
  this->Refilled = Now;
  this->Tokens =
      std::min(this->Rate, this->Tokens + Passed.count() * this->Rate);
  if (this->isOpen(Now))
    return false;
  const double Kept =
      this->Rate * ReservedPart[static_cast<std::size_t>(Priority)];
  if (this->Tokens - 1.0 < Kept)
    return false;
  this->Tokens -= 1.0;
  return true;
}

void PlatformGate::record(bool Succeeded, Instant Now) {
  if (Succeeded) {
    this->Failures = 0;
    this->OpenUntil = Instant{};
    return;
  }
  if (++this->Failures < FailuresToOpen)
    return;
  const unsigned Doublings =
      std::min(this->Failures - FailuresToOpen, MaxDoublings);
  const Duration Pause = FirstPause * (1U << Doublings);
  std::uniform_int_distribution<Duration::rep> Jitter(Pause.count() / 2,
                                                      Pause.count());
  this->OpenUntil = Now + Duration(Jitter(this->Random));
}

} // namespace sardinerill
