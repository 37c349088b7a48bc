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

/// Rate of arriving work, forgotten with a time constant.
class ArrivalMeter {
public:
  void add(double CpuSeconds, Instant Now) {
    this->Rate = this->at(Now) + CpuSeconds / TimeConstant;
    this->UpdatedAt = std::max(this->UpdatedAt, Now);
  }

  /// \returns processor seconds that arrive a second: the processors that the
  /// work keeps busy in the mean.
  double at(Instant Now) const {
    const double Passed =
        std::max(0.0, double((Now - this->UpdatedAt).count()) / 1e6);
    return this->Rate * std::exp(-Passed / TimeConstant);
  }

private:
  /// Seconds: long enough to smooth single jobs, short against a peak of 4 s.
  static constexpr double TimeConstant = 0.8;
  double Rate = 0;
  Instant UpdatedAt{};
};

} // namespace sardinerill::site
