#pragma once

#include <algorithm>

/// \file
/// Holds retries to a part of first tries.

namespace sardinerill {

/// A correlated failure must not turn every request into several.
class RetryBudget {
public:
  /// A request was sent for the first time.
  void recordFirstTry() {
    this->Tokens = std::min(MostTokens, this->Tokens + TokensPerTry);
  }

  /// \returns whether one more try may be made, and takes it from the budget.
  bool takeRetry() {
    if (this->Tokens < 1.0)
      return false;
    this->Tokens -= 1.0;
    return true;
  }

private:
  static constexpr double TokensPerTry = 0.08;
  static constexpr double MostTokens = 10.0;
  double Tokens = MostTokens / 2;
};

} // namespace sardinerill
