#include "sardinerill/runtimes/runtimemodel.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace sardinerill;

namespace {

RunTimeKey keyOf(std::string_view Image, std::string_view Organisation = "org",
                 std::string_view Queue = "queue", int Step = 0) {
  return RunTimeKey::of({.Queue = Queue,
                         .Image = Image,
                         .Step = Step,
                         .CpuMilli = 4000,
                         .Organisation = Organisation});
}

double inSeconds(Duration Time) { return double(Time.count()) / 1e6; }

Duration ofSeconds(double Time) { return Duration(std::int64_t(Time * 1e6)); }

/// \returns the median of |forecast - actual| / actual.
double median(std::vector<double> Errors) {
  std::ranges::nth_element(Errors,
                           Errors.begin() + std::ptrdiff_t(Errors.size() / 2));
  return Errors[Errors.size() / 2];
}

} // namespace

TEST_CASE("forecasts of a series are closer than the estimates") {
  // Estimates are off by a factor that is common to the runs of a queue, and by
  // up to half each. Guards against a model that learns nothing from them.
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Size(0.6, 2.1);
  std::uniform_real_distribution<double> Noise(-0.1, 0.1);
  RunTimeModel Model;
  std::vector<double> ByForecast;
  std::vector<double> ByEstimate;
  for (int Index = 0; Index < 2000; ++Index) {
    const double Actual = Size(Random);
    const Duration Estimate = ofSeconds(Actual * (0.5 + Noise(Random)));
    const RunTimeKey Key = keyOf("image" + std::to_string(Index % 5),
                                 "org" + std::to_string(Index % 20));
    const double Forecast = inSeconds(Model.forecast(Key, Estimate).Median);
    if (Index >= 200) {
      ByForecast.push_back(std::abs(Forecast - Actual) / Actual);
      ByEstimate.push_back(std::abs(inSeconds(Estimate) - Actual) / Actual);
    }
    Model.learn(Key, Estimate, ofSeconds(Actual));
  }
  CHECK(median(ByForecast) < 0.15);
  CHECK(median(ByEstimate) > 0.4);
}

TEST_CASE("too few runs leave the estimate in force") {
  RunTimeModel Model;
  for (int Index = 0; Index < 3; ++Index)
    Model.learn(keyOf("a"), seconds(1), seconds(10));
  const RunTimeForecast Forecast = Model.forecast(keyOf("a"), seconds(1));
  CHECK(Forecast.Source == RunTimeSource::Estimate);
  CHECK(Forecast.Mean == seconds(1));
  CHECK(Model.slowest(keyOf("a"), seconds(1), 8) == seconds(1));
}

TEST_CASE("two populations under one queue are kept apart") {
  // One factor for the queue would forecast 5 s for both.
  RunTimeModel Model;
  for (int Index = 0; Index < 50; ++Index) {
    Model.learn(keyOf("short"), {}, milliseconds(1000 + Index % 3));
    Model.learn(keyOf("long"), {}, milliseconds(9000 + Index % 3));
  }
  CHECK(inSeconds(Model.forecast(keyOf("short"), {}).Median) ==
        doctest::Approx(1.0).epsilon(0.15));
  CHECK(inSeconds(Model.forecast(keyOf("long"), {}).Median) ==
        doctest::Approx(9.0).epsilon(0.15));
  // An image that was never run is forecast by its queue, with both in it.
  const RunTimeForecast New = Model.forecast(keyOf("new"), {});
  CHECK(New.Source == RunTimeSource::Duration);
  CHECK(inSeconds(New.Mean) == doctest::Approx(5.0).epsilon(0.15));
}

TEST_CASE("the forecast follows a drift") {
  // After a new release of the image, a mean of all runs would lag for a day.
  RunTimeModel Model;
  for (int Index = 0; Index < 2000; ++Index)
    Model.learn(keyOf("a"), seconds(1), seconds(1));
  for (int Index = 0; Index < 300; ++Index)
    Model.learn(keyOf("a"), seconds(1), seconds(3));
  CHECK(inSeconds(Model.forecast(keyOf("a"), seconds(1)).Mean) ==
        doctest::Approx(3.0).epsilon(0.15));
}

TEST_CASE("wrong estimates of one organisation do not affect another") {
  // The organisation runs ten times as much as the others and states a tenth.
  std::mt19937 Random(3);
  std::uniform_real_distribution<double> Size(0.5, 5);
  RunTimeModel Model;
  for (int Index = 0; Index < 400; ++Index) {
    const double Actual = Size(Random);
    Model.learn(keyOf("a", "wrong"), ofSeconds(Actual / 10), ofSeconds(Actual));
    if (Index % 10 == 0)
      for (const char *Right : {"b", "c", "d"})
        Model.learn(keyOf("a", Right), ofSeconds(Actual), ofSeconds(Actual));
  }
  // Its own forecasts are corrected, those of old and new others are not.
  for (const double Actual : {1.0, 4.0}) {
    CHECK(inSeconds(Model.forecast(keyOf("a", "wrong"), ofSeconds(Actual / 10))
                        .Median) == doctest::Approx(Actual).epsilon(0.15));
    for (const char *Other : {"b", "new"})
      CHECK(inSeconds(
                Model.forecast(keyOf("a", Other), ofSeconds(Actual)).Median) ==
            doctest::Approx(Actual).epsilon(0.15));
  }
}

TEST_CASE("the ratio of a single organisation is not used for others") {
  // With estimates of a tenth, the others would be forecast ten times as long.
  RunTimeModel Model;
  for (int Index = 0; Index < 200; ++Index) {
    const double Actual = 1 + Index % 4;
    Model.learn(keyOf("a", "wrong"), ofSeconds(Actual / 10), ofSeconds(Actual));
  }
  const RunTimeForecast Forecast = Model.forecast(keyOf("a", "b"), seconds(2));
  CHECK(Forecast.Source == RunTimeSource::Duration);
  CHECK(Forecast.Percentile90 < seconds(6));
}

TEST_CASE("a run that is older than expected continues for a long time") {
  // A long tail: median 1.9 s, 99th percentile 19 s. Deducting the age from
  // the mean would forecast an end at once.
  std::mt19937 Random(11);
  std::lognormal_distribution<double> Tail(std::log(1.9), 1.0);
  RunTimeModel Model;
  for (int Index = 0; Index < 1000; ++Index)
    Model.learn(keyOf("a"), {}, ofSeconds(Tail(Random)));
  const RunTimeForecast Forecast = Model.forecast(keyOf("a"), {});
  CHECK(inSeconds(Forecast.Median) == doctest::Approx(1.9).epsilon(0.25));
  CHECK(Forecast.Percentile90 > 2 * Forecast.Mean);
  CHECK(Model.remaining(keyOf("a"), {}, seconds(8)) >
        Model.remaining(keyOf("a"), {}, seconds(1)));
  // Older than all: in proportion to its age.
  CHECK(Model.remaining(keyOf("a"), {}, seconds(1000)) == seconds(500));
  // The last of eight that start together ends later than one.
  CHECK(Model.slowest(keyOf("a"), {}, 8) > 2 * Forecast.Median);
  CHECK(Model.slowestRemaining(keyOf("a"), {}, {}, 8) ==
        Model.slowest(keyOf("a"), {}, 8));
}

TEST_CASE("the remaining time by the estimate never reaches zero") {
  // Otherwise all of a job's overdue runs seem to end in this moment.
  const RunTimeModel Model;
  CHECK(Model.remaining(keyOf("a"), seconds(4), seconds(1)) == seconds(3));
  CHECK(Model.remaining(keyOf("a"), seconds(4), seconds(10)) == seconds(5));
}

TEST_CASE("runs on a slow upstream and resumed runs are kept apart") {
  // Otherwise one slow upstream makes the forecast of all others pessimistic,
  // and a resumed run, which does half the work, makes it too short.
  RunTimeModel Model;
  const RunTimeKey Resumed = RunTimeKey::of(
      {.Queue = "queue", .Image = "a", .CpuMilli = 4000, .Resumed = true});
  for (int Index = 0; Index < 20; ++Index) {
    Model.learn(keyOf("a"), {}, seconds(4), 2.0);
    Model.learn(Resumed, {}, seconds(1));
  }
  CHECK(inSeconds(Model.forecast(keyOf("a"), {}).Mean) ==
        doctest::Approx(2.0).epsilon(0.15));
}

TEST_CASE("the key least recently learned from is dropped") {
  // Callers choose images, so that the number of keys has no natural limit.
  RunTimeModel Model(16);
  for (int Index = 0; Index < 500; ++Index)
    for (int Run = 0; Run < 5; ++Run)
      Model.learn(keyOf("image" + std::to_string(Index)), {}, seconds(2));
  CHECK(Model.size() == 16);
  CHECK(Model.forecast(keyOf("image499"), {}).Runs < 6);
  // The image is unknown by now, but not its queue.
  CHECK(Model.forecast(keyOf("image0"), {}).Runs > 100);
}
