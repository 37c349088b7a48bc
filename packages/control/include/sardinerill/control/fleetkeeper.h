#pragma once

#include "sardinerill/base/ibackground.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/fleet/fleetlog.h"
#include "sardinerill/membership/ipeers.h"
#include "sardinerill/membership/membership.h"
#include "sardinerill/platform/platformgate.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

/// \file
/// Keeps this daemon's fleet the newest that can be had.

namespace sardinerill {

/// Follows the fleet's log, by the platform or by peers, and appends changes.
/// The version in force here only grows.
class FleetKeeper {
public:
  using Adopted = std::function<void(std::shared_ptr<const Fleet>)>;
  using Appended = std::function<void(Result<FleetVersion>)>;

  FleetKeeper(IPlatform &Platform, IBackground &Background, IPeers &Peers,
              Membership &Members, PlatformGate &Gate, const IClock &Clock,
              Metrics &Figures);

  /// Told of each new version before it counts as in force here.
  void setAdopted(Adopted NewHandler) { this->Handler = std::move(NewHandler); }

  /// Asks the platform and, where it does not answer, a peer.
  void poll();
  /// Appends \p Change and tells every peer of the new version.
  void append(FleetChange Change, Appended Finished);

  void onVersionHint(const DaemonId &From, FleetVersion Version);
  void onFleetAsk(const DaemonId &From, FleetVersion Known);
  void onFleetReply(const FleetReply &Reply);

  std::shared_ptr<const Fleet> current() const { return this->Current; }
  const FleetSnapshot &snapshot() const { return this->Newest; }
  /// \returns whether the last call to the platform went through.
  bool platformAnswers() const { return this->PlatformAnswers; }

private:
  void adopt(const FleetSnapshot &Snapshot);
  void askPeer();

  IPlatform &Platform;
  FleetLog Log;
  IBackground &Background;
  IPeers &Peers;
  Membership &Members;
  PlatformGate &Gate;
  const IClock &Clock;
  Metrics &Figures;
  Adopted Handler;
  FleetSnapshot Newest;
  std::shared_ptr<const Fleet> Current;
  std::mt19937_64 Random{7};
  /// Peers that hinted at a version and wait for the acknowledgement.
  std::set<DaemonId> Hinters;
  bool Polling = false;
  bool PollAgain = false;
  bool PlatformAnswers = false;
};

} // namespace sardinerill
