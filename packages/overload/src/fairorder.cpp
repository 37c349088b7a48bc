#include "sardinerill/overload/fairorder.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace sardinerill::overload {

namespace {

/// Uses within the same multiple of this part of a fair part are similar. One
/// job takes about a fair part of a pool with 20 organisations, so a smaller
/// step would only compare the sizes of single jobs.
constexpr double SimilarUse = 0.5;
/// Upper bound of the level, which keeps the conversion to an integer valid for
/// organisations with a weight near 0.
constexpr double MaxLevel = 1e9;

/// \returns the rank; lower ranks are placed first.
std::uint64_t rankOf(const FairWork &Work) {
  constexpr std::int64_t PriorityOffset = std::int64_t(1) << 32;
  std::uint64_t Rank = std::uint64_t(Work.Priority + PriorityOffset);
  for (const bool IsLater :
       {Work.Worthless, Work.OverRate, !Work.CanMeetObjective, !Work.Started})
    Rank = Rank * 2 + (IsLater ? 1 : 0);
  return Rank;
}

/// Order of two works of the same rank at similar use.
bool isBefore(const FairWork &Left, const FairWork &Right) {
  if (Left.Preferred != Right.Preferred)
    return Left.Preferred;
  if (!Left.CanMeetObjective)
    return Left.AcceptedAt < Right.AcceptedAt;
  return std::tie(Left.RemainingCpuSeconds, Left.Objective) <
         std::tie(Right.RemainingCpuSeconds, Right.Objective);
}

} // namespace

FairOrder::FairOrder(std::vector<FairWork> Works,
                     std::vector<double> RelativeUse)
    : Works(std::move(Works)), RelativeUse(std::move(RelativeUse)),
      Ranks(this->Works.size()), Order(this->Works.size()),
      LaneEnds(this->Works.size()) {
  std::ranges::transform(this->Works, this->Ranks.begin(), rankOf);
  std::iota(this->Order.begin(), this->Order.end(), std::size_t(0));
  std::ranges::sort(this->Order, [this](std::size_t Left, std::size_t Right) {
    const FairWork &LeftWork = this->Works[Left];
    const FairWork &RightWork = this->Works[Right];
    const auto LeftKey = std::tuple(this->Ranks[Left], LeftWork.Lane);
    const auto RightKey = std::tuple(this->Ranks[Right], RightWork.Lane);
    if (LeftKey != RightKey)
      return LeftKey < RightKey;
    if (isBefore(LeftWork, RightWork))
      return true;
    // Equal works keep the order in which they were passed.
    return !isBefore(RightWork, LeftWork) && Left < Right;
  });
  for (std::size_t Position = this->Order.size(); Position-- > 0;) {
    const bool EndsSection =
        Position + 1 == this->Order.size() ||
        this->rankAt(Position) != this->rankAt(Position + 1) ||
        this->workAt(Position).Lane != this->workAt(Position + 1).Lane;
    this->LaneEnds[Position] =
        EndsSection ? Position + 1 : this->LaneEnds[Position + 1];
  }
}

std::uint64_t FairOrder::rankAt(std::size_t Position) const {
  return this->Ranks[this->Order[Position]];
}

const FairWork &FairOrder::workAt(std::size_t Position) const {
  return this->Works[this->Order[Position]];
}

std::int64_t FairOrder::levelOf(std::size_t Lane) const {
  return std::int64_t(
      std::clamp(this->RelativeUse[Lane] / SimilarUse, 0.0, MaxLevel));
}

bool FairOrder::isAfter(const Head &Left, const Head &Right) const {
  if (Left.Level != Right.Level)
    return Left.Level > Right.Level;
  const FairWork &LeftWork = this->workAt(Left.Position);
  const FairWork &RightWork = this->workAt(Right.Position);
  if (isBefore(RightWork, LeftWork))
    return true;
  return !isBefore(LeftWork, RightWork) &&
         this->Order[Left.Position] > this->Order[Right.Position];
}

void FairOrder::push(std::size_t Position) {
  this->Heap.push_back({this->levelOf(this->workAt(Position).Lane), Position});
  std::ranges::push_heap(this->Heap,
                         [this](const Head &Left, const Head &Right) {
                           return this->isAfter(Left, Right);
                         });
}

void FairOrder::enterNextRank() {
  const std::uint64_t Rank = this->rankAt(this->NextRankBegin);
  while (this->NextRankBegin < this->Order.size() &&
         this->rankAt(this->NextRankBegin) == Rank) {
    this->push(this->NextRankBegin);
    this->NextRankBegin = this->LaneEnds[this->NextRankBegin];
  }
}

std::optional<std::size_t> FairOrder::next() {
  // The lane returns to the heap only now, with the use that its last work has
  // added.
  if (this->Last && *this->Last + 1 < this->LaneEnds[*this->Last])
    this->push(*this->Last + 1);
  this->Last.reset();
  if (this->Heap.empty()) {
    if (this->NextRankBegin >= this->Order.size())
      return std::nullopt;
    this->enterNextRank();
  }
  std::ranges::pop_heap(this->Heap,
                        [this](const Head &Left, const Head &Right) {
                          return this->isAfter(Left, Right);
                        });
  this->Last = this->Heap.back().Position;
  this->Heap.pop_back();
  return this->Order[*this->Last];
}

void FairOrder::setUse(double RelativeUse) {
  if (this->Last)
    this->RelativeUse[this->workAt(*this->Last).Lane] = RelativeUse;
}

double relativeUse(const LaneUse &Lane, double SumOfWeights) {
  if (Lane.DominantUse <= 0 || SumOfWeights <= 0)
    return 0;
  // Organisations without a weight are served after all others.
  constexpr double MinWeight = 1e-6;
  return Lane.DominantUse * SumOfWeights / std::max(Lane.Weight, MinWeight);
}

} // namespace sardinerill::overload
