#pragma once

#include "sardinerill/control/fleetkeeper.h"
#include "sardinerill/control/maintenanceduty.h"
#include "sardinerill/dispatch/dispatcher.h"
#include "sardinerill/gateway/operatordoor.h"

#include <functional>
#include <future>

/// \file
/// Handlers of the operators' HTTP API.

namespace sardinerill {

/// Dependencies of the operators' API. Used on the event loop thread.
struct OperationsParts {
  FleetKeeper &Replica;
  Dispatcher &TaskDispatcher;
  Membership &Members;
  MaintenanceDuty &Maintenance;
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
class Operations : public IOperations {
public:
  explicit Operations(OperationsParts Dependencies)
      : Dependencies(std::move(Dependencies)) {}

  OperatorAnswer handle(const OperatorCall &Call) override;

private:
  using AnswerPromise = std::promise<OperatorAnswer>;
  using AnswerPromisePtr = std::shared_ptr<AnswerPromise>;
  using Handler = void (Operations::*)(const OperatorCall &, AnswerPromisePtr);

  struct Route {
    std::string_view Method;
    std::string_view Path;
    bool NeedsKey;
    Handler Handle;
  };

  static const std::vector<Route> &routes();

  OperatorAnswer runOnEventLoop(const Route &MatchedRoute,
                                const OperatorCall &Call);
  Result<std::string> authenticateOperator(const std::string &Key) const;
  OperatorAnswer waitUntilInForce(OperatorAnswer Answer,
                                  const OperatorCall &Call);

  void showMetrics(const OperatorCall &Call, AnswerPromisePtr Answer);
  void showFleet(const OperatorCall &Call, AnswerPromisePtr Answer);
  void showStatus(const OperatorCall &Call, AnswerPromisePtr Answer);
  void showPending(const OperatorCall &Call, AnswerPromisePtr Answer);
  void changeFleet(const OperatorCall &Call, AnswerPromisePtr Answer);
  void createKey(const OperatorCall &Call, AnswerPromisePtr Answer);
  void forgetMember(const OperatorCall &Call, AnswerPromisePtr Answer);
  void append(FleetChange Change, nlohmann::json Extra,
              AnswerPromisePtr Answer);

  OperationsParts Dependencies;
};

} // namespace sardinerill
