#include "sardinerill/overload/admission.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sardinerill::overload {

namespace {

using nlohmann::json;

/// A job that ends later than this many times its allowed time after its
/// acceptance is of no value to its caller.
constexpr double ValueLimit = 3;
/// A job is refused only if it would end too late even though the work ahead of
/// it took this many times less than forecast: callers' estimates are off by
/// about half.
constexpr double ForecastMargin = 1.5;
/// Bounds of the delay that callers are told. Demand changes within seconds, so
/// that a longer one would keep callers away from a pool that is free again.
constexpr double MinRetrySeconds = 1;
constexpr double MaxRetrySeconds = 15;
/// Callers return spread over at least this time. The header Retry-After has
/// whole seconds, so a shorter one would not separate them.
constexpr double MinSpreadSeconds = 4;
/// Version of the encoded summary.
constexpr int FormatVersion = 1;

double secondsOf(Duration Time) { return double(Time.count()) / 1e6; }

bool fits(const LargestFree &Required, const LargestFree &Free) {
  return Required.CpuMilli <= Free.CpuMilli &&
         Required.MemoryMb <= Free.MemoryMb &&
         Required.Accelerators <= Free.Accelerators;
}

double sum(const WorkAhead &Work, std::size_t Buckets) {
  double Total = Work.Started;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    Total += Work.Waiting[Bucket];
  return Total;
}

/// \returns the CPU seconds that are placed before \p Request.
double workBefore(const AdmissionRequest &Request, double CpuSeconds,
                  const LoadSummary &Summary, const PoolLoad &Pool) {
  double Before = 0;
  for (const auto &[Priority, Work] : Pool.Ahead) {
    if (Priority > Request.Priority)
      break;
    if (Priority < Request.Priority) {
      Before += sum(Work, SizeBuckets);
      continue;
    }
    // Jobs of the same size class may be placed after it.
    double Waiting = sum(Work, sizeBucketOf(CpuSeconds)) - Work.Started;
    if (Summary.FairShares) {
      const auto Own = Pool.FairWaiting.find(Request.Organisation);
      Waiting =
          std::min(Waiting, Own == Pool.FairWaiting.end() ? 0.0 : Own->second);
    }
    Before += Work.Started + Waiting;
  }
  return Before;
}

/// \returns a number from 0 to 1 that depends on \p Job alone: FNV-1a, which is
/// the same in every daemon.
double spreadOf(const std::string &Job) {
  std::uint32_t Hash = 2166136261U;
  for (const unsigned char Byte : Job)
    Hash = (Hash ^ Byte) * 16777619U;
  return double(Hash) / double(UINT32_MAX);
}

json encodeWork(const WorkAhead &Work) {
  return {{"started", std::llround(Work.Started)},
          {"waiting", [&] {
             json Values = json::array();
             for (const double Value : Work.Waiting)
               Values.push_back(std::llround(Value));
             return Values;
           }()}};
}

WorkAhead decodeWork(const json &Text) {
  WorkAhead Work{.Started = Text.at("started")};
  const json &Waiting = Text.at("waiting");
  for (std::size_t Bucket = 0; Bucket < SizeBuckets; ++Bucket)
    Work.Waiting[Bucket] = Waiting.at(Bucket);
  return Work;
}

json encodePool(const PoolLoad &Pool) {
  json Ahead = json::array();
  for (const auto &[Priority, Work] : Pool.Ahead)
    Ahead.push_back({Priority, encodeWork(Work)});
  json Fair = json::object();
  for (const auto &[Organisation, CpuSeconds] : Pool.FairWaiting)
    Fair[Organisation] = std::llround(CpuSeconds);
  return {{"cores", Pool.Cores},
          {"free",
           {Pool.Free.CpuMilli, Pool.Free.MemoryMb, Pool.Free.Accelerators}},
          {"ahead", Ahead},
          {"fair", Fair}};
}

PoolLoad decodePool(const json &Text) {
  const json &Free = Text.at("free");
  PoolLoad Pool{.Cores = Text.at("cores"),
                .Free = {Free.at(0), Free.at(1), Free.at(2)}};
  for (const json &Entry : Text.at("ahead"))
    Pool.Ahead[Entry.at(0)] = decodeWork(Entry.at(1));
  for (const auto &[Organisation, CpuSeconds] : Text.at("fair").items())
    Pool.FairWaiting[Organisation] = CpuSeconds;
  return Pool;
}

} // namespace

std::size_t sizeBucketOf(double CpuSeconds) {
  std::size_t Bucket = 0;
  for (double Limit = 1; CpuSeconds >= Limit && Bucket + 1 < SizeBuckets;
       Limit *= 2)
    ++Bucket;
  return Bucket;
}

std::string encodeSummary(const LoadSummary &Summary, Duration Age) {
  json Pools = json::object();
  for (const auto &[Id, Pool] : Summary.Pools)
    Pools[Id] = encodePool(Pool);
  return json{{"format", FormatVersion},
              {"age-us", Age.count()},
              {"idle-vms", Summary.HasIdleVms},
              {"fair-shares", Summary.FairShares},
              {"pools", Pools},
              {"factors", Summary.RunTimeFactors}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<AgedSummary> decodeSummary(const std::string &Text) {
  try {
    const json Document = json::parse(Text);
    if (Document.at("format") != FormatVersion)
      return makeError(ErrorKind::BadRequest, "unknown format of a summary");
    AgedSummary Decoded{
        .Summary = {.HasIdleVms = Document.at("idle-vms"),
                    .FairShares = Document.at("fair-shares"),
                    .RunTimeFactors = Document.at("factors")},
        .Age = Duration(Document.at("age-us").get<std::int64_t>())};
    for (const auto &[Id, Pool] : Document.at("pools").items())
      Decoded.Summary.Pools[Id] = decodePool(Pool);
    return Decoded;
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

std::optional<Refusal> refusalOf(const AdmissionRequest &Request,
                                 const LoadSummary &Summary) {
  const auto Found = Summary.Pools.find(Request.Pool);
  // A pool without capacity may get VMs at any time.
  if (Summary.HasIdleVms || Found == Summary.Pools.end() ||
      Found->second.Cores <= 0)
    return std::nullopt;
  const PoolLoad &Pool = Found->second;
  if (std::ranges::any_of(Request.FirstTasks, [&](const LargestFree &Task) {
        return fits(Task, Pool.Free);
      }))
    return std::nullopt;
  const auto Learned = Summary.RunTimeFactors.find(Request.Queue);
  const double Factor =
      Learned == Summary.RunTimeFactors.end() ? 1.0 : Learned->second;
  const double CriticalPath = Factor * secondsOf(Request.CriticalPath);
  const double Limit = ValueLimit * (Request.CriticalPathFactor * CriticalPath +
                                     secondsOf(Request.LatencyTarget));
  const double Wait =
      workBefore(Request, Factor * Request.CpuSeconds, Summary, Pool) /
      Pool.Cores;
  const double Excess = Wait / ForecastMargin + CriticalPath - Limit;
  // Also rejects numbers that are not finite.
  if (!(Excess > 0) || !(Wait < 1e9))
    return std::nullopt;
  const double Delay = std::clamp(Excess, MinRetrySeconds, MaxRetrySeconds);
  const double Spread =
      std::max(Delay, MinSpreadSeconds) * spreadOf(Request.Job);
  return Refusal{.RetryAfter =
                     milliseconds(std::llround(1000 * (Delay + Spread))),
                 .PredictedWait = Duration(std::llround(1e6 * Wait))};
}

} // namespace sardinerill::overload
