#pragma once

#include "sardinerill/queueing/queueingtypes.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

/// \file
/// Queue of the waiting requests of one pool.

namespace sardinerill {

/// Orders waiting work by latest start within each team, and teams by share.
///
/// The pool is divided among the teams with waiting work in proportion to their
/// shares. Teams that run less than their part take precedence over the other
/// teams. Among teams below their part, the work whose latest start comes first
/// is picked; among the others, the work of the team with the fewest running
/// requests relative to its share. Teams above their part may thus use free
/// slots, but teams below theirs get slots first when they become free.
class WorkQueue {
public:
  /// Adds \p Work; does nothing if its identifier is already in the queue.
  void add(const QueuedWork &Work);

  /// Selects the work to start next, without removing it from the queue.
  /// \param Slots number of slots in the pool.
  /// \returns nothing if only blocked teams have work waiting.
  std::optional<QueuedWork> peekNext(const ITeamLoads &Loads,
                                     unsigned Slots) const;

  /// Removes the work with identifier \p Id.
  /// \returns false if it was not queued.
  bool remove(const RequestId &Id);

  /// Removes and returns all work whose latest start is before \p Now.
  std::vector<QueuedWork> removeExpired(Instant Now);

  std::size_t size() const { return this->ById.size(); }
  bool empty() const { return this->ById.empty(); }
  /// \returns the number of \p Team's requests whose latest start is no later
  /// than \p LatestStart.
  std::size_t countDueBy(const TeamId &Team, Instant LatestStart) const;
  /// \returns the teams that have work in the queue.
  std::vector<TeamId> waitingTeams() const;
  /// \returns the first time after which removeExpired() returns work, or
  /// nothing if the queue is empty.
  std::optional<Instant> nextExpiryTime() const;

private:
  struct EarlierLatestStart {
    bool operator()(const QueuedWork &A, const QueuedWork &B) const {
      if (A.LatestStart != B.LatestStart)
        return A.LatestStart < B.LatestStart;
      if (A.ArrivedAt != B.ArrivedAt)
        return A.ArrivedAt < B.ArrivedAt;
      return A.Id < B.Id;
    }
  };
  using TeamQueue = std::set<QueuedWork, EarlierLatestStart>;

  std::map<TeamId, TeamQueue> ByTeam;
  std::unordered_map<RequestId, QueuedWork> ById;
  std::set<QueuedWork, EarlierLatestStart> ByLatestStart;
};

} // namespace sardinerill
