#include "sardinerill/platform/platformcalllimiter.h"

#include <doctest/doctest.h>

using namespace sardinerill;

// Background calls must stop at the tokens reserved for higher priorities;
// otherwise urgent calls are rejected while background work is heavy.
TEST_CASE("background calls leave the reserved tokens to urgent calls") {
  PlatformCallLimiter Limiter(10, 1);
  Instant Now(seconds(100));
  int Background = 0;
  while (Limiter.tryAcquire(CallPriority::Background, Now))
    ++Background;
  int Urgent = 0;
  while (Limiter.tryAcquire(CallPriority::Urgent, Now))
    ++Urgent;
  CHECK(Background == 5);
  CHECK(Urgent == 5);
}

// Without backoff, calls to a failing platform go on at the full rate. Without
// jitter, the breakers of all daemons admit their next call at the same time.
TEST_CASE("the breaker backs off with jitter while the platform fails") {
  Instant Now(seconds(100));
  PlatformCallLimiter First(1000, 1);
  PlatformCallLimiter Second(1000, 2);
  int Calls = 0;
  bool SameDecisions = true;
  for (int Ms = 0; Ms < 60000; ++Ms, Now += milliseconds(1)) {
    const bool FirstAllowed = First.tryAcquire(CallPriority::Normal, Now);
    const bool SecondAllowed = Second.tryAcquire(CallPriority::Normal, Now);
    SameDecisions = SameDecisions && FirstAllowed == SecondAllowed;
    if (FirstAllowed)
      First.recordOutcome(false, Now);
    if (SecondAllowed)
      Second.recordOutcome(false, Now);
    Calls += FirstAllowed ? 1 : 0;
  }
  CHECK(Calls < 60);
  CHECK_FALSE(SameDecisions);
  First.recordOutcome(true, Now);
  CHECK(First.tryAcquire(CallPriority::Normal, Now));
}
