#include "sardinerill/platform/platformcalllimiter.h"

#include <algorithm>
#include <array>

namespace sardinerill {

namespace {

/// Fraction of the bucket that calls of each priority leave to calls of higher
/// priority, indexed by CallPriority.
constexpr std::array<double, 3> ReservedFractions{0.0, 0.2, 0.5};
/// Consecutive failures that open the breaker.
constexpr unsigned BreakerThreshold = 3;
/// Longest time for which the breaker opens first; it doubles with each further
/// failure, at most MaxDoublings times.
constexpr Duration InitialBackoff = milliseconds(100);
constexpr unsigned MaxDoublings = 5;

} // namespace

bool PlatformCallLimiter::tryAcquire(CallPriority Priority, Instant Now) {
  const std::chrono::duration<double> Elapsed = Now - this->LastRefill;
  this->LastRefill = Now;
  this->Tokens =
      std::min(this->Rate, this->Tokens + Elapsed.count() * this->Rate);
  if (this->isBreakerOpen(Now))
    return false;
  const double ReservedTokens =
      this->Rate * ReservedFractions[static_cast<std::size_t>(Priority)];
  if (this->Tokens - 1.0 < ReservedTokens)
    return false;
  this->Tokens -= 1.0;
  return true;
}

void PlatformCallLimiter::recordOutcome(bool Succeeded, Instant Now) {
  if (Succeeded) {
    this->ConsecutiveFailures = 0;
    this->BreakerOpenUntil = Instant{};
    return;
  }
  if (++this->ConsecutiveFailures < BreakerThreshold)
    return;
  const unsigned Doublings =
      std::min(this->ConsecutiveFailures - BreakerThreshold, MaxDoublings);
  const Duration Backoff = InitialBackoff * (1U << Doublings);
  std::uniform_int_distribution<Duration::rep> Jitter(Backoff.count() / 2,
                                                      Backoff.count());
  this->BreakerOpenUntil = Now + Duration(Jitter(this->RandomEngine));
}

} // namespace sardinerill
