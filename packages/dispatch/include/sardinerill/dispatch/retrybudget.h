#pragma once

#include <algorithm>

/// \file
/// Holds retries to a part of first tries.

namespace sardinerill {

/// A correlated failure must not turn every request into several.
class RetryBudget {
public:
  /// A request was sent for the first time.
  void recordFirstAttempt() {
    this->Tokens = std::min(MaxTokens, this->Tokens + TokensPerFirstAttempt);
  }

  /// \returns whether one more try may be made, and takes it from the budget.
  bool tryConsume() {
    if (this->Tokens < 1.0)
      return false;
    this->Tokens -= 1.0;
    return true;
  }

private:
  static constexpr double TokensPerFirstAttempt = 0.08;
  static constexpr double MaxTokens = 10.0;
  double Tokens = MaxTokens / 2;
};

} // namespace sardinerill
