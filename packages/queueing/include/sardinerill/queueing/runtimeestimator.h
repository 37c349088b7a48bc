#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <map>
#include <optional>

/// \file
/// Estimates run times per class and team from past runs, because declared run
/// times are often far off.

namespace sardinerill {

/// Smoothed mean and deviation of run times, computed as in RFC 6298 for
/// round-trip times.
class RunTimeEstimator {
public:
  /// Records a run of \p Class for \p Team that lasted \p Elapsed.
  void record(const ClassId &Class, const TeamId &Team, Duration Elapsed);

  /// \returns a run time that most runs do not exceed, or nothing if no run was
  /// recorded. With too few runs of the team, uses those of all teams in the
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

/// \returns the latest start that still meets \p Target. At least a fifth of
/// the target remains for waiting even if the estimate exceeds the target, so
/// that a class that has become slow still runs and its recovery is noticed.
Instant latestStart(Instant ArrivedAt, Duration Target,
                    std::optional<Duration> Expected);

} // namespace sardinerill
