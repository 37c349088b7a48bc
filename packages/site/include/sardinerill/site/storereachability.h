#pragma once

#include "sardinerill/base/clock.h"

/// \file
/// Tracks whether the table can be reached, directly or through other daemons.

namespace sardinerill::site {

/// Derives reachability from the outcomes of calls. Assumes at least two calls
/// a second.
class StoreReachability {
public:
  void recordSuccess(Instant Now) {
    this->AnsweredAt = Now;
    this->Failing = false;
  }
  void recordFailure() { this->Failing = true; }

  /// \returns whether calls have failed for so long that new ones can't be
  /// expected to succeed.
  bool isLost(Instant Now) const {
    return this->Failing && Now - this->AnsweredAt > LostAfter;
  }

private:
  /// A slow table answers within 0.3 s and calls are 0.5 s apart, so a longer
  /// gap with failures means that the table can't be reached.
  static constexpr milliseconds LostAfter{1200};
  Instant AnsweredAt{};
  bool Failing = false;
};

} // namespace sardinerill::site
