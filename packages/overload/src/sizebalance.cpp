#include "sardinerill/overload/sizebalance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinerill::overload {

namespace {

/// Jobs by which the classes are bounded: some seconds of a busy queue, and
/// enough for a stable 90th percentile.
constexpr std::size_t SampleSize = 200;
/// Jobs below which no size counts as large.
constexpr std::size_t MinSample = 20;
/// Parts of the jobs below the bounds of the classes.
constexpr double LargestFrom = 0.9;
constexpr double LargeFrom = 0.7;
/// Required rate of service of a class, relative to that of the whole queue.
/// One half is due; the rest allows for jobs that start in time and end late.
constexpr double RequiredRatio = 0.6;
/// Time constant of the counts: longer than a peak (4 s) and the pause after
/// it, so that a class that lost in one peak is served in the next.
constexpr double DecaySeconds = 20;

} // namespace

double SizeBalance::decayUntil(Instant Now) const {
  const double Elapsed =
      std::max(0.0, double((Now - this->DecayedAt).count()) / 1e6);
  return std::exp(-Elapsed / DecaySeconds);
}

void SizeBalance::decay(Instant Now) {
  const double Factor = this->decayUntil(Now);
  for (Counts &Each : this->ByClass) {
    Each.Arrived *= Factor;
    Each.Started *= Factor;
  }
  this->DecayedAt = std::max(this->DecayedAt, Now);
}

SizeClass SizeBalance::arrived(double CpuSeconds, Instant Now) {
  const auto Below =
      std::size_t(std::ranges::lower_bound(this->Sorted, CpuSeconds) -
                  this->Sorted.begin());
  SizeClass Class = SizeClass::Ordinary;
  if (this->Sorted.size() >= MinSample) {
    const double Part = double(Below) / double(this->Sorted.size());
    if (Part >= LargestFrom)
      Class = SizeClass::Largest;
    else if (Part >= LargeFrom)
      Class = SizeClass::Large;
  }
  if (this->Ring.size() < SampleSize) {
    this->Ring.push_back(CpuSeconds);
  } else {
    const double Oldest =
        std::exchange(this->Ring[this->RingPosition], CpuSeconds);
    this->RingPosition = (this->RingPosition + 1) % SampleSize;
    this->Sorted.erase(std::ranges::lower_bound(this->Sorted, Oldest));
  }
  this->Sorted.insert(std::ranges::lower_bound(this->Sorted, CpuSeconds),
                      CpuSeconds);
  this->decay(Now);
  this->ByClass[std::size_t(Class)].Arrived += 1;
  return Class;
}

void SizeBalance::started(SizeClass Class, Instant Now) {
  this->decay(Now);
  this->ByClass[std::size_t(Class)].Started += 1;
}

int SizeBalance::deficit(SizeClass Class, Instant Now) const {
  if (Class == SizeClass::Ordinary)
    return 0;
  Counts All;
  for (const Counts &Each : this->ByClass) {
    All.Arrived += Each.Arrived;
    All.Started += Each.Started;
  }
  if (All.Arrived <= 0)
    return 0;
  const Counts &Own = this->ByClass[std::size_t(Class)];
  const double Required =
      RequiredRatio * Own.Arrived * All.Started / All.Arrived;
  // A part of a job that is missing counts as one, also after the counts have
  // decayed to less than one.
  return std::max(
      0, int(std::ceil((Required - Own.Started) * this->decayUntil(Now))));
}

} // namespace sardinerill::overload
