#include "sardinerill/queueing/workqueue.h"

#include <iterator>

namespace sardinerill {

namespace {

/// The most urgent work of a team that is not blocked.
struct Candidate {
  const QueuedWork *Work = nullptr;
  TeamLoad Load;
  bool BelowShare = false;
};

/// \returns whether \p A uses a smaller part of its share than \p B.
bool hasLowerUsage(const Candidate &A, const Candidate &B) {
  return std::uint64_t(A.Load.Running) * B.Load.Share <
         std::uint64_t(B.Load.Running) * A.Load.Share;
}

bool hasPriorityOver(const Candidate &A, const Candidate &B) {
  if (A.BelowShare != B.BelowShare)
    return A.BelowShare;
  const bool StartsFirst = A.Work->LatestStart < B.Work->LatestStart;
  if (A.BelowShare)
    return StartsFirst;
  if (hasLowerUsage(A, B))
    return true;
  return !hasLowerUsage(B, A) && StartsFirst;
}

} // namespace

void WorkQueue::add(const QueuedWork &Work) {
  if (!this->ById.emplace(Work.Id, Work).second)
    return;
  this->ByTeam[Work.Team].insert(Work);
  this->ByLatestStart.insert(Work);
}

std::optional<QueuedWork> WorkQueue::peekNext(const ITeamLoads &Loads,
                                              unsigned Slots) const {
  std::vector<Candidate> Candidates;
  Candidates.reserve(this->ByTeam.size());
  std::uint64_t TotalShare = 0;
  for (const auto &[Team, Waiting] : this->ByTeam) {
    const TeamLoad Load = Loads.loadOf(Team);
    TotalShare += Load.Share;
    if (!Load.Blocked)
      Candidates.push_back(Candidate{&*Waiting.begin(), Load, false});
  }
  const Candidate *Best = nullptr;
  for (Candidate &Current : Candidates) {
    Current.BelowShare = std::uint64_t(Current.Load.Running) * TotalShare <
                         std::uint64_t(Slots) * Current.Load.Share;
    if (Best == nullptr || hasPriorityOver(Current, *Best))
      Best = &Current;
  }
  if (Best == nullptr)
    return std::nullopt;
  return *Best->Work;
}

bool WorkQueue::remove(const RequestId &Id) {
  auto Found = this->ById.find(Id);
  if (Found == this->ById.end())
    return false;
  const QueuedWork Work = Found->second;
  auto Team = this->ByTeam.find(Work.Team);
  Team->second.erase(Work);
  if (Team->second.empty())
    this->ByTeam.erase(Team);
  this->ByLatestStart.erase(Work);
  this->ById.erase(Found);
  return true;
}

std::vector<QueuedWork> WorkQueue::removeExpired(Instant Now) {
  std::vector<QueuedWork> Expired;
  while (!this->ByLatestStart.empty() &&
         this->ByLatestStart.begin()->LatestStart < Now) {
    Expired.push_back(*this->ByLatestStart.begin());
    this->remove(Expired.back().Id);
  }
  return Expired;
}

std::size_t WorkQueue::countDueBy(const TeamId &Team,
                                  Instant LatestStart) const {
  auto Found = this->ByTeam.find(Team);
  if (Found == this->ByTeam.end())
    return 0;
  // Sorts after work with the same latest start that arrived earlier.
  QueuedWork UpperKey;
  UpperKey.LatestStart = LatestStart;
  UpperKey.ArrivedAt = Instant::max();
  return static_cast<std::size_t>(std::distance(
      Found->second.begin(), Found->second.upper_bound(UpperKey)));
}

std::vector<TeamId> WorkQueue::waitingTeams() const {
  std::vector<TeamId> Teams;
  for (const auto &[Team, Waiting] : this->ByTeam)
    Teams.push_back(Team);
  return Teams;
}

std::optional<Instant> WorkQueue::nextExpiryTime() const {
  if (this->ByLatestStart.empty())
    return std::nullopt;
  return this->ByLatestStart.begin()->LatestStart;
}

} // namespace sardinerill
