#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/runtimes/runtimemodel.h"

#include <optional>

/// \file
/// Estimates run times per class and team from past runs, because declared run
/// times are often far off.

namespace sardinerill {

/// Forecasts of RunTimeModel for the classes and teams of stand-alone mode,
/// where callers state no estimates.
class RunTimeEstimator {
public:
  /// Records a run of \p Class for \p Team that lasted \p Elapsed.
  void record(const ClassId &Class, const TeamId &Team, Duration Elapsed);

  /// \returns the 90th percentile, or nothing if too few runs were recorded.
  /// With too few runs of the team, uses those of all teams in the class.
  std::optional<Duration> estimate(const ClassId &Class,
                                   const TeamId &Team) const;

private:
  /// 280 teams that each use up to 10 classes; about 1 KB each.
  static constexpr std::size_t MaxKeys = 4096;
  RunTimeModel RunTimes{MaxKeys};
};

/// \returns the latest start that still meets \p Target, but no earlier than a
/// fifth of the target after \p ArrivedAt. Otherwise requests of a class whose
/// estimate exceeds the target would never run, and the estimate would not be
/// updated.
Instant latestStart(Instant ArrivedAt, Duration Target,
                    std::optional<Duration> Expected);

} // namespace sardinerill
