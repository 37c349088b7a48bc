#include "sardinerill/platform/platformgate.h"

#include <doctest/doctest.h>

using namespace sardinerill;

TEST_CASE("background calls leave room for urgent ones") {
  PlatformGate Gate(10, 1);
  Instant Now(seconds(100));
  int Background = 0;
  while (Gate.allow(CallPriority::Background, Now))
    ++Background;
  int Urgent = 0;
  while (Gate.allow(CallPriority::Urgent, Now))
    ++Urgent;
  CHECK(Background == 5);
  CHECK(Urgent == 5);
}

TEST_CASE("a failing platform is asked ever less often, and not in step") {
  Instant Now(seconds(100));
  PlatformGate First(1000, 1);
  PlatformGate Second(1000, 2);
  int Calls = 0;
  bool SameDecisions = true;
  for (int Ms = 0; Ms < 60000; ++Ms, Now += milliseconds(1)) {
    const bool FirstAllowed = First.allow(CallPriority::Normal, Now);
    const bool SecondAllowed = Second.allow(CallPriority::Normal, Now);
    SameDecisions = SameDecisions && FirstAllowed == SecondAllowed;
    if (FirstAllowed)
      First.record(false, Now);
    if (SecondAllowed)
      Second.record(false, Now);
    Calls += FirstAllowed ? 1 : 0;
  }
  CHECK(Calls < 60);
  CHECK_FALSE(SameDecisions);
  First.record(true, Now);
  CHECK(First.allow(CallPriority::Normal, Now));
}
