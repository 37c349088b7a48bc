#include "sardinerill/runtimes/runtimeaccuracy.h"

#include <cmath>

namespace sardinerill {

namespace {

/// Range of relative errors, 10 % a bin.
constexpr unsigned Bins = 96;
constexpr double MinError = 0.01;
constexpr double MaxError = 100;

} // namespace

RunTimeAccuracy::RunTimeAccuracy()
    : ForecastErrors(Axis(Bins, MinError, MaxError)),
      EstimateErrors(Axis(Bins, MinError, MaxError)) {}

void RunTimeAccuracy::record(Duration Measured, Duration Forecast,
                             Duration Estimate) {
  if (Measured.count() <= 0)
    return;
  const auto ErrorOf = [&](Duration Expected) {
    return std::abs(double((Expected - Measured).count())) /
           double(Measured.count());
  };
  ++this->Runs;
  this->ForecastErrors(ErrorOf(Forecast));
  this->EstimateErrors(ErrorOf(Estimate));
}

double RunTimeAccuracy::quantile(const Histogram &Errors, double Fraction) {
  // Smaller errors are in the underflow bin, index -1.
  double Total = 0;
  for (const auto &&Bin :
       boost::histogram::indexed(Errors, boost::histogram::coverage::all))
    Total += double(*Bin);
  double Sum = 0;
  for (int Index = -1; Index < int(Bins); ++Index) {
    const double Count = double(Errors.at(Index));
    if (Count <= 0 || Sum + Count < Fraction * Total) {
      Sum += Count;
      continue;
    }
    const double Low = Index < 0 ? 0.0 : Errors.axis().value(Index);
    const double High = Errors.axis().value(Index + 1);
    return Low + (High - Low) * (Fraction * Total - Sum) / Count;
  }
  return Total > 0 ? MaxError : 0;
}

RunTimeAccuracyReport RunTimeAccuracy::report() const {
  return {.Runs = this->Runs,
          .ForecastMedian = quantile(this->ForecastErrors, 0.5),
          .ForecastPercentile90 = quantile(this->ForecastErrors, 0.9),
          .EstimateMedian = quantile(this->EstimateErrors, 0.5),
          .EstimatePercentile90 = quantile(this->EstimateErrors, 0.9)};
}

} // namespace sardinerill
