#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Limits the calls to the placement advisor.
///
/// The advisor answers one call of a daemon after the other. A call that is
/// given up keeps its place there, so that calls which are sent faster than
/// they are answered would all be given up before their turn.

namespace sardinerill::site {

class AdviceCalls {
public:
  bool mayStart(Instant Now) const;
  /// \returns the time limit of a call that starts now. It grows with failures,
  /// because nothing says how long the advisor takes for an answer.
  Duration timeout() const;
  void recordStart() { ++this->UnderWay; }
  void recordAnswer();
  /// The call was refused, or had no answer within its time limit.
  void recordFailure(Instant Now);

private:
  int UnderWay = 0;
  int ConsecutiveFailures = 0;
  Instant NextStart{};
};

} // namespace sardinerill::site
