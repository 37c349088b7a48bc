#pragma once

#include "sardinerill/base/clock.h"

#include <algorithm>

/// \file
/// The time limit of calls that are repeated until they are answered.
///
/// A peer goes on with a call that its caller gives up. If each answer takes a
/// little longer than a fixed limit, the peer works on every call and is never
/// heard.

namespace sardinerill {

class AdaptiveTimeLimit {
public:
  AdaptiveTimeLimit(Duration Base, Duration Max) : Base(Base), Max(Max) {}

  Duration current() const { return this->Limit; }
  /// Records an answer that took \p Took.
  void recordAnswer(Duration Took) {
    this->Limit = std::clamp(AnswerFactor * Took, this->Base,
                             std::max(this->Limit, Took));
  }
  /// Records a call without an answer.
  /// \param AnswersOthers whether the peer answers other calls meanwhile. If it
  /// does not, it may be gone, or the connection may have gone silent: the next
  /// call should find out soon.
  void recordTimeout(bool AnswersOthers) {
    this->Limit = AnswersOthers
                      ? std::min(TimeoutFactor * this->Limit, this->Max)
                      : this->Base;
  }

private:
  static constexpr int AnswerFactor = 2;
  static constexpr int TimeoutFactor = 2;

  Duration Base;
  Duration Max;
  Duration Limit = Base;
};

} // namespace sardinerill
