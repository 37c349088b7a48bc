#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <map>
#include <optional>

/// \file
/// Run times learned per class and team; declared ones are often far off.

namespace sardinerill {

/// Smoothed mean and deviation of run times (as RFC 6298 does for round trips).
class RunTimes {
public:
  /// Records that work of \p Class for \p Team ran for \p Took.
  void record(const ClassId &Class, const TeamId &Team, Duration Took);

  /// \returns a run time that most runs stay below, or nothing if none was
  /// seen; falls back to the class's other teams.
  std::optional<Duration> expected(const ClassId &Class,
                                   const TeamId &Team) const;

private:
  struct Series {
    double MeanUs = 0;
    double DeviationUs = 0;
    unsigned Count = 0;
  };
  struct Key {
    ClassId Class;
    TeamId Team;
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  static void update(Series &Figures, Duration Took);

  std::map<Key, Series> ByTeam;
  std::map<ClassId, Series> ByClass;
};

/// \returns the latest start that still meets \p Target. A learned run time
/// beyond the target leaves a fifth of it, so that a class whose work has grown
/// slow is tried on and can be seen to recover.
Instant latestStart(Instant Arrived, Duration Target,
                    std::optional<Duration> Expected);

} // namespace sardinerill
