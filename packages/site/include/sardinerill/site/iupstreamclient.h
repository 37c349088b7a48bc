#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/orders.h"

#include <memory>
#include <optional>

/// \file
/// Orders to one life of an upstream.

namespace sardinerill::site {

enum class HoldOutcome {
  Answered,
  Superseded, ///< A newer token is in force.
  WrongLife,  ///< Another life answers at the address.
  Refused,    ///< The connection was refused, by the upstream or on the way.
  NoAnswer,
};

struct HoldQuestion {
  std::int64_t Token = 0;
  std::int64_t Acknowledged = 0;            ///< Ends up to it may be forgotten.
  std::optional<std::int64_t> LeaseUntilMs; ///< On the upstream's clock.
  Duration Wait{}; ///< The upstream answers at the first end, or after this.
};

struct HoldAnswer {
  HoldOutcome Outcome = HoldOutcome::NoAnswer;
  RunListing Listing;
};

class IUpstreamClient {
public:
  virtual ~IUpstreamClient() = default;
  virtual Async<HoldAnswer> hold(HoldQuestion Question, Duration Limit) = 0;
  virtual Async<StartOutcome> start(StartOrder Order, std::int64_t Token,
                                    std::int64_t LeaseUntilMs,
                                    Duration Limit) = 0;
  virtual Async<StopOutcome> stop(StopOrder Order, std::int64_t Token,
                                  Duration Limit) = 0;
  virtual Async<bool> pace(PaceOrder Order, std::int64_t Token,
                           Duration Limit) = 0;
};

class IUpstreamClients {
public:
  virtual ~IUpstreamClients() = default;
  virtual std::unique_ptr<IUpstreamClient>
  connect(const UpstreamReport &Report) = 0;
};

struct Advice {
  std::map<UpstreamId, std::string> Tickets;
  Duration Validity{};
};

/// The service that knows which upstreams may run a step.
class IAdvisor {
public:
  virtual ~IAdvisor() = default;
  virtual Async<Result<Advice>> ask(AdviceOrder Question, Duration Limit) = 0;
};

} // namespace sardinerill::site
