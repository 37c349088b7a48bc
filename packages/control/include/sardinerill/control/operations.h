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
  FleetKeeper &Keeper;
  Dispatcher &Work;
  Membership &Members;
  MaintenanceDuty &Maintenance;
  Metrics &Figures;
  const IClock &Clock;
  /// Accepted as an operator's key only while the fleet configuration contains
  /// no operator keys; may be empty.
  std::string BootstrapKey;
  /// Deletes a daemon's row from the roster.
  std::function<void(const DaemonId &)> SignOff;
  /// Queues a function for execution on the event loop thread.
  std::function<void(std::function<void()>)> Post;
};

/// Dispatches API calls to handlers through a routing table. Called on the
/// operators' endpoint threads.
class Operations : public IOperations {
public:
  explicit Operations(OperationsParts Parts) : Parts(std::move(Parts)) {}

  OperatorAnswer handle(const OperatorCall &Call) override;

private:
  using Reply = std::promise<OperatorAnswer>;
  using ReplyPtr = std::shared_ptr<Reply>;
  using Handler = void (Operations::*)(const OperatorCall &, ReplyPtr);

  struct Route {
    std::string_view Method;
    std::string_view Path;
    bool NeedsKey;
    Handler Run;
  };

  static const std::vector<Route> &routes();

  OperatorAnswer runOnLoop(const Route &Found, const OperatorCall &Call);
  Result<std::string> authorOf(const std::string &Key) const;
  OperatorAnswer waitInForce(OperatorAnswer Answer, const OperatorCall &Call);

  void showMetrics(const OperatorCall &Call, ReplyPtr Answer);
  void showFleet(const OperatorCall &Call, ReplyPtr Answer);
  void showStatus(const OperatorCall &Call, ReplyPtr Answer);
  void showPending(const OperatorCall &Call, ReplyPtr Answer);
  void changeFleet(const OperatorCall &Call, ReplyPtr Answer);
  void makeTeamKey(const OperatorCall &Call, ReplyPtr Answer);
  void forgetMember(const OperatorCall &Call, ReplyPtr Answer);
  void append(FleetChange Change, nlohmann::json Extra, ReplyPtr Answer);

  OperationsParts Parts;
};

} // namespace sardinerill
