#include "sardinerill/runtimes/runtimeaccuracy.h"

#include <doctest/doctest.h>

using namespace sardinerill;

TEST_CASE("median and 90th percentile of both errors are told apart") {
  // A mean would hide that most forecasts are good and a few very bad.
  RunTimeAccuracy Accuracy;
  CHECK(Accuracy.report() == RunTimeAccuracyReport{});
  for (int Index = 0; Index < 100; ++Index)
    Accuracy.record(seconds(10), Index < 80 ? seconds(11) : seconds(40),
                    seconds(5));
  const RunTimeAccuracyReport Report = Accuracy.report();
  CHECK(Report.Runs == 100);
  CHECK(Report.ForecastMedian == doctest::Approx(0.1).epsilon(0.1));
  CHECK(Report.ForecastPercentile90 == doctest::Approx(3.0).epsilon(0.1));
  CHECK(Report.EstimateMedian == doctest::Approx(0.5).epsilon(0.1));
  CHECK(Report.EstimatePercentile90 == doctest::Approx(0.5).epsilon(0.1));
}

TEST_CASE("exact forecasts and those far off are counted") {
  // They lie outside the bins.
  RunTimeAccuracy Accuracy;
  for (int Index = 0; Index < 10; ++Index)
    Accuracy.record(milliseconds(1), milliseconds(1), seconds(3600));
  CHECK(Accuracy.report().ForecastMedian < 0.02);
  CHECK(Accuracy.report().EstimateMedian >= 100);
}
