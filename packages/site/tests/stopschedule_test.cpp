#include "stopschedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;

TEST_CASE("a grace period of 6 s leaves time for a handover, for storing and "
          "for the exit") {
  const Instant Start{seconds(100)};
  const StopSchedule Schedule = StopSchedule::of(Start, seconds(6));
  CHECK((Schedule.HandoverUntil - Start == milliseconds(2500)));
  CHECK((Schedule.StoreUntil - Start == milliseconds(3700)));
  CHECK((Schedule.AcceptUntil - Start == milliseconds(3500)));
  CHECK((Schedule.ExitAt - Start == milliseconds(5300)));
}

TEST_CASE("property: every phase of a stop ends before the process is killed") {
  CHECK(rc::check([] {
    const Duration Grace = milliseconds(*rc::gen::inRange(100, 60000));
    const Instant Start{seconds(100)};
    const StopSchedule Schedule = StopSchedule::of(Start, Grace);
    RC_ASSERT(Start < Schedule.HandoverUntil);
    RC_ASSERT(Schedule.HandoverUntil < Schedule.StoreUntil);
    RC_ASSERT(Schedule.StoreUntil < Schedule.ExitAt);
    RC_ASSERT(Schedule.AcceptUntil <= Schedule.ExitAt);
    RC_ASSERT(Schedule.ExitAt < Start + Grace);
  }));
}
