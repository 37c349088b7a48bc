#pragma once

#include "sardinerill/scheduling/commands.h"

#include <deque>

/// \file
/// Limits the calls to the placement advisor.
///
/// The advisor answers one call of a daemon after the other, in their order. A
/// call that is given up keeps its place there, so that calls which are sent
/// faster than they are answered, or are given up shortly before their answer,
/// would be worked on without being heard.

namespace sardinerill::site {

class AdviceCalls {
public:
  /// A call that has been started.
  struct Started {
    std::uint64_t Number = 0;
    Duration Limit{}; ///< Time limit of the call.
  };

  bool mayStart(Instant Now) const;
  /// Records a call that the advisor works on for \p Cost, as far as the
  /// configuration tells.
  Started recordStart(Duration Cost, Instant Now);
  void recordAnswer(std::uint64_t Number, Instant Now);
  void recordFailure(std::uint64_t Number, AdviceFailure Failure, Instant Now);

private:
  /// A call that the advisor has not finished, as far as is known.
  struct Unfinished {
    std::uint64_t Number = 0;
    Duration Cost{};
    Instant SentAt{};
    bool GivenUp = false;
  };

  std::deque<Unfinished>::iterator find(std::uint64_t Number);
  /// \returns how much longer than its cost the advisor has worked on \p Call.
  Duration timeBeyondCost(const Unfinished &Call, Instant Now) const;

  std::deque<Unfinished> Calls; ///< In the order in which they were sent.
  std::uint64_t LastNumber = 0;
  int UnderWay = 0;
  int ConsecutiveFailures = 0;
  /// Added to the cost of each call, as learned from earlier ones.
  Duration ExtraCost{};
  Instant LastAnswerAt{};
  Instant NextStart{};
};

} // namespace sardinerill::site
