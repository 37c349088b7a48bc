#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

/// \file
/// Relative speed and failure rate of upstreams.
///
/// Addresses sites whose upstreams differ in speed, hang or fail: a job of 8
/// tasks ends with its slowest task, so that a few slow upstreams delay most
/// jobs. What a run took is compared with the forecast for its task. Task
/// durations have a long tail and forecasts are off by half, so that single
/// runs show little: the logarithm of the ratio is averaged over the latest
/// runs.

namespace sardinerill::site {

/// The duration of one run and what was forecast for it.
struct RunMeasurement {
  /// Runs with the same kind of forecast error, such as those of one queue.
  std::string Group;
  Duration Measured{};
  Duration Expected{};
};

/// Measured state of one upstream.
struct UpstreamHealth {
  double Slowdown = 1.0;    ///< Expected run time relative to other upstreams.
  double FailureRate = 0.0; ///< Part of its recent runs that failed, 0 to 1.

  /// \returns whether runs on the upstream are neither slow nor likely to fail.
  bool isHealthy() const;
  /// \returns whether the upstream is slower than the inaccuracy of Slowdown.
  bool isSlow() const;
  friend bool operator==(const UpstreamHealth &,
                         const UpstreamHealth &) = default;
};

/// \returns the total duration to expect of an active run that takes much
/// longer than forecast; nothing for other runs.
/// \param Age time since its start.
/// \param Percent its progress, 0 to 100.
std::optional<Duration> overdueDuration(Duration Age, int Percent,
                                        Duration Expected);

/// Relative speeds and failure rates of the upstreams, by the VM that they run
/// on: an upstream that moves to another pool keeps its speed. Measurements
/// lose their weight with time, so that an upstream that was avoided is tried
/// again.
class UpstreamSpeeds {
public:
  /// Records a run that ended successfully, or that is overdue. Each run must
  /// be recorded once at most.
  void recordRun(const VmId &Vm, const RunMeasurement &Measurement,
                 Instant Now);
  /// Records a run that ended successfully, for the failure rate.
  void recordSuccess(const VmId &Vm, Instant Now);
  /// Records a run that failed, or a start that was not accepted.
  void recordFailure(const VmId &Vm, Instant Now);
  UpstreamHealth healthOf(const VmId &Vm, Instant Now) const;
  /// Drops the VMs whose measurements have lost their weight.
  void forgetOld(Instant Now);
  /// \returns the number of VMs with measurements.
  std::size_t size() const { return this->Records.size(); }

private:
  struct Record {
    double LogRatioSum = 0;
    double Runs = 0; ///< Weight of the runs in LogRatioSum.
    double Successes = 0;
    double Failures = 0;
    Instant UpdatedAt{};
  };
  /// Mean logarithmic ratio of the runs of a group.
  struct Baseline {
    double LogRatio = 0;
    int Runs = 0;
  };
  Record &updated(const VmId &Vm, Instant Now);

  std::map<VmId, Record> Records;
  std::map<std::string, Baseline, std::less<>> Baselines;
};

} // namespace sardinerill::site
