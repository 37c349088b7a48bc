#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/runtimes/runtimesummary.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// Learns the run times of tasks from finished runs and forecasts those of
/// later ones.
///
/// Load: several hundred runs end a second, and up to 3,000 jobs wait, whose
/// forecasts are needed in each scheduling round. Callers' estimates are off by
/// a half to nine tenths, and run times have a long tail. The model therefore
/// needs constant time for each run and does not allocate for a forecast.

namespace sardinerill {

/// What a run time may depend on.
struct RunTimeClass {
  std::string_view Queue;
  std::string_view Image;
  int Step = 0;
  std::int64_t CpuMilli = 0; ///< Requested by one task; forms the size class.
  std::string_view Organisation;
  /// Whether runs continue from a checkpoint. They are kept apart from others.
  bool Resumed = false;
};

/// Hashes of the keys of a class, from narrow to wide. Computed once for each
/// step of a job. They are the same in all processes.
struct RunTimeKey {
  /// (queue, image, step, size class, organisation); without the organisation;
  /// (queue, step); (queue).
  std::array<std::uint64_t, 4> Levels{};
  std::uint64_t Organisation = 0;

  static RunTimeKey of(const RunTimeClass &Class);
  friend bool operator==(const RunTimeKey &, const RunTimeKey &) = default;
};

/// What a forecast was derived from.
enum class RunTimeSource {
  Estimate, ///< The caller's estimate alone: too few runs.
  Ratio,    ///< The estimate, corrected by the ratio learned.
  Duration, ///< Durations of earlier runs, whatever the estimate.
};

struct RunTimeForecast {
  Duration Mean{};
  Duration Median{};
  Duration Percentile90{};
  double Runs = 0; ///< Number of runs behind it; old ones count less.
  RunTimeSource Source = RunTimeSource::Estimate;
  friend bool operator==(const RunTimeForecast &,
                         const RunTimeForecast &) = default;
};

/// Histogram with logarithmic bins whose old values lose weight.
class DecayingHistogram {
public:
  static constexpr std::size_t BinCount = 96;
  using Edges = std::array<double, BinCount + 1>;

  /// \param Edges must outlive the histogram.
  explicit DecayingHistogram(const Edges &Edges) : BinEdges(&Edges) {}

  /// Adds \p Value with weight 1. Values outside the range count in the first
  /// or the last bin.
  void add(double Value);
  double total() const { return this->Total; }
  double mean() const;
  double quantile(double Fraction) const;
  /// \returns the standard deviation of the logarithm.
  double logSpread() const;
  /// \returns the median of the largest of \p Count values.
  double medianOfLargest(int Count) const;
  /// \returns the weight of the values above \p Value.
  double weightAbove(double Value) const;
  /// \returns the mean of the values above \p Value, or \p Value if there is
  /// none.
  double meanAbove(double Value) const;
  /// \returns the \p Fraction quantile of the values above \p Value, or
  /// \p Value if there is none.
  double quantileAbove(double Value, double Fraction) const;

  std::map<int, std::int64_t> bins() const;
  void setBins(const std::map<int, std::int64_t> &Bins);

private:
  struct Statistics {
    bool Valid = false;
    double Mean = 0;
    double Median = 0;
    double Percentile90 = 0;
    double LogSpread = 0;
    int LargestOf = 0; ///< Number of values that Largest is for; 0: not set.
    double Largest = 0;
  };
  const Statistics &statistics() const;
  double centre(std::size_t Bin) const;
  double quantileInBins(double Fraction) const;
  /// \returns the part, 0 to 1, of \p Bin that lies above \p Value.
  double partAbove(std::size_t Bin, double Value) const;

  const Edges *BinEdges;
  std::array<float, BinCount> Weights{};
  double Total = 0;
  /// Range of the values added, which bounds the error of equal values to less
  /// than a bin.
  double Smallest = std::numeric_limits<double>::max();
  double Largest = 0;
  /// Computed at the first use after a change.
  mutable Statistics Cached;
};

/// The model. Has no clock and does no I/O.
class RunTimeModel {
public:
  /// \param MaxKeys limit on the number of keys; the one least recently
  /// learned from is dropped first.
  explicit RunTimeModel(std::size_t MaxKeys = DefaultMaxKeys);

  /// Learns from a run that ended as done and whose start is known exactly.
  /// \param Estimate the caller's estimate; 0: none.
  /// \param Slowdown relative slowness of the upstream, 1.0 if not known; the
  /// run counts with the time that it would have taken elsewhere.
  void learn(const RunTimeKey &Key, Duration Estimate, Duration Measured,
             double Slowdown = 1.0);

  /// \returns the forecast for a run of \p Key that starts now.
  RunTimeForecast forecast(const RunTimeKey &Key, Duration Estimate) const;
  /// \returns the median time until the last of \p Tasks runs has ended that
  /// start together.
  Duration slowest(const RunTimeKey &Key, Duration Estimate, int Tasks) const;
  /// \returns the expected remaining duration of a run that has lasted \p Age.
  Duration remaining(const RunTimeKey &Key, Duration Estimate,
                     Duration Age) const;
  /// \returns the median time until the last of \p Tasks runs has ended that
  /// have lasted \p Age.
  Duration slowestRemaining(const RunTimeKey &Key, Duration Estimate,
                            Duration Age, int Tasks) const;

  std::size_t size() const { return this->Entries.size(); }
  /// \returns a number that increases with each run learned from.
  std::uint64_t revision() const { return this->Revision; }

  RunTimeSummary summary() const;
  /// Adds what another model has learned.
  void merge(const RunTimeSummary &Other);

  /// About 1 KB each. 20 organisations with 4 queues, 2 steps and 4 size
  /// classes need 680.
  static constexpr std::size_t DefaultMaxKeys = 1024;

private:
  /// Mean ratio of one organisation's runs.
  struct OrganisationRatio {
    std::uint64_t Organisation = 0;
    double Weight = 0;
    double MeanLog = 0;
  };
  struct Entry {
    explicit Entry(std::uint64_t Key);
    std::uint64_t Key;
    std::uint64_t LearnedAt = 0; ///< Revision of the model.
    DecayingHistogram Durations; ///< In microseconds.
    /// Measured duration by estimate, relative to the organisation's mean.
    DecayingHistogram Ratios;
    std::vector<OrganisationRatio> Organisations;
  };
  /// A histogram of an entry, and the microseconds of its unit.
  struct Distribution {
    const DecayingHistogram *Histogram = nullptr;
    double UnitUs = 1;
    RunTimeSource Source = RunTimeSource::Estimate;
  };
  /// A ratio for an organisation, and how far those of organisations differ if
  /// it is taken from others.
  struct RatioCentre {
    double Ratio = 1;
    double LogSpread = 0;
  };

  Entry &entry(std::uint64_t Key);
  static void learnRatio(Entry &Learned, std::uint64_t Organisation,
                         double Ratio);
  static std::optional<RatioCentre> ratioCentre(const Entry &Known,
                                                std::uint64_t Organisation);
  Distribution distribution(const RunTimeKey &Key, Duration Estimate) const;

  std::size_t MaxKeys;
  std::uint64_t Revision = 0;
  std::list<Entry> Entries; ///< The one learned from last is first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> ByKey;
};

} // namespace sardinerill
