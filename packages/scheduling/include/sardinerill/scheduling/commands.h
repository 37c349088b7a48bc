#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

#include <variant>

/// \file
/// Commands of the scheduler to upstreams and its requests to the placement
/// advisor, and the outcomes of the commands.

namespace sardinerill::site {

/// Longest time from sending a command without an answer until an upstream
/// executes it.
constexpr seconds MaxCommandDelay{12};

/// Starts a run on an upstream.
struct StartCommand {
  UpstreamId Upstream;
  RunId Run;
  std::string Payload;
  std::string Checkpoint; ///< Empty: start from the beginning.
  /// Permission of the placement advisor to start on this upstream; empty if
  /// the queue requires none.
  std::string Ticket;
  /// If not zero, a listing is requested this long after the start: nothing
  /// else is started on the upstream until it shows the run.
  Duration ConfirmAfter{};
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
  Duration Timeout{}; ///< Time limit of the call.
  /// Time for which the advisor works on the call, by the configuration.
  Duration Cost{};
  /// Given to tickets if the answer does not state their validity.
  Duration TicketValidity{};
  std::uint64_t Number = 0; ///< Of the calls of this holder, in their order.
  friend bool operator==(const AdviceRequest &,
                         const AdviceRequest &) = default;
};

/// Why a call for advice has failed.
enum class AdviceFailure {
  NotQueued, ///< Refused, or not sent: the advisor does not work on it.
  Answered,  ///< The answer was invalid.
  TimedOut,  ///< No answer within the limit; the advisor may still work on it.
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
  Superseded,     ///< Nothing started; the upstream has accepted commands
                  ///< of a newer holder.
  TicketInvalid,  ///< Nothing started; a new ticket is required.
  WrongIncarnation, ///< Nothing started; another incarnation has this address.
  Refused,          ///< Nothing started, for another reason.
  Unknown,          ///< The run may be active, or may start later.
};

/// Outcome of a stop command.
enum class StopOutcome {
  Acknowledged, ///< The run has ended, or can no longer start. After any other
                ///< outcome it may still be active.
  Superseded,   ///< The upstream has accepted commands of a newer holder.
  WrongIncarnation, ///< Another incarnation has this address.
  Unknown           ///< No usable answer.
};

} // namespace sardinerill::site
