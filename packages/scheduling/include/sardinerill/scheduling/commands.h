#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

#include <variant>

/// \file
/// Commands that the scheduler issues to upstreams and to the placement
/// advisor, and their outcomes.

namespace sardinerill::site {

/// Starts a run on an upstream.
struct StartCommand {
  UpstreamId Upstream;
  RunId Run;
  std::string Payload;
  std::string Checkpoint; ///< Empty: start from the beginning.
  std::string Ticket; ///< From the placement advisor; empty if not required.
  friend bool operator==(const StartCommand &, const StartCommand &) = default;
};

/// Stops a run on an upstream.
struct StopCommand {
  UpstreamId Upstream;
  RunId Run;
  friend bool operator==(const StopCommand &, const StopCommand &) = default;
};

/// Throttles a run to a percentage of its full speed.
struct PaceCommand {
  UpstreamId Upstream;
  RunId Run;
  int SpeedPercent = 100;
  friend bool operator==(const PaceCommand &, const PaceCommand &) = default;
};

/// Asks the placement advisor which upstreams may run a step.
struct AdviceRequest {
  JobId Job;
  int Occurrence = 0;
  int Step = 0;
  std::vector<UpstreamId> Candidates;
  friend bool operator==(const AdviceRequest &,
                         const AdviceRequest &) = default;
};

using Command =
    std::variant<StartCommand, StopCommand, PaceCommand, AdviceRequest>;

/// Outcome of a start command.
enum class StartOutcome {
  Accepted,
  InsufficientCapacity, ///< Nothing started; the upstream has less free
                        ///< capacity than the scheduler assumed.
  StaleRunNumber, ///< Nothing started; a run with a higher number ended there.
  LeaseExpired,   ///< Nothing started; the lease in the command had expired.
  Superseded,     ///< Nothing started; a newer holder is in charge.
  TicketInvalid,  ///< Nothing started; a new ticket is required.
  WrongIncarnation, ///< Nothing started; another incarnation has this address.
  Refused,          ///< Nothing started, for another reason.
  Unknown,          ///< The run may be active, or may start later.
};

/// Outcome of a stop command. Only \c Acknowledged is final: the upstream has
/// ended the run, or will not start it any more.
enum class StopOutcome { Acknowledged, Superseded, WrongIncarnation, Unknown };

} // namespace sardinerill::site
