#include "sardinerill/upstreamspeed/upstreamspeeds.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

const VmId Slow("slow");
const VmId Normal("normal");

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

RunMeasurement taking(std::int64_t Millis, const std::string &Group = "queue") {
  return {.Group = Group,
          .Measured = milliseconds(Millis),
          .Expected = milliseconds(1000)};
}

/// Records \p Count runs on each of ten VMs, the first of which takes
/// \p SlowMillis and the others 1 s.
void recordFleet(UpstreamSpeeds &Speeds, int Count, int SlowMillis) {
  for (int Run = 0; Run < Count; ++Run)
    for (int Vm = 0; Vm < 10; ++Vm)
      Speeds.recordRun(Vm ? VmId("normal" + std::to_string(Vm)) : Slow,
                       taking(Vm ? 1000 : SlowMillis), at(Run * 100));
}

} // namespace

TEST_CASE(
    "an upstream that takes twice as long is recognised after some runs") {
  // Guards against steps that end late because of one slow upstream.
  UpstreamSpeeds Speeds;
  recordFleet(Speeds, 2, 2000);
  CHECK(Speeds.healthOf(Slow, at(200)).isHealthy());
  recordFleet(Speeds, 30, 2500);
  CHECK_FALSE(Speeds.healthOf(Slow, at(3000)).isHealthy());
  CHECK(Speeds.healthOf(Slow, at(3000)).isSlow());
  const UpstreamHealth Other = Speeds.healthOf(VmId("normal1"), at(3000));
  CHECK(Other.isHealthy());
  CHECK_FALSE(Other.isSlow());
}

TEST_CASE("a slow upstream is tried again, and recovers by its runs") {
  // Guards against an upstream that is never used again after a disturbance.
  UpstreamSpeeds Speeds;
  recordFleet(Speeds, 30, 3000);
  REQUIRE_FALSE(Speeds.healthOf(Slow, at(3000)).isHealthy());
  CHECK(Speeds.healthOf(Slow, at(60000)).isHealthy());
  CHECK(Speeds.healthOf(Slow, at(200000)).Slowdown < 1.01);
  for (int Run = 0; Run < 24; ++Run)
    Speeds.recordRun(Slow, taking(1000), at(3000));
  CHECK(Speeds.healthOf(Slow, at(3000)).isHealthy());
}

TEST_CASE("durations with a long tail do not make an upstream slow") {
  // Guards against spreading tasks over more VMs because of chance. The median
  // is 1.9 s and the 99th percentile 19 s.
  std::mt19937 Random(1);
  std::lognormal_distribution<double> Duration(std::log(1900), 0.99);
  UpstreamSpeeds Speeds;
  int SlowVms = 0;
  int UnhealthyVms = 0;
  for (int Ms = 0; Ms < 20000; Ms += 300)
    for (int Vm = 0; Vm < 50; ++Vm)
      Speeds.recordRun(VmId(std::to_string(Vm)),
                       {.Group = "queue",
                        .Measured = milliseconds(int(Duration(Random))),
                        .Expected = milliseconds(3000)},
                       at(Ms));
  for (int Vm = 0; Vm < 50; ++Vm) {
    const UpstreamHealth Health =
        Speeds.healthOf(VmId(std::to_string(Vm)), at(20000));
    SlowVms += Health.isSlow();
    UnhealthyVms += !Health.isHealthy();
  }
  CHECK(SlowVms <= 5);
  CHECK(UnhealthyVms == 0);
}

TEST_CASE("the forecast error of a queue is not taken for a slow upstream") {
  // Guards against avoiding the upstreams that run a queue whose callers
  // underestimate.
  UpstreamSpeeds Speeds;
  for (int Run = 0; Run < 30; ++Run) {
    Speeds.recordRun(Normal, taking(3000, "underestimated"), at(Run * 100));
    Speeds.recordRun(Slow, taking(900, "other"), at(Run * 100));
  }
  CHECK(Speeds.healthOf(Normal, at(3000)).Slowdown == doctest::Approx(1.0));
  CHECK(Speeds.healthOf(Slow, at(3000)).Slowdown == doctest::Approx(1.0));
}

TEST_CASE("repeated failures make an upstream unhealthy, one does not") {
  // Guards against an upstream that fails every second task.
  UpstreamSpeeds Speeds;
  Speeds.recordFailure(Slow, at(0));
  CHECK(Speeds.healthOf(Slow, at(0)).isHealthy());
  Speeds.recordFailure(Slow, at(100));
  CHECK_FALSE(Speeds.healthOf(Slow, at(100)).isHealthy());
  for (int Run = 0; Run < 4; ++Run)
    Speeds.recordSuccess(Slow, at(200));
  CHECK(Speeds.healthOf(Slow, at(200)).isHealthy());
  for (int Run = 0; Run < 6; ++Run) {
    Speeds.recordFailure(Normal, at(300));
    Speeds.recordSuccess(Normal, at(300));
  }
  CHECK_FALSE(Speeds.healthOf(Normal, at(300)).isHealthy());
  CHECK(Speeds.healthOf(Normal, at(300)).Slowdown == 1.0);
  CHECK(Speeds.healthOf(Normal, at(60000)).isHealthy());
}

TEST_CASE("an active run counts once it is overdue") {
  // Guards against learning of a slow upstream only when its runs end.
  CHECK_FALSE(overdueDuration(seconds(1), 10, seconds(1)).has_value());
  CHECK_FALSE(overdueDuration(seconds(9), 10, Duration{}).has_value());
  CHECK(overdueDuration(seconds(2), 50, seconds(1)) == seconds(4));
  CHECK(overdueDuration(seconds(2), 0, seconds(1)) == seconds(200));
}

TEST_CASE("VMs without recent measurements are dropped, and bad input is "
          "ignored") {
  // Guards against records of every VM that ever existed.
  UpstreamSpeeds Speeds;
  Speeds.recordRun(Slow, taking(0), at(0));
  CHECK(Speeds.size() == 0);
  Speeds.recordRun(Slow, taking(5000), at(0));
  Speeds.recordRun(Normal, taking(5000), at(100000));
  Speeds.forgetOld(at(100000));
  CHECK(Speeds.size() == 1);
  // A measurement that arrives out of order does not raise older weights.
  Speeds.recordFailure(Normal, at(50000));
  CHECK(Speeds.healthOf(Normal, at(100000)).isHealthy());
}

TEST_CASE("old measurements do not regain weight with new ones") {
  // Guards against judging an upstream by a disturbance a minute ago.
  UpstreamSpeeds Speeds;
  recordFleet(Speeds, 30, 3000);
  Speeds.recordFailure(Slow, at(3000));
  Speeds.recordFailure(Slow, at(3000));
  Speeds.recordRun(Slow, taking(1000), at(63000));
  Speeds.recordSuccess(Slow, at(63000));
  CHECK_FALSE(Speeds.healthOf(Slow, at(63000)).isSlow());
  CHECK(Speeds.healthOf(Slow, at(63000)).FailureRate < 0.1);
  // One that arrives out of order does not make newer ones older.
  Speeds.recordFailure(Slow, at(63000));
  Speeds.recordFailure(Slow, at(43000));
  CHECK_FALSE(Speeds.healthOf(Slow, at(63000)).isHealthy());
}

TEST_CASE("a single run does not make an upstream slow, the latest 24 do") {
  // Guards against the long tail of durations, and against an upstream that
  // becomes slow after a long time.
  UpstreamSpeeds Speeds;
  recordFleet(Speeds, 100, 1000);
  Speeds.recordRun(VmId("new"), taking(1000000), at(10000));
  CHECK_FALSE(Speeds.healthOf(VmId("new"), at(10000)).isSlow());
  for (int Run = 0; Run < 24; ++Run)
    Speeds.recordRun(Slow, taking(3000), at(10000));
  CHECK(Speeds.healthOf(Slow, at(10000)).isSlow());
}
