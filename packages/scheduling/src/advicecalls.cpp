#include "advicecalls.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// One call that the advisor works on, and one that waits there.
constexpr int MaxUnderWay = 2;
constexpr milliseconds FirstTimeout{2500};
constexpr milliseconds FirstPause{100};
/// The time limit and the pause after a failure are doubled this often.
constexpr int MaxDoublings = 3;

Duration doubled(Duration First, int Failures) {
  return First * (1 << std::clamp(Failures, 0, MaxDoublings));
}

} // namespace

bool AdviceCalls::mayStart(Instant Now) const {
  return this->UnderWay < MaxUnderWay && Now >= this->NextStart;
}

Duration AdviceCalls::timeout() const {
  return doubled(FirstTimeout, this->ConsecutiveFailures);
}

void AdviceCalls::recordAnswer() {
  this->UnderWay = std::max(0, this->UnderWay - 1);
  this->ConsecutiveFailures = 0;
  this->NextStart = {};
}

void AdviceCalls::recordFailure(Instant Now) {
  this->UnderWay = std::max(0, this->UnderWay - 1);
  this->NextStart = Now + doubled(FirstPause, this->ConsecutiveFailures);
  this->ConsecutiveFailures =
      std::min(this->ConsecutiveFailures + 1, MaxDoublings);
}

} // namespace sardinerill::site
