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

/// Time limits of the operators' API.
struct OperatorTimeLimits {
  /// Time that an HTTP thread waits for a handler on the event loop.
  milliseconds EventLoop{10000};
  /// Time for which the answer to a change waits until the change is in force
  /// on every daemon.
  milliseconds InForce{8000};
  /// Interval at which that is checked.
  milliseconds PendingPoll{20};
};

/// Dependencies of the operators' API. Except for Post, used only on the event
/// loop thread.
struct OperatorRequestHandlerDependencies {
  FleetReplica &Replica;
  Dispatcher &TaskDispatcher;
  Membership &Members;
  MaintenanceController &Maintenance;
  Metrics &Stats;
  const IClock &Clock;
  /// Accepted as an operator's key only while the fleet configuration contains
  /// no operator keys; if it is empty, no key is accepted then.
  std::string BootstrapKey;
  /// Deletes a daemon's row from the roster.
  std::function<void(const DaemonId &)> DeregisterDaemon;
  /// Queues a function for execution on the event loop thread.
  std::function<void(std::function<void()>)> Post;
  OperatorTimeLimits TimeLimits{};
};

/// Dispatches API calls to handlers through a routing table. handle() is called
/// on the threads of the operators' HTTP server; the handlers run on the event
/// loop thread.
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
    bool RequiresOperatorKey;
    Handler Handle;
  };

  static const std::vector<Route> &routes();

  OperatorResponse runOnEventLoop(const Route &MatchedRoute,
                                  const OperatorRequest &Request);
  /// \returns the author to record: the operator's key id, or "bootstrap".
  Result<std::string> authenticateOperator(const std::string &Key) const;
  /// Waits until every daemon has the version in \p Answer in force, or until
  /// OperatorTimeLimits::InForce has passed, and adds "pending" and "inForce"
  /// to the body.
  OperatorResponse waitUntilInForce(OperatorResponse Answer,
                                    const OperatorRequest &Request);

  void showMetrics(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void showFleet(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void showStatus(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void showDaemonsBehind(const OperatorRequest &Request,
                         ResponsePromisePtr Answer);
  void changeFleet(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void createKey(const OperatorRequest &Request, ResponsePromisePtr Answer);
  void forgetMember(const OperatorRequest &Request, ResponsePromisePtr Answer);
  /// Appends \p Change and answers with \p ResponseFields and the new version.
  void append(FleetChange Change, nlohmann::json ResponseFields,
              ResponsePromisePtr Answer);

  OperatorRequestHandlerDependencies Dependencies;
};

} // namespace sardinerill
