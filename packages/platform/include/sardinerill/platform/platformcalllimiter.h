#pragma once

#include "sardinerill/base/clock.h"

#include <random>

/// \file
/// Client-side limit that keeps one daemon within its portion of the platform's
/// capacity.

namespace sardinerill {

/// Priority of a call. When tokens run short, Background calls are rejected
/// first and Urgent ones last.
enum class CallPriority { Urgent, Normal, Background };

/// A token bucket that reserves tokens for calls of higher priority, combined
/// with a circuit breaker. The breaker protects a failing platform from a burst
/// of calls when it recovers.
class PlatformCallLimiter {
public:
  PlatformCallLimiter(unsigned CallsPerSecond, std::uint64_t Seed)
      : Rate(CallsPerSecond), Tokens(CallsPerSecond), RandomEngine(Seed) {}

  /// Consumes a token if a call of this priority may be made now.
  /// \returns whether the call may be made.
  bool tryAcquire(CallPriority Priority, Instant Now);
  /// Records the outcome of a call. Consecutive failures open the breaker for a
  /// time that doubles with each further one and is jittered; a success closes
  /// it.
  void recordOutcome(bool Succeeded, Instant Now);
  /// \returns whether the breaker rejects all calls.
  bool isBreakerOpen(Instant Now) const { return Now < this->BreakerOpenUntil; }

private:
  double Rate; ///< Tokens per second, and the size of the bucket.
  double Tokens;
  Instant LastRefill{};
  unsigned ConsecutiveFailures = 0;
  Instant BreakerOpenUntil{};
  std::mt19937_64 RandomEngine;
};

} // namespace sardinerill
