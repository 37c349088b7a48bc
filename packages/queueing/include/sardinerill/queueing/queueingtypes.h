#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <vector>

/// \file
/// Plain types of the order of work.

namespace sardinerill {

/// One request that waits for a worker.
struct QueuedWork {
  RequestId Id;
  TeamId Team;
  ClassId Class;
  Instant Arrived;
  /// After this the target can no longer be met.
  Instant LatestStart;
  friend bool operator==(const QueuedWork &, const QueuedWork &) = default;
};

/// What the order needs to know of one team.
struct TeamLoad {
  unsigned Share = 1;
  /// Requests of the team running in the pool, as far as is known fleet-wide.
  unsigned Running = 0;
  /// The team can start nothing now, as at its ceiling.
  bool Blocked = false;
  friend bool operator==(const TeamLoad &, const TeamLoad &) = default;
};

/// Answers about teams while work is picked.
class ITeamLoads {
public:
  virtual ~ITeamLoads() = default;
  virtual TeamLoad loadOf(const TeamId &Team) const = 0;
};

} // namespace sardinerill
