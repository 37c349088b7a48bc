#include "sardinerill/queueing/runtimeestimator.h"

#include <doctest/doctest.h>

using namespace sardinerill;

TEST_CASE("a team with too few runs is estimated by those of its class") {
  // Otherwise the first requests of a team start too late for their target.
  RunTimeEstimator Times;
  const ClassId Class("pattern");
  for (int Run = 0; Run < 20; ++Run)
    Times.record(Class, TeamId("slow"), seconds(2));
  CHECK(Times.estimate(Class, TeamId("new")) == seconds(2));
  for (int Run = 0; Run < 20; ++Run)
    Times.record(Class, TeamId("new"), milliseconds(100));
  CHECK(Times.estimate(Class, TeamId("new")) == milliseconds(100));
  CHECK_FALSE(Times.estimate(ClassId("other"), TeamId("new")));
}
