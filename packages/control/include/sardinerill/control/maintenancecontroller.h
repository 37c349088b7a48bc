#pragma once

#include "sardinerill/control/dutylease.h"
#include "sardinerill/control/fleetreplica.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/fleet/maintenance.h"

#include <functional>
#include <optional>

/// \file
/// Carries out roll-outs and moves of VMs between pools.

namespace sardinerill {

/// This daemon's own observations of the VMs, which complement the platform's
/// VM list.
class IVmObserver {
public:
  virtual ~IVmObserver() = default;
  /// \returns whether \p Vm is ejected because tasks fail on it.
  virtual bool isSuspected(const VmId &Vm) const = 0;
  /// \returns the number of tasks that this daemon runs on \p Vm.
  virtual unsigned runningTaskCount(const VmId &Vm) const = 0;
};

/// Runs maintenance rounds on the daemon that holds the maintenance lease. Any
/// daemon may acquire the lease. A holder that was suspended until after its
/// lease expired cannot commit changes, because each commit is conditional on
/// the lease row.
class MaintenanceController {
public:
  MaintenanceController(IPlatform &Platform, IBackgroundExecutor &Background,
                        FleetReplica &Replica, Membership &Members,
                        const IVmObserver &Observer,
                        PlatformCallLimiter &Limiter, const IClock &Clock,
                        Metrics &Stats);

  /// Starts a round if one is due: acquires or renews the lease, then plans and
  /// commits the next steps. Called a few times a second.
  void tick();
  /// Starts the next round immediately if this daemon holds the lease. Called
  /// on events that a planned step may be waiting for.
  void startRoundNow();
  /// Releases the lease and starts no further rounds. \p Done is called in
  /// every case, even if the release fails.
  void release(std::function<void()> Done);
  bool holdsLease() const;

private:
  /// Data read from the platform in one round.
  struct RoundData {
    Result<DutyLease> CurrentLease;
    Result<std::vector<VmListEntry>> Vms;
    /// Read only while a VM drains: a daemon that this one has not discovered
    /// yet may still run work on that VM.
    std::optional<Result<std::map<DaemonId, PeerEndpoint>>> Roster;
  };

  void finishRound(RoundData Data);
  Duration nextRoundDelay() const;
  bool hasPendingMaintenance() const;
  bool isDraining() const;
  void planAndCommit(const std::vector<VmListEntry> &Vms);
  FleetObservation observe(const Fleet &Current,
                           const std::vector<VmListEntry> &Vms) const;
  void rebootVms(std::vector<RebootRequest> Requests);

  IPlatform &Platform;
  IBackgroundExecutor &Background;
  FleetReplica &Replica;
  Membership &Members;
  const IVmObserver &Observer;
  PlatformCallLimiter &Limiter;
  const IClock &Clock;
  Metrics &Stats;
  DutyLease Lease;
  bool LeaseHeld = false;
  bool RoundInFlight = false;
  bool ImmediateRoundRequested = false;
  Instant NextRoundAt{};
  bool ReleaseRequested = false;
};

} // namespace sardinerill
