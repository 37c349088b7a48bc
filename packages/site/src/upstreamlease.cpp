#include "upstreamlease.h"

#include "sardinerill/scheduling/commands.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Lowest rate of an upstream's clock relative to the local one: clocks run up
/// to 2% slow.
constexpr double SlowestClockRate = 0.98;
/// Requested lease time: long enough to last from the previous holder's final
/// poll to the first one of its successor (about 2.5 s for the takeover), short
/// enough to restart the tasks of a dead upstream soon.
constexpr milliseconds LeaseTime{4200};
/// Fraction of the longest allowed lease that may be requested; the rest covers
/// upstream clocks that run fast.
constexpr double MaxLeaseFraction = 0.97;
/// Safety margin added to the computed time of expiry.
constexpr milliseconds ExpiryMargin{300};
/// How far a clock may lag behind its lowest expected reading: answers that
/// overtake each other and rounding. Less than ExpiryMargin, so that a lease is
/// never longer than expected by more than that.
constexpr milliseconds ClockTolerance{50};

} // namespace

UpstreamLease::UpstreamLease(const SiteBounds &Bounds,
                             Instant InheritedLeasesExpireAt, Instant Now)
    : LeaseDuration(std::min<Duration>(
          Duration(std::int64_t(MaxLeaseFraction *
                                double(Duration(Bounds.MaxLease).count()))),
          LeaseTime)),
      OtherLeasesUntil(
          std::max(InheritedLeasesExpireAt, Now + maxTimeToExpiry(Bounds))) {}

Duration UpstreamLease::maxTimeToExpiry(const SiteBounds &Bounds) {
  const Duration Lease = std::min<Duration>(Bounds.MaxLease, LeaseTime);
  return Duration(std::int64_t(double(Lease.count()) / SlowestClockRate)) +
         ExpiryMargin;
}

Duration UpstreamLease::maxTimeToExpiryAfterRestart(const SiteBounds &Bounds) {
  // On the new clock the lease may be of any length; the upstream shortens it
  // to the longest one allowed.
  return MaxCommandDelay +
         Duration(std::int64_t(double(Duration(Bounds.MaxLease).count()) /
                               SlowestClockRate)) +
         ExpiryMargin;
}

void UpstreamLease::recordClock(std::int64_t Clock, Instant Now) {
  this->ClockKnown = true;
  this->ClockMs = Clock;
  this->ClockReadAt = Now;
}

bool UpstreamLease::isOtherClock(std::int64_t Clock, Instant SentAt) const {
  if (!this->ClockKnown)
    return false;
  const double Elapsed =
      SlowestClockRate *
      double((SentAt - this->ClockReadAt - Duration(ClockTolerance)).count());
  // Elapsed is in microseconds.
  return double(Clock) < double(this->ClockMs) + Elapsed / 1000;
}

std::int64_t UpstreamLease::extend(Instant Now) {
  const auto Ahead = std::chrono::duration_cast<milliseconds>(
      Now - this->ClockReadAt + this->LeaseDuration);
  const std::int64_t ExpiryMs = this->ClockMs + Ahead.count();
  this->LatestExpiryMs = std::max(this->LatestExpiryMs, ExpiryMs);
  return ExpiryMs;
}

bool UpstreamLease::hasExpired(Instant Now) const {
  // A previous holder, or an earlier link to another address of this
  // incarnation, may have extended the lease.
  if (Now < this->OtherLeasesUntil)
    return false;
  if (!this->ClockKnown)
    return true; // This object has sent no lease.
  const double Elapsed =
      SlowestClockRate *
      double((Now - this->ClockReadAt - ExpiryMargin).count());
  // Elapsed is in microseconds.
  return double(this->ClockMs) + Elapsed / 1000 > double(this->LatestExpiryMs);
}

} // namespace sardinerill::site
