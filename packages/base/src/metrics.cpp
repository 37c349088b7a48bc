#include "sardinerill/base/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <sstream>
#include <vector>

namespace sardinerill {

namespace {

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using LatencyHistogram =
    decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

/// The bins cover 50 us to 100 s and grow by a factor of about 1.44 each.
constexpr unsigned LatencyBins = 40;
constexpr double LowestLatencyMs = 0.05;
constexpr double HighestLatencyMs = 100000.0;
constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::Count);
constexpr std::size_t RetryReasonCount =
    static_cast<std::size_t>(RetryReason::Count);

struct LatencySeries {
  LatencyHistogram Histogram = boost::histogram::make_histogram(
      LogAxis(LatencyBins, LowestLatencyMs, HighestLatencyMs));
  double SumMs = 0;
};

struct LatencyKey {
  std::string Name;
  std::string Class;
  friend auto operator<=>(const LatencyKey &, const LatencyKey &) = default;
};

void renderLatencies(std::ostream &Stream, const LatencyKey &Key,
                     const LatencySeries &Series) {
  const std::string Prefix = "sardinerill_" + Key.Name;
  // Index -1 is the underflow bin, index LatencyBins the overflow bin.
  double Cumulative = Series.Histogram.at(-1);
  const auto &Axis = Series.Histogram.axis();
  for (unsigned Bin = 0; Bin < LatencyBins; ++Bin) {
    Cumulative += Series.Histogram.at(static_cast<int>(Bin));
    Stream << Prefix << "_bucket{class=\"" << Key.Class << "\",le=\""
           << Axis.bin(static_cast<int>(Bin)).upper() << "\"} " << Cumulative
           << "\n";
  }
  Cumulative += Series.Histogram.at(static_cast<int>(LatencyBins));
  Stream << Prefix << "_bucket{class=\"" << Key.Class << "\",le=\"+Inf\"} "
         << Cumulative << "\n";
  Stream << Prefix << "_sum{class=\"" << Key.Class << "\"} " << Series.SumMs
         << "\n";
  Stream << Prefix << "_count{class=\"" << Key.Class << "\"} " << Cumulative
         << "\n";
}

} // namespace

std::string_view toString(RetryReason Reason) {
  constexpr std::array<std::string_view, RetryReasonCount> Names{
      "connect_failed",   "sent_nothing",     "upstream_busy",
      "upstream_error",   "upstream_cut_off", "platform_conflict",
      "platform_timeout",
  };
  return Names[static_cast<std::size_t>(Reason)];
}

struct Metrics::State {
  std::array<std::uint64_t, ErrorKindCount> Refusals{};
  std::array<std::uint64_t, RetryReasonCount> Retries{};
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<LatencyKey, LatencySeries> Latencies;
};

Metrics::Metrics() : Values(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::countRefusal(ErrorKind Kind) {
  std::scoped_lock Lock(this->Mutex);
  ++this->Values->Refusals[static_cast<std::size_t>(Kind)];
}

void Metrics::countRetry(RetryReason Reason) {
  std::scoped_lock Lock(this->Mutex);
  ++this->Values->Retries[static_cast<std::size_t>(Reason)];
}

void Metrics::count(const std::string &Name, std::uint64_t Amount) {
  std::scoped_lock Lock(this->Mutex);
  this->Values->Counters[Name] += Amount;
}

void Metrics::setGauge(const std::string &Name, double Value) {
  std::scoped_lock Lock(this->Mutex);
  this->Values->Gauges[Name] = Value;
}

void Metrics::observe(const std::string &Name, const std::string &Class,
                      Duration Latency) {
  const double Ms = static_cast<double>(Latency.count()) / 1000.0;
  std::scoped_lock Lock(this->Mutex);
  LatencySeries &Series = this->Values->Latencies[LatencyKey{Name, Class}];
  Series.Histogram(Ms);
  Series.SumMs += Ms;
}

std::uint64_t Metrics::refusals(ErrorKind Kind) const {
  std::scoped_lock Lock(this->Mutex);
  return this->Values->Refusals[static_cast<std::size_t>(Kind)];
}

std::uint64_t Metrics::retries(RetryReason Reason) const {
  std::scoped_lock Lock(this->Mutex);
  return this->Values->Retries[static_cast<std::size_t>(Reason)];
}

std::uint64_t Metrics::counter(const std::string &Name) const {
  std::scoped_lock Lock(this->Mutex);
  auto Entry = this->Values->Counters.find(Name);
  return Entry == this->Values->Counters.end() ? 0 : Entry->second;
}

std::string Metrics::renderPrometheus() const {
  std::scoped_lock Lock(this->Mutex);
  std::ostringstream Stream;
  Stream << "# TYPE sardinerill_refusals_total counter\n";
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index)
    Stream << "sardinerill_refusals_total{reason=\""
           << errorResponseFor(static_cast<ErrorKind>(Index)).Name << "\"} "
           << this->Values->Refusals[Index] << "\n";
  Stream << "# TYPE sardinerill_retries_total counter\n";
  for (std::size_t Index = 0; Index < RetryReasonCount; ++Index)
    Stream << "sardinerill_retries_total{reason=\""
           << toString(static_cast<RetryReason>(Index)) << "\"} "
           << this->Values->Retries[Index] << "\n";
  for (const auto &[Name, Value] : this->Values->Counters)
    Stream << "sardinerill_" << Name << " " << Value << "\n";
  for (const auto &[Name, Value] : this->Values->Gauges)
    Stream << "sardinerill_" << Name << " " << Value << "\n";
  for (const auto &[Key, Series] : this->Values->Latencies)
    renderLatencies(Stream, Key, Series);
  return Stream.str();
}

} // namespace sardinerill
