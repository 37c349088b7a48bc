#include "waitingorder.h"

#include <tuple>

namespace sardinerill::site {

bool goesBefore(const WaitingWork &Left, const WaitingWork &Right) {
  const auto Rank = [](const WaitingWork &Work) {
    return std::tuple(Work.Priority, Work.OverShare, !Work.CanBeInTime);
  };
  if (Rank(Left) != Rank(Right))
    return Rank(Left) < Rank(Right);
  if (!Left.CanBeInTime)
    return Left.AcceptedAt < Right.AcceptedAt;
  if (Left.RemainingCpuSeconds != Right.RemainingCpuSeconds)
    return Left.RemainingCpuSeconds < Right.RemainingCpuSeconds;
  return Left.Objective < Right.Objective;
}

} // namespace sardinerill::site
