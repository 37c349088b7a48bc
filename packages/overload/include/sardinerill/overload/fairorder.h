#pragma once

#include "sardinerill/base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// Order in which the waiting work of a round is placed, by fair shares of what
/// is running.
///
/// Load that is addressed: callers compete for pools that are too small for a
/// peak. The organisation that uses least relative to its fair part of a pool
/// is served first, so that one with many or large jobs delays only its own
/// work. The use changes with each placement, so the order is computed step by
/// step.

namespace sardinerill::overload {

/// One waiting step of a job.
struct FairWork {
  /// Work of one organisation in one pool, as an index chosen by the caller.
  std::size_t Lane = 0;
  int Priority = 0; ///< 0 is the highest.
  /// Can't end within the time in which its result has any value.
  bool Worthless = false;
  bool OverRate = false; ///< Beyond the rate share of its organisation.
  bool CanMeetObjective = true;
  bool Started = false; ///< Its job has run tasks.
  /// Its size class is served too rarely; see sizebalance.h.
  bool Preferred = false;
  double RemainingCpuSeconds = 0;
  Instant Objective{};
  Instant AcceptedAt{};
  friend bool operator==(const FairWork &, const FairWork &) = default;
};

/// Order by priority, then work that still has value, then work within the rate
/// share, then work that can meet its objective, then work of started jobs,
/// then the lane with the least use, then preferred work, then the least
/// remaining CPU time (late work: by acceptance).
///
/// Work of started jobs precedes the comparison of use, because capacity that a
/// half-finished job holds is wasted if it ends late. This does not weaken the
/// shares: each job was started by them, and what it uses counts.
class FairOrder {
public:
  /// \param Works the waiting work, in any order.
  /// \param RelativeUse the use of each lane in units of its fair part.
  FairOrder(std::vector<FairWork> Works, std::vector<double> RelativeUse);

  /// \returns the index of the next work, or none after the last.
  std::optional<std::size_t> next();
  /// Sets the use of the lane of the work that next() returned last. The use of
  /// other lanes must not change during a round.
  void setUse(double RelativeUse);

private:
  /// A lane with work of the present rank.
  struct Head {
    std::int64_t Level = 0; ///< Use in steps of SimilarUse.
    std::size_t Position = 0;
  };

  std::uint64_t rankAt(std::size_t Position) const;
  const FairWork &workAt(std::size_t Position) const;
  std::int64_t levelOf(std::size_t Lane) const;
  /// \returns whether \p Left is placed after \p Right.
  bool isAfter(const Head &Left, const Head &Right) const;
  void push(std::size_t Position);
  /// Fills the heap with the lanes of the next rank.
  void enterNextRank();

  std::vector<FairWork> Works;
  std::vector<double> RelativeUse;
  std::vector<std::uint64_t> Ranks;  ///< Of each work.
  std::vector<std::size_t> Order;    ///< Indices by rank, lane, order in lane.
  std::vector<std::size_t> LaneEnds; ///< End of the section at each position.
  std::vector<Head> Heap;
  std::size_t NextRankBegin = 0;
  std::optional<std::size_t> Last; ///< Position that next() returned.
};

/// Use of one organisation in one pool.
struct LaneUse {
  double Weight = 1.0;      ///< Of the organisation.
  double DominantUse = 0.0; ///< Largest part of any resource of the pool, 0..1.
};

/// \returns the use of \p Lane in units of its fair part of the pool.
/// \param SumOfWeights of the organisations that use the pool or wait for it.
double relativeUse(const LaneUse &Lane, double SumOfWeights);

} // namespace sardinerill::overload
