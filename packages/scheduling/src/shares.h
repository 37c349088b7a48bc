#pragma once

#include "sardinerill/base/clock.h"

#include <algorithm>
#include <cmath>

/// \file
/// Shares of organisations in what arrives.
///
/// Load pattern: one organisation sends many times its usual for some seconds.
/// Its jobs beyond its share, counted a second, wait behind those of others;
/// they run when there is room.

namespace sardinerill::site {

/// Token bucket: fills with the share a second, holds the share of one second.
class ShareMeter {
public:
  /// \param PerSecond jobs that the organisation may expect to be served.
  /// \returns whether one more job at \p Arrival is within the share.
  bool take(double PerSecond, Instant Arrival) {
    const double Passed =
        std::max(0.0, double((Arrival - this->FilledAt).count()) / 1e6);
    const double Most = std::max(1.0, PerSecond);
    this->Tokens =
        this->IsNew ? Most : std::min(Most, this->Tokens + Passed * PerSecond);
    this->IsNew = false;
    this->FilledAt = std::max(this->FilledAt, Arrival);
    if (this->Tokens < 1.0)
      return false;
    this->Tokens -= 1.0;
    return true;
  }

private:
  bool IsNew = true;
  double Tokens = 0;
  Instant FilledAt{};
};

/// Rate of arriving work and how it changes.
///
/// Load pattern: within two seconds a queue goes from a twentieth of its mean
/// to five times it. VMs come 2 to 3 s after they were asked for, so what is
/// asked for has to be what arrives then.
class ArrivalMeter {
public:
  void add(double CpuSeconds, Instant Now) {
    this->Jobs.add(1, Now);
    this->Fast.add(CpuSeconds, Now);
    this->Slow.add(CpuSeconds, Now);
  }

  /// \returns processor seconds that arrive a second: the processors that the
  /// work keeps busy in the mean.
  double at(Instant Now) const { return this->Slow.at(Now); }

  /// \returns the rate after \p LeadSeconds more, if it goes on changing as it
  /// does now.
  double expected(Instant Now, double LeadSeconds) const {
    const double Rate = this->Slow.at(Now);
    const double Growth =
        (this->Fast.at(Now) - Rate) / (SlowSeconds - FastSeconds);
    const double Ahead = LeadSeconds + SlowSeconds;
    return std::clamp(Rate + this->trust(Now) * Ahead * Growth, 0.0,
                      MostGrowth * std::max(Rate, this->Fast.at(Now)));
  }

private:
  /// A rate a second that is forgotten with a time constant.
  class Smoothed {
  public:
    explicit Smoothed(double Seconds) : Seconds(Seconds) {}
    void add(double Amount, Instant Now) {
      this->Rate = this->at(Now) + Amount / this->Seconds;
      this->UpdatedAt = std::max(this->UpdatedAt, Now);
    }
    double at(Instant Now) const {
      const double Passed =
          std::max(0.0, double((Now - this->UpdatedAt).count()) / 1e6);
      return this->Rate * std::exp(-Passed / this->Seconds);
    }

  private:
    double Seconds;
    double Rate = 0;
    Instant UpdatedAt{};
  };

  /// \returns how far the trend counts: a few large jobs make none.
  double trust(Instant Now) const {
    const double Recent = this->Jobs.at(Now) * FastSeconds;
    return std::clamp((Recent - FewJobs) / FewJobs, 0.0, 1.0);
  }

  /// Long enough for some ten jobs of a peak, short against the 2 s in which it
  /// rises.
  static constexpr double FastSeconds = 0.35;
  /// Long enough to smooth single jobs, short against a peak of 4 s.
  static constexpr double SlowSeconds = 0.8;
  /// The trend of the first jobs of a peak is steep and uncertain.
  static constexpr double MostGrowth = 2.5;
  /// Jobs that arrive within the short time by chance, not by a trend.
  static constexpr double FewJobs = 6;
  Smoothed Jobs{FastSeconds};
  Smoothed Fast{FastSeconds};
  Smoothed Slow{SlowSeconds};
};

} // namespace sardinerill::site
