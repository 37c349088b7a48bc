#include "waitingorder.h"

#include <tuple>

namespace sardinerill::site {

bool isPlacedBefore(const WaitingWork &Left, const WaitingWork &Right) {
  const auto Rank = [](const WaitingWork &Work) {
    return std::tuple(Work.Priority, Work.OverShare, !Work.CanMeetObjective);
  };
  if (Rank(Left) != Rank(Right))
    return Rank(Left) < Rank(Right);
  if (!Left.CanMeetObjective)
    return Left.AcceptedAt < Right.AcceptedAt;
  if (Left.RemainingCpuSeconds != Right.RemainingCpuSeconds)
    return Left.RemainingCpuSeconds < Right.RemainingCpuSeconds;
  return Left.Objective < Right.Objective;
}

} // namespace sardinerill::site
