#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

#include <variant>

/// \file
/// What the scheduler asks of the outside, and what became of it.

namespace sardinerill::site {

struct StartOrder {
  UpstreamId Where;
  RunId Run;
  std::string Payload;
  std::string Checkpoint; ///< Empty: from the beginning.
  std::string Ticket;     ///< Of the placement advisor; empty if none is due.
  friend bool operator==(const StartOrder &, const StartOrder &) = default;
};

struct StopOrder {
  UpstreamId Where;
  RunId Run;
  friend bool operator==(const StopOrder &, const StopOrder &) = default;
};

/// Lets a run work at a share of its speed.
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

/// How an upstream took a start.
enum class StartOutcome {
  Accepted,
  NoRoom,        ///< Nothing started; its view of its room differs from ours.
  NumberTooLow,  ///< Nothing started; a later run ended there.
  TooLate,       ///< Nothing started; the lease in the order had run out.
  Superseded,    ///< Nothing started; a newer holder gives the orders.
  TicketInvalid, ///< Nothing started; the advisor has to be asked again.
  WrongLife,     ///< Nothing started; another life answers at the address.
  Refused,       ///< Nothing started for some other reason.
  Unknown,       ///< May run now or later.
};

/// A stop is settled once the upstream has answered it.
enum class StopOutcome { Taken, Superseded, WrongLife, Unknown };

} // namespace sardinerill::site
