#include "sardinerill/ownership/ownership.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

const OwnershipRow Row{.Holder = "a", .Incarnation = "1", .Term = 3};
const OwnershipTimings Timings{};
constexpr milliseconds Pause{3000};

} // namespace

TEST_CASE("a site without a row has no predecessor to wait for") {
  // Guards against a first holder that never claims, or pauses for nobody.
  OwnershipObserver Observer{Timings};
  Observer.observeMissingRow();
  CHECK(Observer.mayClaim());
  CHECK(Observer.predecessorState() == PredecessorState::None);
  CHECK(Observer.vmCommandsFrom("b", Pause) == Instant{});
}

TEST_CASE("the end of another process does not release the row") {
  // Guards against claiming the row of a living holder.
  OwnershipObserver Observer{Timings};
  Observer.observe(7, Row, at(0), at(5));
  Observer.markHolderGone("0");
  CHECK_FALSE(Observer.mayClaim());
  CHECK(Observer.predecessorState() == PredecessorState::MayBeActive);
}

TEST_CASE(
    "commands to VMs wait for the delivery of those sent before leaving") {
  // Guards against commands of two holders to one VM within the pause.
  for (const bool Released : {false, true}) {
    OwnershipObserver Observer{Timings};
    Observer.observe(7, Row, at(0), at(5));
    OwnershipRow Ending = Row;
    (Released ? Ending.Released : Ending.Leaving) = true;
    Observer.observe(8, Ending, at(100), at(105));
    const Instant From = at(105) + Timings.VmCommandDelivery + Pause;
    CHECK(Observer.vmCommandsFrom("b", Pause) == From);
    // Reading the same row again does not postpone them.
    Observer.observe(8, Ending, at(600), at(605));
    CHECK(Observer.vmCommandsFrom("b", Pause) == From);
    // The next holder has not left.
    OwnershipRow Next = Row;
    Next.Incarnation = "2";
    Observer.observe(9, Next, at(700), at(705));
    CHECK(Observer.vmCommandsFrom("b", Pause) ==
          at(705) + Timings.VmCommandWindow + Timings.VmCommandDelivery +
              Pause);
  }
}

TEST_CASE(
    "a holder that has withdrawn its notice to leave commands VMs again") {
  // Guards against commands of two holders to one VM within the pause: the
  // successor took the holder's commands to have ended with its first notice.
  OwnershipObserver Observer{Timings};
  OwnershipRow Leaving = Row;
  Leaving.Leaving = true;
  Observer.observe(7, Leaving, at(0), at(5));
  SUBCASE("a read shows that it was withdrawn") {
    for (int Ms = 500; Ms <= 6000; Ms += 500)
      Observer.observe(8, Row, at(Ms), at(Ms + 5));
    REQUIRE(Observer.mayClaim()); // It does not renew any more.
    CHECK(Observer.vmCommandsFrom("b", Pause) ==
          at(505) + Timings.VmCommandWindow + Timings.VmCommandDelivery +
              Pause);
  }
  SUBCASE("no read shows it, only the next notice") {
    Observer.observe(30, Leaving, at(9000), at(9005));
    CHECK(Observer.vmCommandsFrom("b", Pause) ==
          at(9005) + Timings.VmCommandDelivery + Pause);
  }
}

TEST_CASE("a renewal makes an earlier failure to reach the holder void") {
  // Guards against claiming the row of a holder that has just renewed it.
  OwnershipObserver Observer{Timings};
  Observer.observe(7, Row, at(0), at(5));
  Observer.recordContact(HolderContact::Silent);
  for (int Ms = 500; Ms <= 2200; Ms += 100)
    Observer.observe(8, Row, at(Ms), at(Ms + 5));
  CHECK_FALSE(Observer.mayClaim());
}

TEST_CASE("only a table version as new as any before ends the inheritance") {
  // Guards against missing the newest jobs of the previous holder.
  OwnershipObserver Observer{Timings};
  Observer.observe(7, Row, at(0), at(5), 10);
  Observer.observe(7, Row, at(1200), at(1205), 5);
  Observer.observe(7, Row, at(1300), at(1305), 7);
  CHECK(Observer.lastInheritedVersion() == 0);
  Observer.observe(7, Row, at(1400), at(1405), 11);
  CHECK(Observer.lastInheritedVersion() == 11);
}

TEST_CASE("a holder that released the lease sends nothing after the claim") {
  // Guards against waiting for a lease that has ended, and against counting a
  // lease for longer than it lasts.
  OwnershipObserver Observer{Timings};
  OwnershipRow Released = Row;
  Released.Released = true;
  Observer.observe(7, Released, at(0), at(0));
  CHECK(Observer.predecessorState() == PredecessorState::None);
  CHECK(Observer.earlierCommandsUntil(at(100)) == at(100));
  CHECK(Observer.earlierCommandsUntil(at(9000)) == at(3600));
}

TEST_CASE("the lease ends a margin before it may be claimed, and when it is "
          "superseded") {
  // Guards against commands of a holder that has a successor.
  OwnershipLease Lease(Timings, 1, at(0));
  const Instant End = at(0) + Timings.LeaseDuration - Timings.LeaseMargin;
  CHECK(Lease.maySendCommands(End - milliseconds(1)));
  CHECK_FALSE(Lease.maySendCommands(End));
  Lease.recordRenewal(at(1000));
  Lease.recordRenewal(at(500)); // Its reply was late.
  CHECK(Lease.maySendCommands(End + milliseconds(999)));
  CHECK(Lease.mayAdmitJobs(at(1000)));
  Lease.markSuperseded();
  CHECK_FALSE(Lease.maySendCommands(at(1000)));
  CHECK_FALSE(Lease.mayAdmitJobs(at(1000)));
}
