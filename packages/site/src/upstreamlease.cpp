#include "upstreamlease.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Lowest rate of an upstream's clock relative to the local one.
constexpr double SlowClock = 0.98;
/// Requested lease time: long enough for another daemon to take over ownership
/// (about 2.5 s) between two polls, short enough to restart the tasks of a dead
/// upstream soon.
constexpr milliseconds LeaseTime{4200};
/// Fraction of the longest allowed lease that may be requested; the rest covers
/// upstream clocks that run fast.
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
  // A previous holder, or an earlier link to another address of this
  // incarnation, may have extended the lease.
  if (Now < this->NotBefore)
    return false;
  if (!this->ClockKnown)
    return true; // This object has sent no lease.
  const double Passed =
      SlowClock * double((Now - this->ClockReadAt - LapseMargin).count());
  return double(this->ClockMs) + Passed / 1000 > double(this->LongestMs);
}

} // namespace sardinerill::site
