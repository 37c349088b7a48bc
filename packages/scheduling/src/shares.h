#pragma once

#include "sardinerill/base/clock.h"

#include <algorithm>

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

} // namespace sardinerill::site
