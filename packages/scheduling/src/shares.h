#pragma once

#include "sardinerill/base/clock.h"

#include <algorithm>
#include <cmath>

/// \file
/// Rate limits of organisations and estimation of arrival rates.
///
/// An organisation may submit many times its usual rate for some seconds. Jobs
/// beyond its share, in jobs a second, are placed after the other jobs of the
/// same priority, as capacity permits.

namespace sardinerill::site {

/// Token bucket, refilled at the organisation's share. It holds at most the
/// tokens of one second, but at least one.
class ShareLimiter {
public:
  /// \param PerSecond the organisation's share in jobs a second.
  /// \returns whether one more job at \p Arrival is within the share.
  bool tryConsume(double PerSecond, Instant Arrival) {
    const double Elapsed =
        std::max(0.0, double((Arrival - this->RefilledAt).count()) / 1e6);
    const double Capacity = std::max(1.0, PerSecond);
    this->Tokens = this->IsNew
                       ? Capacity
                       : std::min(Capacity, this->Tokens + Elapsed * PerSecond);
    this->IsNew = false;
    this->RefilledAt = std::max(this->RefilledAt, Arrival);
    if (this->Tokens < 1.0)
      return false;
    this->Tokens -= 1.0;
    return true;
  }

private:
  bool IsNew = true;
  double Tokens = 0;
  Instant RefilledAt{};
};

/// Estimates the rate of arriving work and its trend.
///
/// The rate of a queue may rise within two seconds from a twentieth of its mean
/// to five times the mean. VMs become available 2 to 3 s after they were
/// requested, so the request has to cover the rate expected at that time.
class ArrivalRateEstimator {
public:
  void add(double CpuSeconds, Instant Now) {
    this->JobRate.add(1, Now);
    this->ShortTermRate.add(CpuSeconds, Now);
    this->LongTermRate.add(CpuSeconds, Now);
  }

  /// \returns the CPU seconds that arrive a second, which is the mean number of
  /// processors that the work keeps busy.
  double rate(Instant Now) const { return this->LongTermRate.rate(Now); }

  /// \returns the rate expected in \p LeadSeconds, extrapolated from the trend.
  double expected(Instant Now, double LeadSeconds) const {
    // While a rate rises steadily, an average lags by its time constant: the
    // two averages differ by the growth in the difference of their constants,
    // and the slow one has to be extrapolated by its own constant as well.
    const double Rate = this->LongTermRate.rate(Now);
    const double Growth =
        (this->ShortTermRate.rate(Now) - Rate) / (SlowSeconds - FastSeconds);
    const double Horizon = LeadSeconds + SlowSeconds;
    return std::clamp(Rate + this->trendWeight(Now) * Horizon * Growth, 0.0,
                      MaxGrowth *
                          std::max(Rate, this->ShortTermRate.rate(Now)));
  }

private:
  /// Exponentially decaying average of a rate.
  class DecayingRate {
  public:
    explicit DecayingRate(double Seconds) : Seconds(Seconds) {}
    void add(double Amount, Instant Now) {
      this->Rate = this->rate(Now) + Amount / this->Seconds;
      this->UpdatedAt = std::max(this->UpdatedAt, Now);
    }
    double rate(Instant Now) const {
      const double Elapsed =
          std::max(0.0, double((Now - this->UpdatedAt).count()) / 1e6);
      return this->Rate * std::exp(-Elapsed / this->Seconds);
    }

  private:
    double Seconds;
    double Rate = 0;
    Instant UpdatedAt{};
  };

  /// \returns the weight of the trend, 0 to 1. It is low for few jobs, because
  /// a few large jobs don't show a trend.
  double trendWeight(Instant Now) const {
    const double Recent = this->JobRate.rate(Now) * FastSeconds;
    return std::clamp((Recent - MinTrendJobs) / MinTrendJobs, 0.0, 1.0);
  }

  /// In a peak ten jobs or more arrive within this time; short compared with
  /// the 2 s in which a peak rises.
  static constexpr double FastSeconds = 0.35;
  /// Smooths single jobs; short compared with a peak of 4 s.
  static constexpr double SlowSeconds = 0.8;
  /// Limits the extrapolation: the trend of a peak's first jobs is steep and
  /// uncertain.
  static constexpr double MaxGrowth = 2.5;
  /// Jobs that may arrive within FastSeconds by chance, without a trend.
  static constexpr double MinTrendJobs = 6;
  DecayingRate JobRate{FastSeconds};
  DecayingRate ShortTermRate{FastSeconds};
  DecayingRate LongTermRate{SlowSeconds};
};

} // namespace sardinerill::site
