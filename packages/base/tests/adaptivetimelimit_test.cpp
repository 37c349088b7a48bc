#include "sardinerill/base/adaptivetimelimit.h"

#include <doctest/doctest.h>

using namespace sardinerill;

namespace {

constexpr milliseconds Base{900};
constexpr milliseconds Max{3600};

} // namespace

TEST_CASE("a peer that answers just after the limit each time is heard") {
  // Guards against calls that are given up and repeated for good while the
  // peer works on each of them.
  for (const Duration Took :
       {Base + milliseconds(1), milliseconds(1900), Max}) {
    AdaptiveTimeLimit Limit(Base, Max);
    int GivenUp = 0;
    for (int Call = 0; Call < 20; ++Call)
      if (Limit.current() < Took) {
        ++GivenUp;
        Limit.recordTimeout(true);
      } else {
        Limit.recordAnswer(Took);
      }
    CHECK(GivenUp <= 2);
  }
}

TEST_CASE("a peer that answers nothing is asked again soon") {
  // Guards against seconds of waiting for a call that was lost in an outage.
  AdaptiveTimeLimit Limit(Base, Max);
  Limit.recordTimeout(true);
  Limit.recordTimeout(true);
  CHECK(Limit.current() == Max);
  Limit.recordTimeout(true);
  CHECK(Limit.current() == Max);
  Limit.recordTimeout(false);
  CHECK(Limit.current() == Base);
}

TEST_CASE("the limit follows the answers down") {
  AdaptiveTimeLimit Limit(Base, Max);
  Limit.recordTimeout(true);
  Limit.recordAnswer(milliseconds(700));
  CHECK(Limit.current() == milliseconds(1400));
  Limit.recordAnswer(milliseconds(10));
  CHECK(Limit.current() == Base);
}
