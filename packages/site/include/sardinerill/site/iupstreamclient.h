#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/commands.h"

#include <memory>
#include <optional>

/// \file
/// Commands to one incarnation of an upstream, and the advice service.

namespace sardinerill::site {

enum class PollOutcome {
  Answered,
  Superseded,       ///< The upstream has seen a newer fencing token.
  WrongIncarnation, ///< Another incarnation answers at the address.
  /// Connection refused. A network partition can cause this too, so the
  /// upstream may still run.
  Refused,
  NoAnswer,
  NoConnection, ///< Nothing was sent: see PollRequest::NewestConnection.
};

/// Long-polls for the end of runs and optionally renews the upstream's lease.
struct PollRequest {
  std::int64_t Token = 0; ///< Fencing token of the sender.
  /// Ended runs up to this sequence number are stored; the upstream may drop
  /// them.
  std::int64_t AckedSequence = 0;
  /// New expiry of the lease, on the upstream's clock.
  std::optional<std::int64_t> LeaseUntilMs;
  /// The upstream answers as soon as a run ends, or after this time.
  Duration Wait{};
  /// If set, the request is sent only on an open connection with at most this
  /// number. A connection leads to one process: of those that were made before
  /// a process has answered, none leads to the next one under the same id.
  std::optional<ConnectionNumber> NewestConnection;
};

struct PollResponse {
  PollOutcome Outcome = PollOutcome::NoAnswer;
  RunListing Listing;
  ConnectionNumber Connection = 0; ///< Which delivered the answer.
};

/// A start command and the lease that comes with it.
struct StartRequest {
  StartCommand Command;
  std::int64_t Token = 0; ///< Fencing token of the sender.
  /// New expiry of the lease, on the upstream's clock.
  std::int64_t LeaseUntilMs = 0;
  /// As PollRequest::NewestConnection; always required, because the expiry is
  /// on the clock of one process.
  ConnectionNumber NewestConnection = 0;
};

struct StartReply {
  StartOutcome Outcome = StartOutcome::Unknown;
  /// Nothing was sent: see StartRequest::NewestConnection.
  bool NoConnection = false;
  /// Clock of the process that answered, in milliseconds, if the answer has it.
  std::optional<std::int64_t> ClockMs;
};

class IUpstreamClient {
public:
  virtual ~IUpstreamClient() = default;
  virtual Async<PollResponse> poll(PollRequest Request, Duration Timeout) = 0;
  virtual Async<StartReply> start(StartRequest Request, Duration Timeout) = 0;
  virtual Async<StopOutcome> stop(StopCommand Stop, std::int64_t Token,
                                  Duration Timeout) = 0;
  virtual Async<bool> setPace(PaceCommand Pace, std::int64_t Token,
                              Duration Timeout) = 0;
};

class IUpstreamClientFactory {
public:
  virtual ~IUpstreamClientFactory() = default;
  virtual std::unique_ptr<IUpstreamClient>
  connect(const UpstreamReport &Report) = 0;
};

/// Upstreams that may run a step, each with the ticket to send with the start
/// command.
struct PlacementAdvice {
  std::map<UpstreamId, std::string> Tickets;
  Duration Validity{};
};

/// The external service that decides which upstreams may run a step.
class IPlacementAdvisor {
public:
  virtual ~IPlacementAdvisor() = default;
  virtual Async<Result<PlacementAdvice>> advise(AdviceRequest Request,
                                                Duration Timeout) = 0;
};

} // namespace sardinerill::site
