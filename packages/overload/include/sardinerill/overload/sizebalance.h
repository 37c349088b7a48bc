#pragma once

#include "sardinerill/base/clock.h"

#include <array>
#include <cstddef>
#include <vector>

/// \file
/// Share of the large jobs of a queue among those that are served.
///
/// Load that is addressed: while capacity is short, the order by least
/// remaining CPU time never serves the largest jobs. The largest tenth of a
/// queue's jobs and the fifth below it must be served at least half as often as
/// all its jobs. The balance counts arrivals and starts of each size class and
/// tells how many jobs of a class must precede smaller ones.

namespace sardinerill::overload {

enum class SizeClass { Ordinary, Large, Largest };

/// Arrivals and starts of one queue.
class SizeBalance {
public:
  /// Counts an arrived job. \returns its class, by the sizes of the jobs that
  /// arrived before.
  SizeClass arrived(double CpuSeconds, Instant Now);
  /// Counts a job that was started while it could meet its objective.
  void started(SizeClass Class, Instant Now);
  /// \returns how many jobs of \p Class must be started for the class to be
  /// served often enough.
  int deficit(SizeClass Class, Instant Now) const;

private:
  struct Counts {
    double Arrived = 0;
    double Started = 0;
  };
  void decay(Instant Now);
  double decayUntil(Instant Now) const;

  std::array<Counts, 3> ByClass{};
  Instant DecayedAt{};
  /// Sizes of the last jobs: in order of arrival (a ring) and sorted.
  std::vector<double> Ring;
  std::size_t RingPosition = 0;
  std::vector<double> Sorted;
};

} // namespace sardinerill::overload
