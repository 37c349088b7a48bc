#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/// \file
/// Counters, gauges and latency histograms in the Prometheus text format.

namespace sardinerill {

/// Why an operation was retried.
enum class RetryReason {
  ConnectFailed,
  RequestNotSent,  ///< Failed before any byte of the request was sent.
  UpstreamBusy,    ///< The upstream did not accept the work.
  UpstreamError,   ///< The upstream responded with a 5xx status.
  NoValidResponse, ///< The request was sent at least in part, but no complete
                   ///< response to it was received in time.
  PlatformConflict,
  PlatformTimeout, ///< A write failed or its outcome is unknown.
  Count
};

/// \returns the counter label of \p Reason.
std::string_view toString(RetryReason Reason);

/// The metrics of one process. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void countRefusal(ErrorKind Kind);
  void countRetry(RetryReason Reason);
  /// Adds to a named counter, such as "requests_answered_total".
  void count(const std::string &Name, std::uint64_t Amount = 1);
  void setGauge(const std::string &Name, double Value);
  /// Adds a latency to the series of histogram \p Name whose label "class" has
  /// the value \p Class.
  void observe(const std::string &Name, const std::string &Class,
               Duration Latency);

  std::uint64_t refusals(ErrorKind Kind) const;
  std::uint64_t retries(RetryReason Reason) const;
  std::uint64_t counter(const std::string &Name) const;

  /// \returns all metrics in the Prometheus text exposition format.
  std::string renderPrometheus() const;

private:
  struct State;
  mutable std::mutex Mutex;
  std::unique_ptr<State> Values;
};

} // namespace sardinerill
