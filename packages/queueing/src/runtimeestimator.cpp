#include "sardinerill/queueing/runtimeestimator.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr int MinWaitDivisor = 5;

RunTimeKey keyOf(const ClassId &Class, const TeamId &Team) {
  return RunTimeKey::of({.Queue = Class.str(), .Organisation = Team.str()});
}

} // namespace

void RunTimeEstimator::record(const ClassId &Class, const TeamId &Team,
                              Duration Elapsed) {
  this->RunTimes.learn(keyOf(Class, Team), {}, Elapsed);
}

std::optional<Duration> RunTimeEstimator::estimate(const ClassId &Class,
                                                   const TeamId &Team) const {
  const RunTimeForecast Forecast =
      this->RunTimes.forecast(keyOf(Class, Team), {});
  if (Forecast.Source == RunTimeSource::Estimate)
    return std::nullopt;
  return Forecast.Percentile90;
}

Instant latestStart(Instant ArrivedAt, Duration Target,
                    std::optional<Duration> Expected) {
  const Duration MinWait = Target / MinWaitDivisor;
  const Duration Slack = Target - Expected.value_or(Duration(0));
  return ArrivedAt + std::max(MinWait, Slack);
}

} // namespace sardinerill
