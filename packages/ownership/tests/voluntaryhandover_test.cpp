#include "sardinerill/ownership/voluntaryhandover.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

} // namespace

TEST_CASE("a holder that is cut off from the table for long hands over") {
  // Cut off from 1.0 to 13.0 s, the holder renewed through other daemons and
  // started most jobs of a peak late (scale-2 on a site of 350 VMs).
  VoluntaryHandover Handover;
  CHECK_FALSE(Handover.update(false, at(900)));
  CHECK_FALSE(Handover.update(true, at(1200)));
  CHECK_FALSE(Handover.update(true, at(2100)));
  CHECK(Handover.update(true, at(2200)));
}

TEST_CASE("a lost answer causes no handover") {
  VoluntaryHandover Handover;
  CHECK_FALSE(Handover.update(true, at(1000)));
  CHECK_FALSE(Handover.update(false, at(1500)));
  CHECK_FALSE(Handover.update(true, at(1900)));
  CHECK_FALSE(Handover.update(true, at(2800)));
}

TEST_CASE("a holder goes on if no other daemon takes over") {
  // Otherwise a holder whose peers are all down would accept no jobs.
  VoluntaryHandover Handover;
  Handover.update(true, at(1000));
  CHECK(Handover.update(true, at(2000)));
  CHECK(Handover.update(true, at(3900)));
  CHECK_FALSE(Handover.update(true, at(4000)));
  CHECK_FALSE(Handover.update(true, at(8900)));
  CHECK(Handover.update(true, at(9000)));
}

TEST_CASE("an offer that others may have read is not withdrawn at once") {
  VoluntaryHandover Handover;
  Handover.update(true, at(1000));
  REQUIRE(Handover.update(true, at(2000)));
  CHECK(Handover.update(false, at(2300)));
}

TEST_CASE("a later term of the same daemon begins anew") {
  VoluntaryHandover Handover;
  Handover.update(true, at(1000));
  REQUIRE(Handover.update(true, at(2000)));
  Handover.beginTerm(false, false, at(2100));
  CHECK_FALSE(Handover.update(true, at(2100)));
  CHECK_FALSE(Handover.update(true, at(3000)));
  CHECK(Handover.update(true, at(3100)));
}
