#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <map>
#include <optional>

/// \file
/// Estimates run times per class and team from past runs, because declared run
/// times are often far off.

namespace sardinerill {

/// Smoothed mean and deviation of run times, computed with the gains that
/// RFC 6298 uses for round-trip times.
class RunTimeEstimator {
public:
  /// Records a run of \p Class for \p Team that lasted \p Elapsed.
  void record(const ClassId &Class, const TeamId &Team, Duration Elapsed);

  /// \returns the mean plus two deviations, or nothing if no run was recorded.
  /// With too few runs of the team, uses those of all teams in the
  /// class.
  std::optional<Duration> estimate(const ClassId &Class,
                                   const TeamId &Team) const;

private:
  struct Statistics {
    double MeanUs = 0;
    double DeviationUs = 0;
    unsigned Count = 0;
  };
  struct Key {
    ClassId Class;
    TeamId Team;
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  static void update(Statistics &Stats, Duration Elapsed);

  std::map<Key, Statistics> ByTeam;
  std::map<ClassId, Statistics> ByClass;
};

/// \returns the latest start that still meets \p Target, but no earlier than a
/// fifth of the target after \p ArrivedAt. Otherwise requests of a class whose
/// estimate exceeds the target would never run, and the estimate would not be
/// updated.
Instant latestStart(Instant ArrivedAt, Duration Target,
                    std::optional<Duration> Expected);

} // namespace sardinerill
