#include "sardinerill/queueing/runtimes.h"

#include <algorithm>
#include <cmath>

namespace sardinerill {

namespace {

constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double DeviationsAboveMean = 2.0;
constexpr unsigned EnoughRuns = 5;
constexpr int LeastStartPart = 5;

} // namespace

void RunTimes::update(Series &Figures, Duration Took) {
  const auto Us = static_cast<double>(Took.count());
  if (Figures.Count++ == 0) {
    Figures.MeanUs = Us;
    Figures.DeviationUs = Us / 2;
    return;
  }
  const double Off = Us - Figures.MeanUs;
  Figures.DeviationUs += DeviationGain * (std::abs(Off) - Figures.DeviationUs);
  Figures.MeanUs += MeanGain * Off;
}

void RunTimes::record(const ClassId &Class, const TeamId &Team, Duration Took) {
  update(this->ByTeam[Key{Class, Team}], Took);
  update(this->ByClass[Class], Took);
}

std::optional<Duration> RunTimes::expected(const ClassId &Class,
                                           const TeamId &Team) const {
  const Series *Figures = nullptr;
  if (auto Own = this->ByTeam.find(Key{Class, Team});
      Own != this->ByTeam.end() && Own->second.Count >= EnoughRuns)
    Figures = &Own->second;
  else if (auto All = this->ByClass.find(Class); All != this->ByClass.end())
    Figures = &All->second;
  if (Figures == nullptr)
    return std::nullopt;
  const double Us =
      Figures->MeanUs + DeviationsAboveMean * Figures->DeviationUs;
  return Duration(static_cast<Duration::rep>(Us));
}

Instant latestStart(Instant Arrived, Duration Target,
                    std::optional<Duration> Expected) {
  const Duration Least = Target / LeastStartPart;
  const Duration Slack = Target - Expected.value_or(Duration(0));
  return Arrived + std::max(Least, Slack);
}

} // namespace sardinerill
