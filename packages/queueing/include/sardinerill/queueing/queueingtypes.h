#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <vector>

/// \file
/// Data types of the work queue.

namespace sardinerill {

/// A request that is waiting for a free slot.
struct QueuedWork {
  RequestId Id;
  TeamId Team;
  ClassId Class;
  Instant ArrivedAt;
  /// Latest start that still meets the target.
  Instant LatestStart;
  friend bool operator==(const QueuedWork &, const QueuedWork &) = default;
};

/// Load of one team, used to order its work against that of other teams.
struct TeamLoad {
  /// Weight of the team relative to the other teams with waiting work.
  unsigned Share = 1;
  /// The team's running requests in the pool across the fleet; those of other
  /// daemons as last reported.
  unsigned Running = 0;
  /// The team cannot start work now, for example because it is at its ceiling.
  bool Blocked = false;
  friend bool operator==(const TeamLoad &, const TeamLoad &) = default;
};

/// Provides the teams' loads to WorkQueue::peekNext().
class ITeamLoads {
public:
  virtual ~ITeamLoads() = default;
  virtual TeamLoad loadOf(const TeamId &Team) const = 0;
};

} // namespace sardinerill
