#include "sardinerill/upstreamspeed/upstreamspeeds.h"

#include <algorithm>
#include <cmath>

namespace sardinerill::site {

namespace {

/// Time constant with which measurements lose their weight. An upstream runs
/// about 3 short tasks a second at a peak, and peaks of its pool are some 10 s
/// apart.
constexpr double MemorySeconds = 20;
/// Weight at most of earlier runs, so that a change of speed shows within this
/// many runs.
constexpr double MaxRuns = 24;
/// Number of normal runs that the estimate of a slowdown starts from. The tasks
/// of a step share the error of their estimate and often run on the same
/// upstream, so that 8 such runs count as little as one.
constexpr double PriorRuns = 8;
/// The same for the failure rate: a single failure proves nothing.
constexpr double PriorSuccesses = 4;
/// Bounds of the ratio of one run. The 99th percentile of durations is ten
/// times the median on fast upstreams too.
constexpr double MaxRatio = 4;
/// Runs over which the baseline of a group is averaged.
constexpr int BaselineRuns = 200;
/// Slowdown from which an upstream counts as slow. The standard error of the
/// estimate is about 0.2 for correlated runs.
constexpr double SlowFrom = 1.3;
/// Slowdown from which an upstream is not healthy: the objective of a job is
/// about 1.6 times its critical path.
constexpr double UnhealthyFrom = 1.6;
/// Failure rate from which an upstream is not healthy. It takes two failures
/// without a success in between.
constexpr double UnhealthyFailureRate = 0.25;
/// A run is overdue at this multiple of its forecast.
constexpr double OverdueFrom = 1.5;
/// Weight of measurements below which a record is dropped.
constexpr double NegligibleWeight = 0.05;

double secondsOf(Duration Time) { return double(Time.count()) / 1e6; }

double decay(Instant Since, Instant Now) {
  return std::exp(-std::max(0.0, secondsOf(Now - Since)) / MemorySeconds);
}

} // namespace

bool UpstreamHealth::isHealthy() const {
  return this->Slowdown < UnhealthyFrom &&
         this->FailureRate < UnhealthyFailureRate;
}

bool UpstreamHealth::isSlow() const { return this->Slowdown >= SlowFrom; }

std::optional<Duration> overdueDuration(Duration Age, int Percent,
                                        Duration Expected) {
  if (Expected.count() <= 0 ||
      double(Age.count()) < OverdueFrom * double(Expected.count()))
    return std::nullopt;
  return Age * 100 / std::clamp(Percent, 1, 100);
}

UpstreamSpeeds::Record &UpstreamSpeeds::updated(const VmId &Vm, Instant Now) {
  Record &Updated = this->Records[Vm];
  const double Factor = decay(Updated.UpdatedAt, Now);
  Updated.LogRatioSum *= Factor;
  Updated.Runs *= Factor;
  Updated.Successes *= Factor;
  Updated.Failures *= Factor;
  Updated.UpdatedAt = std::max(Updated.UpdatedAt, Now);
  return Updated;
}

void UpstreamSpeeds::recordRun(const VmId &Vm,
                               const RunMeasurement &Measurement, Instant Now) {
  if (Measurement.Measured.count() <= 0 || Measurement.Expected.count() <= 0)
    return;
  const double Ratio = double(Measurement.Measured.count()) /
                       double(Measurement.Expected.count());
  const double LogRatio = std::log(std::clamp(Ratio, 1 / MaxRatio, MaxRatio));
  Baseline &Group = this->Baselines[Measurement.Group];
  Group.Runs = std::min(Group.Runs + 1, BaselineRuns);
  Group.LogRatio += (LogRatio - Group.LogRatio) / Group.Runs;
  Record &Updated = this->updated(Vm, Now);
  const double Kept =
      Updated.Runs > MaxRuns - 1 ? (MaxRuns - 1) / Updated.Runs : 1.0;
  Updated.LogRatioSum = Updated.LogRatioSum * Kept + LogRatio - Group.LogRatio;
  Updated.Runs = Updated.Runs * Kept + 1;
}

void UpstreamSpeeds::recordSuccess(const VmId &Vm, Instant Now) {
  Record &Updated = this->updated(Vm, Now);
  Updated.Successes = std::min(Updated.Successes + 1, MaxRuns);
}

void UpstreamSpeeds::recordFailure(const VmId &Vm, Instant Now) {
  Record &Updated = this->updated(Vm, Now);
  Updated.Failures = std::min(Updated.Failures + 1, MaxRuns);
}

UpstreamHealth UpstreamSpeeds::healthOf(const VmId &Vm, Instant Now) const {
  const auto Found = this->Records.find(Vm);
  if (Found == this->Records.end())
    return {};
  const Record &Known = Found->second;
  const double Factor = decay(Known.UpdatedAt, Now);
  const double Failures = Known.Failures * Factor;
  return {.Slowdown = std::exp(Known.LogRatioSum * Factor /
                               (Known.Runs * Factor + PriorRuns)),
          .FailureRate = Failures / (Failures + Known.Successes * Factor +
                                     PriorSuccesses)};
}

void UpstreamSpeeds::forgetOld(Instant Now) {
  std::erase_if(this->Records, [&](const auto &Entry) {
    const Record &Each = Entry.second;
    return (Each.Runs + Each.Successes + Each.Failures) *
               decay(Each.UpdatedAt, Now) <
           NegligibleWeight;
  });
}

} // namespace sardinerill::site
