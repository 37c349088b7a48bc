#include "sardinerill/queueing/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace sardinerill {

namespace {

// Alpha and beta of RFC 6298. The RFC adds four deviations to the mean.
constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double DeviationsAboveMean = 2.0;
/// With fewer runs of a team, the estimate uses the runs of all teams.
constexpr unsigned MinTeamRuns = 5;
constexpr int MinWaitDivisor = 5;

} // namespace

void RunTimeEstimator::update(Statistics &Stats, Duration Elapsed) {
  const auto Us = static_cast<double>(Elapsed.count());
  if (Stats.Count++ == 0) {
    Stats.MeanUs = Us;
    Stats.DeviationUs = Us / 2;
    return;
  }
  const double ErrorUs = Us - Stats.MeanUs;
  Stats.DeviationUs += DeviationGain * (std::abs(ErrorUs) - Stats.DeviationUs);
  Stats.MeanUs += MeanGain * ErrorUs;
}

void RunTimeEstimator::record(const ClassId &Class, const TeamId &Team,
                              Duration Elapsed) {
  update(this->ByTeam[Key{Class, Team}], Elapsed);
  update(this->ByClass[Class], Elapsed);
}

std::optional<Duration> RunTimeEstimator::estimate(const ClassId &Class,
                                                   const TeamId &Team) const {
  const Statistics *Stats = nullptr;
  if (auto TeamEntry = this->ByTeam.find(Key{Class, Team});
      TeamEntry != this->ByTeam.end() && TeamEntry->second.Count >= MinTeamRuns)
    Stats = &TeamEntry->second;
  else if (auto ClassEntry = this->ByClass.find(Class);
           ClassEntry != this->ByClass.end())
    Stats = &ClassEntry->second;
  if (Stats == nullptr)
    return std::nullopt;
  const double Us = Stats->MeanUs + DeviationsAboveMean * Stats->DeviationUs;
  return Duration(static_cast<Duration::rep>(Us));
}

Instant latestStart(Instant ArrivedAt, Duration Target,
                    std::optional<Duration> Expected) {
  const Duration MinWait = Target / MinWaitDivisor;
  const Duration Slack = Target - Expected.value_or(Duration(0));
  return ArrivedAt + std::max(MinWait, Slack);
}

} // namespace sardinerill
