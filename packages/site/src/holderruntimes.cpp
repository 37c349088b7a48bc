#include "holder.h"

#include "sardinerill/base/logging.h"

#include <iomanip>
#include <sstream>

/// \file
/// Loads and stores what is learned about run times, and reports how accurate
/// the forecasts are.

namespace sardinerill::site {

namespace {

constexpr milliseconds RetryPause{500};
/// Time between two reports; also between two writes of what was learned.
constexpr seconds ReportInterval = RunTimeStorage::WriteInterval;
/// Pause between checks whether this holder is stopped.
constexpr milliseconds CheckInterval{250};

std::string decimal(double Value) {
  std::ostringstream Stream;
  Stream << std::fixed << std::setprecision(3) << Value;
  return Stream.str();
}

} // namespace

void Holder::publishRunTimeAccuracy() {
  for (const auto &[Queue, Report] : this->JobScheduler.takeRunTimeAccuracy()) {
    logEvent(LogLevel::Info, "runtimes.accuracy",
             {{"queue", Queue.str()},
              {"runs", std::to_string(Report.Runs)},
              {"forecast_median", decimal(Report.ForecastMedian)},
              {"forecast_p90", decimal(Report.ForecastPercentile90)},
              {"estimate_median", decimal(Report.EstimateMedian)},
              {"estimate_p90", decimal(Report.EstimatePercentile90)}});
    const auto Publish = [&](std::string_view Name, double Value) {
      this->Deps.Stats.setGauge("run_time_error_" + std::string(Name) +
                                    "{queue=\"" + Queue.str() + "\"}",
                                Value);
    };
    Publish("forecast_median", Report.ForecastMedian);
    Publish("forecast_p90", Report.ForecastPercentile90);
    Publish("estimate_median", Report.EstimateMedian);
    Publish("estimate_p90", Report.EstimatePercentile90);
  }
  this->Deps.Stats.setGauge("run_time_keys",
                            double(this->JobScheduler.runTimes().size()));
}

Async<void> Holder::runTimesLoop() {
  while (!this->Context->Stopped) {
    const auto Earlier = co_await this->RunTimesStored.load();
    if (this->Context->Stopped)
      co_return;
    if (Earlier) {
      const RunTimeModel &RunTimes = this->JobScheduler.runTimes();
      const bool NothingLearned = RunTimes.size() == 0;
      this->JobScheduler.mergeRunTimes(*Earlier);
      if (NothingLearned)
        this->RunTimesStored.markStored(RunTimes.revision());
      break;
    }
    co_await sleepFor(RetryPause);
  }
  Instant NextReport = this->Deps.Clock.now() + ReportInterval;
  while (!this->Context->Stopped && !this->Ownership.isLost()) {
    co_await sleepFor(CheckInterval);
    const Instant Now = this->Deps.Clock.now();
    if (this->Context->Stopped || Now < NextReport)
      continue;
    NextReport = Now + ReportInterval;
    this->publishRunTimeAccuracy();
    co_await this->RunTimesStored.storeIfDue(this->JobScheduler.runTimes(),
                                             Now);
  }
}

} // namespace sardinerill::site
