#pragma once

#include "sardinerill/control/fleetreplica.h"
#include "sardinerill/control/maintenancecontroller.h"
#include "sardinerill/dispatch/dispatcher.h"
#include "sardinerill/gateway/operatorserver.h"

#include <functional>
#include <future>

/// \file
/// Handlers of the operators' HTTP API.

namespace sardinerill {

/// Dependencies of the operators' API. Used on the event loop thread.
struct OperatorRequestHandlerDependencies {
  FleetReplica &Replica;
  Dispatcher &TaskDispatcher;
  Membership &Members;
  MaintenanceController &Maintenance;
  Metrics &Stats;
  const IClock &Clock;
  /// Accepted as an operator's key only while the fleet configuration contains
  /// no operator keys; may be empty.
  std::string BootstrapKey;
  /// Deletes a daemon's row from the roster.
  std::function<void(const DaemonId &)> DeregisterDaemon;
  /// Queues a function for execution on the event loop thread.
  std::function<void(std::function<void()>)> Post;
};

/// Dispatches API calls to handlers through a routing table. Called on the
/// operators' endpoint threads.
class OperatorRequestHandler : public IOperatorHandler {
public:
  explicit OperatorRequestHandler(
      OperatorRequestHandlerDependencies Dependencies)
      : Dependencies(std::move(Dependencies)) {}

  OperatorResponse handle(const OperatorRequest &Request) override;

private:
  using ResponsePromise = std::promise<OperatorResponse>;
  using ResponsePromisePtr = std::shared_ptr<ResponsePromise>;
  using Handler = void (OperatorRequestHandler::*)(const OperatorRequest &,
                                                   ResponsePromisePtr);

  struct Route {
    std::string_view Method;
    std::string_view Path;
    bool NeedsKey;
    Handler Handle;
  };

  static const std::vector<Route> &routes();

  OperatorResponse runOnEventLoop(const Route &MatchedRoute,
                                  const OperatorRequest &Request);
  Result<std::string> authenticateOperator(const std::string &Key) const;
  OperatorResponse waitUntilInForce(OperatorResponse Answer,
                                    const OperatorRequest &Request);

  void showMetrics(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void showFleet(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void showStatus(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void showPending(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void changeFleet(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void createKey(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void forgetMember(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void append(FleetChange Change, nlohmann::json Extra,
              ResponsePromisePtr Answer);

  OperatorRequestHandlerDependencies Dependencies;
};

} // namespace sardinerill
