#pragma once

#include <algorithm>

/// \file
/// Limits retries to a fraction of first attempts.

namespace sardinerill {

/// Token bucket that limits the additional load which retries cause when many
/// VMs fail at the same time.
class RetryBudget {
public:
  /// Adds tokens for the first attempt of a request.
  void recordFirstAttempt() {
    this->Tokens = std::min(MaxTokens, this->Tokens + TokensPerFirstAttempt);
  }

  /// Consumes one token if there is one.
  /// \returns whether a retry may be made.
  bool tryConsume() {
    if (this->Tokens < 1.0)
      return false;
    this->Tokens -= 1.0;
    return true;
  }

private:
  /// Allows at most 8 retries per 100 first attempts in the long run.
  static constexpr double TokensPerFirstAttempt = 0.08;
  /// Largest number of retries in a burst.
  static constexpr double MaxTokens = 10.0;
  double Tokens = MaxTokens / 2;
};

} // namespace sardinerill
