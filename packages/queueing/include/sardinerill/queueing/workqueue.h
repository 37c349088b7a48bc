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
/// Teams that run less than their share of the pool take precedence over teams
/// at or above their share. Among teams below their share, the work with the
/// earliest latest start is picked; among the others, the work of the team that
/// uses the smallest part of its share. Unused share is thus lent to teams with
/// waiting work and returns with the next slot that becomes free.
class WorkQueue {
public:
  /// Adds \p Work; its identifier must not be in the queue already.
  void add(const QueuedWork &Work);

  /// Selects the work to start next, without removing it from the queue.
  /// \param Slots number of slots in the pool, which the teams share.
  /// \returns nothing if only blocked teams have work waiting.
  std::optional<QueuedWork> peekNext(const ITeamLoads &Loads,
                                     unsigned Slots) const;

  /// Removes \p Id, because it starts or because its caller disconnected.
  /// \returns false if it was not queued.
  bool remove(const RequestId &Id);

  /// Removes and returns all work whose latest start is before \p Now.
  std::vector<QueuedWork> removeExpired(Instant Now);

  std::size_t size() const { return this->ById.size(); }
  bool empty() const { return this->ById.empty(); }
  /// \returns the number of \p Team's requests whose latest start is no later
  /// than \p LatestStart.
  std::size_t countDueBy(const TeamId &Team, Instant LatestStart) const;
  std::vector<TeamId> waitingTeams() const;
  /// \returns the earliest latest start in the queue, after which that work is
  /// shed.
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
