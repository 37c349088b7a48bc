#include "upstreamlease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

const SiteBounds Bounds{.MaxLease = milliseconds(6000)};

} // namespace

TEST_CASE("no lease counts as expired before those sent by previous holders") {
  // A holder that is cut off from the table can still extend leases of
  // upstreams that it reaches, after the next holder has claimed ownership. The
  // next holder must wait for these leases to expire.
  const UpstreamLease Lease(Bounds, at(9000), at(0));
  CHECK_FALSE(Lease.hasExpired(at(8999)));
  CHECK(Lease.hasExpired(at(9000)));
}

TEST_CASE("an answer does not shorten leases sent by previous holders") {
  UpstreamLease Lease(Bounds, at(9000), at(0));
  Lease.recordClock(500, at(1000));
  CHECK_FALSE(Lease.hasExpired(at(8000)));
}

TEST_CASE("a new link waits for leases that an earlier link may have sent") {
  // An incarnation that is listed under another address gets a new link.
  // Without this wait, the runs started through the old link would count as
  // ended at once.
  const UpstreamLease Lease(Bounds, at(0), at(20000));
  CHECK_FALSE(Lease.hasExpired(at(20500)));
  CHECK_FALSE(Lease.hasExpired(
      at(20000) + UpstreamLease::maxTimeToExpiry(Bounds) - Duration(1)));
  CHECK(Lease.hasExpired(at(20000) + UpstreamLease::maxTimeToExpiry(Bounds)));
}

TEST_CASE("property: no lease counts as expired while valid on the upstream, "
          "or is longer than allowed") {
  CHECK(rc::check([] {
    // Upstream clocks run up to 2% slow, and may run fast.
    const double Rate = *rc::gen::inRange(980, 1050) / 1000.0;
    const std::int64_t Offset = *rc::gen::inRange(0, 1000000);
    UpstreamLease Lease(Bounds, at(0), at(0));
    std::int64_t LeaseUntil = 0;
    std::int64_t NowMs = 0;
    const auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
    // Each step is the time that passes, and its remainder selects what happens
    // then: an answer (0), a new lease (1) or nothing (2).
    for (const int Step : Steps) {
      NowMs += Step;
      const auto Clock = Offset + std::int64_t(Rate * double(NowMs));
      if (Step % 3 == 0) // The answer took up to a second to arrive.
        Lease.recordClock(Clock - Step / 3, at(NowMs));
      if (Step % 3 == 1 && Lease.clockKnown())
        LeaseUntil = std::max(LeaseUntil, Lease.extend(at(NowMs)));
      if (LeaseUntil > 0 && Lease.hasExpired(at(NowMs)))
        RC_ASSERT(Clock >= LeaseUntil);
      // A new lease ends within the longest allowed time.
      RC_ASSERT(LeaseUntil <= Clock + Bounds.MaxLease.count() / 1000 ||
                Step % 3 != 1);
    }
  }));
}

TEST_CASE("property: an answer of the known process is never taken for that of "
          "another one, and a clock that makes a lease longer always is") {
  // A lease reckoned on the clock of one process and applied by the next may
  // last for the longest time allowed.
  CHECK(rc::check([] {
    const double Rate = *rc::gen::inRange(980, 1050) / 1000.0;
    const std::int64_t Known = *rc::gen::inRange(0, 1000000);
    // In ms: delays of the two answers, and the time from the first answer
    // until the second call.
    const std::int64_t FirstDelay = *rc::gen::inRange(0, 500);
    const std::int64_t SecondDelay = *rc::gen::inRange(0, 500);
    const std::int64_t Between = *rc::gen::inRange(0, 2000);
    UpstreamLease Lease(Bounds, at(0), at(0));
    RC_ASSERT(!Lease.isOtherClock(0, at(0)));
    Lease.recordClock(Known, at(0));
    const auto Clock =
        Known + std::int64_t(Rate * double(FirstDelay + Between + SecondDelay));
    RC_ASSERT(!Lease.isOtherClock(Clock, at(Between)));
    // The safety margin covers a clock that lags by up to 300 ms.
    const std::int64_t Lag = *rc::gen::inRange(300, 1000000);
    RC_ASSERT(Lease.isOtherClock(Known + Between - Lag, at(Between)));
  }));
}
