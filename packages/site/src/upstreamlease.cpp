#include "upstreamlease.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// An upstream's clock may run this much slower than ours.
constexpr double SlowClock = 0.98;
/// Lease that is asked for: long enough for another daemon to take over (about
/// 2.5 s) between two questions, short enough to start tasks of a dead
/// upstream again soon.
constexpr milliseconds LeaseTime{4200};
/// Longest share of the longest lease: covers fast clocks.
constexpr double LeaseShare = 0.97;
constexpr milliseconds LapseMargin{300};

} // namespace

UpstreamLease::UpstreamLease(const SiteBounds &Bounds, Instant InheritedUntil,
                             Instant Now)
    : Length(std::min<Duration>(
          Duration(std::int64_t(LeaseShare *
                                double(Duration(Bounds.LongestHold).count()))),
          LeaseTime)),
      NotBefore(std::max(InheritedUntil, Now + longestLapse(Bounds))) {}

Duration UpstreamLease::longestLapse(const SiteBounds &Bounds) {
  const Duration Lease = std::min<Duration>(Bounds.LongestHold, LeaseTime);
  return Duration(std::int64_t(double(Lease.count()) / SlowClock)) +
         LapseMargin;
}

void UpstreamLease::answered(std::int64_t Clock, Instant Now) {
  this->ClockKnown = true;
  this->ClockMs = Clock;
  this->ClockReadAt = Now;
}

std::int64_t UpstreamLease::extend(Instant Now) {
  const auto Ahead = std::chrono::duration_cast<milliseconds>(
      Now - this->ClockReadAt + this->Length);
  const std::int64_t Until = this->ClockMs + Ahead.count();
  this->LongestMs = std::max(this->LongestMs, Until);
  return Until;
}

bool UpstreamLease::hasRunOut(Instant Now) const {
  // An earlier holder, or an earlier link to another address of this life, may
  // have prolonged it.
  if (Now < this->NotBefore)
    return false;
  if (!this->ClockKnown)
    return true; // No lease was sent from here.
  const double Passed =
      SlowClock * double((Now - this->ClockReadAt - LapseMargin).count());
  return double(this->ClockMs) + Passed / 1000 > double(this->LongestMs);
}

} // namespace sardinerill::site
