#pragma once

#include "sardinerill/base/ibackgroundexecutor.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/fleet/fleetlog.h"
#include "sardinerill/membership/ipeersender.h"
#include "sardinerill/membership/membership.h"
#include "sardinerill/platform/platformcalllimiter.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

/// \file
/// Keeps this daemon's copy of the fleet configuration up to date.

namespace sardinerill {

/// Follows the fleet log, read from the platform or fetched from peers, and
/// appends changes to it. The version in force on this daemon never decreases.
class FleetReplica {
public:
  using VersionAppliedHandler =
      std::function<void(std::shared_ptr<const Fleet>)>;
  using AppendHandler = std::function<void(Result<FleetVersion>)>;

  FleetReplica(IPlatform &Platform, IBackgroundExecutor &Background,
               IPeerSender &Peers, Membership &Members,
               PlatformCallLimiter &Limiter, const IClock &Clock,
               Metrics &Stats);

  /// Sets the handler that is called with each new version before this daemon
  /// reports the version as in force.
  void setVersionAppliedHandler(VersionAppliedHandler NewHandler) {
    this->OnVersionApplied = std::move(NewHandler);
  }

  /// Reads new changes from the platform. If the call fails or is not permitted
  /// by the limiter, requests the document from a random peer, unless a version
  /// is loaded and no newer one is known. If a read is in flight, another one
  /// follows it.
  void poll();
  /// Appends \p Change to the log and, on success, notifies every known member
  /// of the new version. \p OnFinished is called with the new version or the
  /// error, possibly before append returns.
  void append(FleetChange Change, AppendHandler OnFinished);

  /// Handles a peer's announcement of \p Version: acknowledges it if it is in
  /// force here, otherwise reads it first.
  void onVersionHint(const DaemonId &From, FleetVersion Version);
  /// Sends the fleet document to a peer that has the older version \p
  /// KnownVersion.
  void onFleetRequest(const DaemonId &From, FleetVersion KnownVersion);
  /// Applies a fleet document that a peer sent, if it is newer.
  void onFleetReply(const FleetReply &Reply);

  /// \returns the fleet in force, or null until a version has been applied.
  std::shared_ptr<const Fleet> current() const { return this->CurrentFleet; }
  const FleetSnapshot &snapshot() const { return this->CurrentSnapshot; }
  /// \returns whether the last poll of the fleet log succeeded.
  bool platformReachable() const { return this->PlatformReachable; }

private:
  void applySnapshot(const FleetSnapshot &Snapshot);
  void requestFromPeer();

  IPlatform &Platform;
  FleetLog Log;
  IBackgroundExecutor &Background;
  IPeerSender &Peers;
  Membership &Members;
  PlatformCallLimiter &Limiter;
  const IClock &Clock;
  Metrics &Stats;
  VersionAppliedHandler OnVersionApplied;
  /// The version in force: as stored, and parsed.
  FleetSnapshot CurrentSnapshot;
  std::shared_ptr<const Fleet> CurrentFleet;
  /// Chooses a peer. The seed is the same on every daemon.
  std::mt19937_64 PeerRandom{7};
  /// Peers that announced a newer version and await an acknowledgement.
  std::set<DaemonId> PeersAwaitingAck;
  bool PollInFlight = false;
  bool PollRequested = false;
  bool PlatformReachable = false;
};

} // namespace sardinerill
