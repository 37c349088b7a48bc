#pragma once

#include "sardinerill/base/clock.h"

#include <boost/histogram.hpp>
#include <cstdint>

/// \file
/// How far forecasts and callers' estimates of run times were off.

namespace sardinerill {

/// Relative errors, |expected - measured| / measured.
struct RunTimeAccuracyReport {
  std::int64_t Runs = 0;
  double ForecastMedian = 0;
  double ForecastPercentile90 = 0;
  double EstimateMedian = 0;
  double EstimatePercentile90 = 0;
  friend bool operator==(const RunTimeAccuracyReport &,
                         const RunTimeAccuracyReport &) = default;
};

/// Collects the errors of some runs in constant space.
class RunTimeAccuracy {
public:
  RunTimeAccuracy();
  /// Records a run; one without forecast or estimate (0) counts as an error of
  /// 1 for that.
  void record(Duration Measured, Duration Forecast, Duration Estimate);
  RunTimeAccuracyReport report() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<
      std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;
  static double quantile(const Histogram &Errors, double Fraction);

  std::int64_t Runs = 0;
  Histogram ForecastErrors;
  Histogram EstimateErrors;
};

} // namespace sardinerill
