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

constexpr unsigned LatencyBins = 40;
constexpr double LowestLatencyMs = 0.05;
constexpr double HighestLatencyMs = 100000.0;
constexpr std::size_t KindCount = static_cast<std::size_t>(ErrorKind::Count);
constexpr std::size_t ReasonCount =
    static_cast<std::size_t>(RetryReason::Count);

struct Series {
  LatencyHistogram Histogram = boost::histogram::make_histogram(
      LogAxis(LatencyBins, LowestLatencyMs, HighestLatencyMs));
  double SumMs = 0;
};

struct SeriesKey {
  std::string Name;
  std::string Label;
  friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
};

void renderSeries(std::ostream &Out, const SeriesKey &Key,
                  const Series &Figures) {
  const std::string Prefix = "sardinerill_" + Key.Name;
  double Total = Figures.Histogram.at(-1);
  const auto &Axis = Figures.Histogram.axis();
  for (unsigned Bin = 0; Bin < LatencyBins; ++Bin) {
    Total += Figures.Histogram.at(static_cast<int>(Bin));
    Out << Prefix << "_bucket{class=\"" << Key.Label << "\",le=\""
        << Axis.bin(static_cast<int>(Bin)).upper() << "\"} " << Total << "\n";
  }
  Total += Figures.Histogram.at(static_cast<int>(LatencyBins));
  Out << Prefix << "_bucket{class=\"" << Key.Label << "\",le=\"+Inf\"} "
      << Total << "\n";
  Out << Prefix << "_sum{class=\"" << Key.Label << "\"} " << Figures.SumMs
      << "\n";
  Out << Prefix << "_count{class=\"" << Key.Label << "\"} " << Total << "\n";
}

} // namespace

std::string_view toString(RetryReason Reason) {
  constexpr std::array<std::string_view, ReasonCount> Names{
      "connect_failed",   "sent_nothing",     "upstream_busy",
      "upstream_error",   "upstream_cut_off", "platform_conflict",
      "platform_timeout",
  };
  return Names[static_cast<std::size_t>(Reason)];
}

struct Metrics::State {
  std::array<std::uint64_t, KindCount> Refusals{};
  std::array<std::uint64_t, ReasonCount> Retries{};
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<SeriesKey, Series> Latencies;
};

Metrics::Metrics() : Figures(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::countRefusal(ErrorKind Kind) {
  std::scoped_lock Lock(this->Guard);
  ++this->Figures->Refusals[static_cast<std::size_t>(Kind)];
}

void Metrics::countRetry(RetryReason Reason) {
  std::scoped_lock Lock(this->Guard);
  ++this->Figures->Retries[static_cast<std::size_t>(Reason)];
}

void Metrics::count(const std::string &Name, std::uint64_t Amount) {
  std::scoped_lock Lock(this->Guard);
  this->Figures->Counters[Name] += Amount;
}

void Metrics::setGauge(const std::string &Name, double Value) {
  std::scoped_lock Lock(this->Guard);
  this->Figures->Gauges[Name] = Value;
}

void Metrics::observe(const std::string &Name, const std::string &Label,
                      Duration Latency) {
  const double Ms = static_cast<double>(Latency.count()) / 1000.0;
  std::scoped_lock Lock(this->Guard);
  Series &Figures = this->Figures->Latencies[SeriesKey{Name, Label}];
  Figures.Histogram(Ms);
  Figures.SumMs += Ms;
}

std::uint64_t Metrics::refusals(ErrorKind Kind) const {
  std::scoped_lock Lock(this->Guard);
  return this->Figures->Refusals[static_cast<std::size_t>(Kind)];
}

std::uint64_t Metrics::retries(RetryReason Reason) const {
  std::scoped_lock Lock(this->Guard);
  return this->Figures->Retries[static_cast<std::size_t>(Reason)];
}

std::uint64_t Metrics::counter(const std::string &Name) const {
  std::scoped_lock Lock(this->Guard);
  auto Found = this->Figures->Counters.find(Name);
  return Found == this->Figures->Counters.end() ? 0 : Found->second;
}

std::string Metrics::renderPrometheus() const {
  std::scoped_lock Lock(this->Guard);
  std::ostringstream Out;
  Out << "# TYPE sardinerill_refusals_total counter\n";
  for (std::size_t Index = 0; Index < KindCount; ++Index)
    Out << "sardinerill_refusals_total{reason=\""
        << answerFor(static_cast<ErrorKind>(Index)).Name << "\"} "
        << this->Figures->Refusals[Index] << "\n";
  Out << "# TYPE sardinerill_retries_total counter\n";
  for (std::size_t Index = 0; Index < ReasonCount; ++Index)
    Out << "sardinerill_retries_total{reason=\""
        << toString(static_cast<RetryReason>(Index)) << "\"} "
        << this->Figures->Retries[Index] << "\n";
  for (const auto &[Name, Value] : this->Figures->Counters)
    Out << "sardinerill_" << Name << " " << Value << "\n";
  for (const auto &[Name, Value] : this->Figures->Gauges)
    Out << "sardinerill_" << Name << " " << Value << "\n";
  for (const auto &[Key, Figures] : this->Figures->Latencies)
    renderSeries(Out, Key, Figures);
  return Out.str();
}

} // namespace sardinerill
