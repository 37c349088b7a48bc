#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

#include <variant>

/// \file
/// Commands that the scheduler issues to upstreams and to the placement
/// advisor, and their outcomes.

namespace sardinerill::site {

/// Starts a run on an upstream.
struct StartOrder {
  UpstreamId Where;
  RunId Run;
  std::string Payload;
  std::string Checkpoint; ///< Empty: start from the beginning.
  std::string Ticket; ///< From the placement advisor; empty if not required.
  friend bool operator==(const StartOrder &, const StartOrder &) = default;
};

/// Stops a run on an upstream.
struct StopOrder {
  UpstreamId Where;
  RunId Run;
  friend bool operator==(const StopOrder &, const StopOrder &) = default;
};

/// Throttles a run to a percentage of its full speed.
struct PaceOrder {
  UpstreamId Where;
  RunId Run;
  int Percent = 100;
  friend bool operator==(const PaceOrder &, const PaceOrder &) = default;
};

/// Asks the placement advisor which upstreams may run a step.
struct AdviceOrder {
  JobId Job;
  int Occurrence = 0;
  int Step = 0;
  std::vector<UpstreamId> Candidates;
  friend bool operator==(const AdviceOrder &, const AdviceOrder &) = default;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder, AdviceOrder>;

/// Outcome of a start command.
enum class StartOutcome {
  Accepted,
  NoRoom,        ///< Nothing started; the upstream has less free capacity than
                 ///< the scheduler assumed.
  NumberTooLow,  ///< Nothing started; a run with a higher number ended there.
  TooLate,       ///< Nothing started; the lease in the command had expired.
  Superseded,    ///< Nothing started; a newer owner is in charge.
  TicketInvalid, ///< Nothing started; a new ticket is required.
  WrongLife,     ///< Nothing started; another incarnation has this address.
  Refused,       ///< Nothing started, for another reason.
  Unknown,       ///< The run may be active, or may start later.
};

/// Outcome of a stop command. Only \c Taken is final: the upstream has ended
/// the run, or will not start it any more.
enum class StopOutcome { Taken, Superseded, WrongLife, Unknown };

} // namespace sardinerill::site
