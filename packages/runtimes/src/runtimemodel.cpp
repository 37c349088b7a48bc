#include "sardinerill/runtimes/runtimemodel.h"

#include <algorithm>
#include <bit>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>
#include <span>
#include <string>

namespace sardinerill {

namespace {

/// A new run replaces this part of what a key has learned, so that about the
/// last 128 runs count. A queue at its peak ends as many in a second.
constexpr double Decay = 1.0 - 1.0 / 128;
/// Weight that a key needs to be used for forecasts: that of five runs, the
/// first of which have lost some.
constexpr double MinWeight = 4.5;
/// The same for ratios; the first run of each organisation does not count.
constexpr double MinRatioWeight = 3.5;
/// Weight that an organisation needs for its ratio to count in that of others:
/// that of two runs.
constexpr double MinWeightForOthers = 1.5;
/// Standard deviation of a normal distribution, by its median deviation.
constexpr double SpreadPerMedianDeviation = 1.4826;
/// Organisations that must agree before their ratio is used for another one:
/// the median of three is not moved far by one whose estimates are wrong.
constexpr std::size_t MinOrganisations = 3;
/// Organisations whose ratio an entry keeps; sites have 20.
constexpr std::size_t MaxOrganisations = 32;
/// Range of durations in microseconds: 1 ms to 1 h, 17 % a bin.
constexpr double MinDurationUs = 1e3;
constexpr double MaxDurationUs = 3.6e9;
/// Range of ratios, 10 % a bin.
constexpr double MinRatio = 0.01;
constexpr double MaxRatio = 100;
/// A run older than all earlier ones continues for this part of its age.
constexpr double RemainingPerAge = 0.5;
/// 90th percentile by the estimate alone: estimates are off by half or more.
constexpr double EstimatePercentile90 = 1.9;

DecayingHistogram::Edges edgesOf(double Min, double Max) {
  namespace axis = boost::histogram::axis;
  const axis::regular<double, axis::transform::log> Axis(
      unsigned(DecayingHistogram::BinCount), Min, Max);
  DecayingHistogram::Edges Edges{};
  for (std::size_t Index = 0; Index < Edges.size(); ++Index)
    Edges[Index] = Axis.value(double(Index));
  return Edges;
}

const DecayingHistogram::Edges &durationEdges() {
  static const DecayingHistogram::Edges Edges =
      edgesOf(MinDurationUs, MaxDurationUs);
  return Edges;
}

const DecayingHistogram::Edges &ratioEdges() {
  static const DecayingHistogram::Edges Edges = edgesOf(MinRatio, MaxRatio);
  return Edges;
}

/// FNV-1a, whose values are the same in all processes and versions.
class StableHash {
public:
  StableHash &add(std::string_view Text) {
    for (const char Byte : Text)
      this->addByte(std::uint8_t(Byte));
    this->addByte(0); // Ends the field.
    return *this;
  }
  StableHash &add(std::int64_t Number) {
    return this->add(std::string_view(std::to_string(Number)));
  }
  std::uint64_t value() const { return this->Value; }

private:
  void addByte(std::uint8_t Byte) {
    this->Value = (this->Value ^ Byte) * 0x100000001B3ULL;
  }
  std::uint64_t Value = 0xCBF29CE484222325ULL;
};

/// \returns the median, the upper one of an even number. Reorders \p Values.
double medianOf(std::span<double> Values) {
  const auto Middle = Values.begin() + std::ptrdiff_t(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

Duration microseconds(double Us) { return Duration(std::int64_t(Us)); }

Duration remainingByEstimate(Duration Estimate, Duration Age) {
  return std::max(Estimate - Age,
                  microseconds(RemainingPerAge * double(Age.count())));
}

/// Fraction below which the largest of \p Count values lies in half the cases.
double fractionOfLargest(int Count) {
  return std::pow(0.5, 1.0 / std::max(1, Count));
}

} // namespace

RunTimeKey RunTimeKey::of(const RunTimeClass &Class) {
  const auto SizeClass = std::int64_t(
      std::bit_width(std::uint64_t(std::max<std::int64_t>(0, Class.CpuMilli))));
  const auto Base = [&](std::string_view Level) {
    StableHash Hash;
    Hash.add(Level).add(std::int64_t(Class.Resumed)).add(Class.Queue);
    return Hash;
  };
  RunTimeKey Key;
  Key.Organisation = StableHash().add(Class.Organisation).value();
  StableHash OfImage =
      Base("image").add(Class.Image).add(Class.Step).add(SizeClass);
  Key.Levels = {StableHash(OfImage).add(Class.Organisation).value(),
                OfImage.value(), Base("step").add(Class.Step).value(),
                Base("queue").value()};
  return Key;
}

void DecayingHistogram::add(double Value) {
  double NewTotal = 1;
  for (float &Weight : this->Weights) {
    Weight *= float(Decay);
    NewTotal += Weight;
  }
  const auto Above = std::ranges::upper_bound(*this->BinEdges, Value);
  const auto Bin = std::clamp<std::ptrdiff_t>(
      Above - this->BinEdges->begin() - 1, 0, std::ptrdiff_t(BinCount) - 1);
  this->Weights[std::size_t(Bin)] += 1;
  this->Total = NewTotal;
  this->Smallest = std::min(this->Smallest, Value);
  this->Largest = std::max(this->Largest, Value);
  this->Cached.Valid = false;
}

double DecayingHistogram::centre(std::size_t Bin) const {
  return std::sqrt((*this->BinEdges)[Bin] * (*this->BinEdges)[Bin + 1]);
}

double DecayingHistogram::partAbove(std::size_t Bin, double Value) const {
  const double Low = (*this->BinEdges)[Bin];
  const double High = (*this->BinEdges)[Bin + 1];
  return std::clamp((High - Value) / (High - Low), 0.0, 1.0);
}

double DecayingHistogram::quantileInBins(double Fraction) const {
  if (this->Total <= 0)
    return 0;
  return std::clamp(this->quantileAbove(0, Fraction), this->Smallest,
                    this->Largest);
}

double DecayingHistogram::quantileAbove(double Value, double Fraction) const {
  const double Wanted = Fraction * this->weightAbove(Value);
  if (Wanted <= 0)
    return Value;
  double Sum = 0;
  for (std::size_t Bin = 0; Bin < BinCount; ++Bin) {
    const double High = (*this->BinEdges)[Bin + 1];
    if (this->Weights[Bin] <= 0 || High <= Value)
      continue;
    const double Weight = this->Weights[Bin] * this->partAbove(Bin, Value);
    if (Sum + Weight >= Wanted) {
      const double Low = std::max(Value, (*this->BinEdges)[Bin]);
      return Low + (High - Low) * (Wanted - Sum) / Weight;
    }
    Sum += Weight;
  }
  return this->BinEdges->back();
}

double DecayingHistogram::weightAbove(double Value) const {
  if (Value <= this->BinEdges->front())
    return this->Total;
  double Sum = 0;
  for (std::size_t Bin = 0; Bin < BinCount; ++Bin)
    if (this->Weights[Bin] > 0)
      Sum += this->Weights[Bin] * this->partAbove(Bin, Value);
  return Sum;
}

double DecayingHistogram::meanAbove(double Value) const {
  double Sum = 0;
  double Weight = 0;
  for (std::size_t Bin = 0; Bin < BinCount; ++Bin) {
    if (this->Weights[Bin] <= 0)
      continue;
    const double Part = this->Weights[Bin] * this->partAbove(Bin, Value);
    const bool Whole = Value <= (*this->BinEdges)[Bin];
    Sum += Part * (Whole ? this->centre(Bin)
                         : (Value + (*this->BinEdges)[Bin + 1]) / 2);
    Weight += Part;
  }
  return Weight > 0 ? Sum / Weight : Value;
}

const DecayingHistogram::Statistics &DecayingHistogram::statistics() const {
  if (this->Cached.Valid || this->Total <= 0)
    return this->Cached;
  double Sum = 0;
  double SumLog = 0;
  double SumLogSquares = 0;
  for (std::size_t Bin = 0; Bin < BinCount; ++Bin) {
    if (this->Weights[Bin] <= 0)
      continue;
    const double Weight = this->Weights[Bin];
    const double Centre = this->centre(Bin);
    const double Log = std::log(Centre);
    Sum += Weight * Centre;
    SumLog += Weight * Log;
    SumLogSquares += Weight * Log * Log;
  }
  const double MeanLog = SumLog / this->Total;
  this->Cached = {
      .Valid = true,
      .Mean = std::clamp(Sum / this->Total, this->Smallest, this->Largest),
      .Median = this->quantileInBins(0.5),
      .Percentile90 = this->quantileInBins(0.9),
      .LogSpread = std::sqrt(
          std::max(0.0, SumLogSquares / this->Total - MeanLog * MeanLog))};
  return this->Cached;
}

double DecayingHistogram::mean() const { return this->statistics().Mean; }

double DecayingHistogram::quantile(double Fraction) const {
  if (Fraction == 0.5)
    return this->statistics().Median;
  if (Fraction == 0.9)
    return this->statistics().Percentile90;
  return this->quantileInBins(Fraction);
}

double DecayingHistogram::logSpread() const {
  return this->statistics().LogSpread;
}

double DecayingHistogram::medianOfLargest(int Count) const {
  this->statistics();
  if (this->Cached.LargestOf != Count) {
    this->Cached.LargestOf = Count;
    this->Cached.Largest = this->quantileInBins(fractionOfLargest(Count));
  }
  return this->Cached.Largest;
}

std::map<int, std::int64_t> DecayingHistogram::bins() const {
  std::map<int, std::int64_t> Bins;
  for (std::size_t Bin = 0; Bin < BinCount; ++Bin)
    if (const auto Weight =
            std::int64_t(std::lround(this->Weights[Bin] * SummaryUnit));
        Weight > 0)
      Bins[int(Bin)] = Weight;
  return Bins;
}

void DecayingHistogram::setBins(const std::map<int, std::int64_t> &Bins) {
  // What a long-lived model would have kept of them at most.
  const double MaxTotal = 1 / (1 - Decay);
  double Sum = 0;
  for (const auto &[Bin, Weight] : Bins)
    Sum += double(Weight) / SummaryUnit;
  const double Scale = Sum > MaxTotal ? MaxTotal / Sum : 1.0;
  this->Weights = {};
  this->Total = 0;
  // The exact values are not part of a summary.
  this->Smallest = this->BinEdges->front();
  this->Largest = this->BinEdges->back();
  for (const auto &[Bin, Weight] : Bins) {
    const auto Scaled = float(Scale * double(Weight) / SummaryUnit);
    this->Weights[std::size_t(Bin)] = Scaled;
    this->Total += Scaled;
  }
  this->Cached.Valid = false;
}

RunTimeModel::Entry::Entry(std::uint64_t Key)
    : Key(Key), Durations(durationEdges()), Ratios(ratioEdges()) {}

RunTimeModel::RunTimeModel(std::size_t MaxKeys) : MaxKeys(MaxKeys) {}

RunTimeModel::Entry &RunTimeModel::entry(std::uint64_t Key) {
  if (const auto Found = this->ByKey.find(Key); Found != this->ByKey.end()) {
    this->Entries.splice(this->Entries.begin(), this->Entries, Found->second);
    return this->Entries.front();
  }
  this->Entries.emplace_front(Key);
  this->ByKey[Key] = this->Entries.begin();
  if (this->Entries.size() > this->MaxKeys) {
    this->ByKey.erase(this->Entries.back().Key);
    this->Entries.pop_back();
  }
  return this->Entries.front();
}

void RunTimeModel::learnRatio(Entry &Learned, std::uint64_t Organisation,
                              double Ratio) {
  auto &Known = Learned.Organisations;
  auto Own =
      std::ranges::find(Known, Organisation, &OrganisationRatio::Organisation);
  if (Own == Known.end() && Known.size() >= MaxOrganisations) {
    Own = std::ranges::min_element(Known, {}, &OrganisationRatio::Weight);
    *Own = {.Organisation = Organisation};
  } else if (Own == Known.end()) {
    Known.push_back({.Organisation = Organisation});
    Own = std::prev(Known.end());
  }
  const double Log = std::log(std::clamp(Ratio, MinRatio, MaxRatio));
  Own->Weight = Own->Weight * Decay + 1;
  Own->MeanLog += (Log - Own->MeanLog) / Own->Weight;
  // The mean of the first run is the run itself, which shows no spread.
  if (Own->Weight >= MinWeightForOthers)
    Learned.Ratios.add(std::exp(Log - Own->MeanLog));
}

void RunTimeModel::learn(const RunTimeKey &Key, Duration Estimate,
                         Duration Measured, double Slowdown) {
  if (Measured.count() <= 0 || !(Slowdown > 0))
    return;
  ++this->Revision;
  const double Us = double(Measured.count()) / Slowdown;
  for (const std::uint64_t Level : Key.Levels) {
    Entry &Learned = this->entry(Level);
    Learned.LearnedAt = this->Revision;
    Learned.Durations.add(Us);
    if (Estimate.count() > 0)
      learnRatio(Learned, Key.Organisation, Us / double(Estimate.count()));
  }
}

std::optional<RunTimeModel::RatioCentre>
RunTimeModel::ratioCentre(const Entry &Known, std::uint64_t Organisation) {
  std::array<double, MaxOrganisations> Others{};
  std::size_t Count = 0;
  for (const OrganisationRatio &Each : Known.Organisations) {
    if (Each.Organisation == Organisation && Each.Weight >= MinWeight)
      return RatioCentre{std::exp(Each.MeanLog), 0};
    if (Each.Weight >= MinWeightForOthers && Count < Others.size())
      Others[Count++] = Each.MeanLog;
  }
  if (Count < MinOrganisations)
    return std::nullopt;
  const std::span<double> Logs(Others.data(), Count);
  const double Median = medianOf(Logs);
  // Not the variance, which one organisation with wrong estimates determines.
  for (double &Each : Logs)
    Each = std::abs(Each - Median);
  return RatioCentre{std::exp(Median),
                     SpreadPerMedianDeviation * medianOf(Logs)};
}

RunTimeModel::Distribution RunTimeModel::distribution(const RunTimeKey &Key,
                                                      Duration Estimate) const {
  for (const std::uint64_t Level : Key.Levels) {
    const auto Found = this->ByKey.find(Level);
    if (Found == this->ByKey.end())
      continue;
    const Entry &Known = *Found->second;
    if (Known.Durations.total() < MinWeight)
      continue;
    const Distribution ByDuration{&Known.Durations, 1, RunTimeSource::Duration};
    if (Estimate.count() <= 0 || Known.Ratios.total() < MinRatioWeight)
      return ByDuration;
    const auto Centre = ratioCentre(Known, Key.Organisation);
    if (!Centre)
      return ByDuration;
    const double RatioSpread =
        std::hypot(Known.Ratios.logSpread(), Centre->LogSpread);
    if (RatioSpread >= Known.Durations.logSpread())
      return ByDuration;
    return {&Known.Ratios, Centre->Ratio * double(Estimate.count()),
            RunTimeSource::Ratio};
  }
  return {};
}

RunTimeForecast RunTimeModel::forecast(const RunTimeKey &Key,
                                       Duration Estimate) const {
  const Distribution Known = this->distribution(Key, Estimate);
  if (!Known.Histogram)
    return {.Mean = Estimate,
            .Median = Estimate,
            .Percentile90 =
                microseconds(EstimatePercentile90 * double(Estimate.count()))};
  const auto Scaled = [&](double Value) {
    return microseconds(Value * Known.UnitUs);
  };
  return {.Mean = Scaled(Known.Histogram->mean()),
          .Median = Scaled(Known.Histogram->quantile(0.5)),
          .Percentile90 = Scaled(Known.Histogram->quantile(0.9)),
          .Runs = Known.Histogram->total(),
          .Source = Known.Source};
}

Duration RunTimeModel::slowest(const RunTimeKey &Key, Duration Estimate,
                               int Tasks) const {
  const Distribution Known = this->distribution(Key, Estimate);
  if (!Known.Histogram)
    return Estimate;
  return microseconds(Known.Histogram->medianOfLargest(Tasks) * Known.UnitUs);
}

Duration RunTimeModel::remaining(const RunTimeKey &Key, Duration Estimate,
                                 Duration Age) const {
  const Distribution Known = this->distribution(Key, Estimate);
  if (!Known.Histogram)
    return remainingByEstimate(Estimate, Age);
  const double AgeUs = double(std::max(Age, Duration{}).count());
  const double Units = AgeUs / Known.UnitUs;
  // Less than one run that lasted longer says little.
  const double Certainty = std::min(1.0, Known.Histogram->weightAbove(Units));
  const double Excess =
      (Known.Histogram->meanAbove(Units) - Units) * Known.UnitUs;
  return microseconds(Certainty * Excess +
                      (1 - Certainty) * RemainingPerAge * AgeUs);
}

Duration RunTimeModel::slowestRemaining(const RunTimeKey &Key,
                                        Duration Estimate, Duration Age,
                                        int Tasks) const {
  const Distribution Known = this->distribution(Key, Estimate);
  if (!Known.Histogram)
    return remainingByEstimate(Estimate, Age);
  const double AgeUs = double(std::max(Age, Duration{}).count());
  const double Units = AgeUs / Known.UnitUs;
  const double Certainty = std::min(1.0, Known.Histogram->weightAbove(Units));
  const double Excess =
      (Known.Histogram->quantileAbove(Units, fractionOfLargest(Tasks)) -
       Units) *
      Known.UnitUs;
  return microseconds(Certainty * Excess +
                      (1 - Certainty) * RemainingPerAge * AgeUs);
}

RunTimeSummary RunTimeModel::summary() const {
  RunTimeSummary Summary;
  for (const Entry &Each : this->Entries) {
    RunTimeSummary::Entry &Stored = Summary.Entries[Each.Key];
    Stored.LearnedAt = Each.LearnedAt;
    Stored.Durations = Each.Durations.bins();
    Stored.Ratios = Each.Ratios.bins();
    for (const OrganisationRatio &Ratio : Each.Organisations)
      Stored.Organisations[Ratio.Organisation] = {
          std::llround(Ratio.Weight * SummaryUnit),
          std::llround(Ratio.Weight * Ratio.MeanLog * SummaryUnit)};
  }
  return Summary;
}

void RunTimeModel::merge(const RunTimeSummary &Other) {
  const RunTimeSummary Merged = mergeSummaries(this->summary(), Other);
  std::vector<std::pair<std::uint64_t, std::uint64_t>> OldestFirst;
  OldestFirst.reserve(Merged.Entries.size());
  for (const auto &[Key, Stored] : Merged.Entries)
    OldestFirst.emplace_back(Stored.LearnedAt, Key);
  std::ranges::sort(OldestFirst);
  const double MaxWeight = 1 / (1 - Decay);
  for (const auto &[LearnedAt, Key] : OldestFirst) {
    const RunTimeSummary::Entry &Stored = Merged.Entries.at(Key);
    Entry &Loaded = this->entry(Key);
    Loaded.LearnedAt = LearnedAt;
    Loaded.Durations.setBins(Stored.Durations);
    Loaded.Ratios.setBins(Stored.Ratios);
    Loaded.Organisations.clear();
    for (const auto &[Organisation, Ratio] : Stored.Organisations)
      if (Loaded.Organisations.size() < MaxOrganisations)
        Loaded.Organisations.push_back(
            {.Organisation = Organisation,
             .Weight = std::min(MaxWeight, double(Ratio.Weight) / SummaryUnit),
             .MeanLog = double(Ratio.SumLog) / double(Ratio.Weight)});
    this->Revision = std::max(this->Revision, LearnedAt);
  }
}

} // namespace sardinerill
