#pragma once

#include "sardinerill/control/fleetreplica.h"
#include "sardinerill/control/leaderlease.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/fleet/maintenance.h"

#include <functional>
#include <optional>

/// \file
/// Carries out roll-outs and moves of VMs between pools.

namespace sardinerill {

/// This daemon's own observations of the VMs, used with the platform's VM
/// list to plan maintenance.
class IVmObserver {
public:
  virtual ~IVmObserver() = default;
  /// \returns whether \p Vm is ejected because tasks fail on it.
  virtual bool isEjected(const VmId &Vm) const = 0;
  /// \returns the number of tasks that this daemon runs on \p Vm; used only to
  /// choose the VM that will probably drain soonest.
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
  /// commits the next steps. Called periodically; returns at once if no round
  /// is due.
  void tick();
  /// If this daemon holds the lease, starts a round, or another one after the
  /// round in flight, without waiting for the interval. Called when a VM may
  /// have drained or rebooted, and when a new fleet version is applied.
  void startRoundNow();
  /// Starts no further rounds and releases the lease if it is held. If a round
  /// in flight acquires or renews it, the lease may instead expire. \p Done is
  /// called in every case, even if the release fails.
  void release(std::function<void()> Done);
  /// \returns whether the last finished round held the lease.
  bool holdsLease() const;

private:
  /// Results of one round's calls to the platform.
  struct RoundData {
    Result<LeaderLease> CurrentLease;
    /// Empty unless the lease is held.
    Result<std::vector<VmListEntry>> Vms;
    /// Read only while a VM drains: a daemon that this one has not discovered
    /// yet may still run work on that VM.
    std::optional<Result<std::map<DaemonId, PeerEndpoint>>> Roster;
  };

  void finishRound(RoundData Data);
  Duration nextRoundDelay() const;
  bool hasPendingMaintenance() const;
  bool hasDrainingVm() const;
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
  LeaderLease Lease;
  bool LeaseHeld = false;
  bool RoundInFlight = false;
  bool ImmediateRoundRequested = false;
  Instant NextRoundAt{};
  bool ReleaseRequested = false;
};

} // namespace sardinerill
