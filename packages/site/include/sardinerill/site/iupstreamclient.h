#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/commands.h"

#include <memory>
#include <optional>

/// \file
/// Commands to one incarnation of an upstream, and the advice service.

namespace sardinerill::site {

enum class HoldOutcome {
  Answered,
  Superseded,       ///< The upstream has seen a newer fencing token.
  WrongIncarnation, ///< Another incarnation answers at the address.
  Refused,          ///< Connection refused, by the upstream or by the network.
  NoAnswer,
};

/// Renews the upstream's lease and long-polls for the end of runs.
struct HoldQuestion {
  std::int64_t Token = 0; ///< Fencing token of the sender.
  /// Ends up to this sequence number are stored; the upstream may drop them.
  std::int64_t Acknowledged = 0;
  std::optional<std::int64_t> LeaseUntilMs; ///< On the upstream's clock.
  /// The upstream answers as soon as a run ends, or after this time.
  Duration Wait{};
};

struct HoldAnswer {
  HoldOutcome Outcome = HoldOutcome::NoAnswer;
  RunListing Listing;
};

class IUpstreamClient {
public:
  virtual ~IUpstreamClient() = default;
  virtual Async<HoldAnswer> hold(HoldQuestion Question, Duration Timeout) = 0;
  virtual Async<StartOutcome> start(StartCommand Start, std::int64_t Token,
                                    std::int64_t LeaseUntilMs,
                                    Duration Timeout) = 0;
  virtual Async<StopOutcome> stop(StopCommand Stop, std::int64_t Token,
                                  Duration Timeout) = 0;
  virtual Async<bool> pace(PaceCommand Pace, std::int64_t Token,
                           Duration Timeout) = 0;
};

class IUpstreamClients {
public:
  virtual ~IUpstreamClients() = default;
  virtual std::unique_ptr<IUpstreamClient>
  connect(const UpstreamReport &Report) = 0;
};

/// Upstreams that may run a step, each with the ticket to pass on when
/// starting.
struct Advice {
  std::map<UpstreamId, std::string> Tickets;
  Duration Validity{};
};

/// The external service that decides which upstreams may run a step.
class IAdvisor {
public:
  virtual ~IAdvisor() = default;
  virtual Async<Result<Advice>> ask(AdviceRequest Question,
                                    Duration Timeout) = 0;
};

} // namespace sardinerill::site
