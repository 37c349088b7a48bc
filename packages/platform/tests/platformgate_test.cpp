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
  bool InStep = true;
  for (int Ms = 0; Ms < 60000; ++Ms, Now += milliseconds(1)) {
    const bool A = First.allow(CallPriority::Normal, Now);
    const bool B = Second.allow(CallPriority::Normal, Now);
    InStep = InStep && A == B;
    if (A)
      First.record(false, Now);
    if (B)
      Second.record(false, Now);
    Calls += A ? 1 : 0;
  }
  CHECK(Calls < 60);
  CHECK_FALSE(InStep);
  First.record(true, Now);
  CHECK(First.allow(CallPriority::Normal, Now));
}
