#pragma once

#include "sardinerill/queueing/queueingtypes.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

/// \file
/// The waiting work of one pool and the order in which it starts.

namespace sardinerill {

/// Orders waiting work by target inside each team, and teams by share.
///
/// A team that runs less than its share of the pool goes before one that runs
/// more; among those below, the work that must start soonest goes first; among
/// those above, the team furthest below its share goes first. A share that is
/// not used is thereby lent to whoever waits and comes back with the next slot
/// that falls free.
class WorkQueue {
public:
  /// Adds \p Work. The identifier must not be in the queue already.
  void add(const QueuedWork &Work);

  /// Picks the work to start next; it stays queued until take().
  /// \param Slots slots of the pool that shares are parts of.
  /// \returns nothing if no team that is not blocked has work waiting.
  std::optional<QueuedWork> pick(const ITeamLoads &Loads, unsigned Slots) const;

  /// Takes \p Id out, to start or because its caller has gone.
  /// \returns false if it was not waiting.
  bool take(const RequestId &Id);

  /// Takes out all work whose latest start lies before \p Now.
  std::vector<QueuedWork> shed(Instant Now);

  std::size_t size() const { return this->ById.size(); }
  bool empty() const { return this->ById.empty(); }
  /// \returns how much work of \p Team starts no later than \p LatestStart.
  std::size_t ahead(const TeamId &Team, Instant LatestStart) const;
  /// \returns the teams that have work waiting.
  std::vector<TeamId> waitingTeams() const;
  /// \returns when the next work would be shed.
  std::optional<Instant> nextShed() const;

private:
  struct EarlierStart {
    bool operator()(const QueuedWork &A, const QueuedWork &B) const {
      if (A.LatestStart != B.LatestStart)
        return A.LatestStart < B.LatestStart;
      if (A.Arrived != B.Arrived)
        return A.Arrived < B.Arrived;
      return A.Id < B.Id;
    }
  };
  using TeamQueue = std::set<QueuedWork, EarlierStart>;

  std::map<TeamId, TeamQueue> ByTeam;
  std::unordered_map<RequestId, QueuedWork> ById;
  std::set<QueuedWork, EarlierStart> ByStart;
};

} // namespace sardinerill
