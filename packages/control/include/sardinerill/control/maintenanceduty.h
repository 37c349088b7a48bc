#pragma once

#include "sardinerill/control/dutylease.h"
#include "sardinerill/control/fleetkeeper.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/fleet/maintenance.h"

#include <functional>
#include <optional>

/// \file
/// Carries out roll-outs and moves of VMs between pools.

namespace sardinerill {

/// The dispatcher's view of the VMs, which complements the platform's VM list.
class IMaintenanceView {
public:
  virtual ~IMaintenanceView() = default;
  virtual bool isSuspected(const VmId &Vm) const = 0;
  virtual unsigned runningOn(const VmId &Vm) const = 0;
};

/// Runs maintenance rounds on the daemon that holds the maintenance lease. Any
/// daemon may acquire the lease. A holder that was suspended until after its
/// lease expired cannot commit changes, because each commit is conditional on
/// the lease row.
class MaintenanceDuty {
public:
  MaintenanceDuty(IPlatform &Platform, IBackground &Background,
                  FleetKeeper &Keeper, Membership &Members,
                  const IMaintenanceView &View, PlatformGate &Gate,
                  const IClock &Clock, Metrics &Figures);

  /// Starts a round if one is due: acquires or renews the lease, then plans and
  /// commits the next steps. Called a few times a second.
  void tick();
  /// Starts the next round immediately if this daemon holds the lease. Called
  /// on events that a planned step may be waiting for.
  void kick();
  /// Releases the lease and starts no further rounds. \p Done is called in
  /// every case, even if the release fails.
  void release(std::function<void()> Done);
  bool isHeld() const;

private:
  struct Round {
    Result<DutyView> Duty;
    Result<std::vector<VmListEntry>> Vms;
    /// Read only while a VM drains: a daemon that this one has not discovered
    /// yet may still run work on that VM.
    std::optional<Result<std::map<DaemonId, Contact>>> Roster;
  };

  void endRound(Round Read);
  Duration pause() const;
  bool hasWork() const;
  bool isDraining() const;
  void act(const std::vector<VmListEntry> &Vms);
  FleetObservation observe(const Fleet &Current,
                           const std::vector<VmListEntry> &Vms) const;
  void reboot(std::vector<RebootOrder> Orders);

  IPlatform &Platform;
  IBackground &Background;
  FleetKeeper &Keeper;
  Membership &Members;
  const IMaintenanceView &View;
  PlatformGate &Gate;
  const IClock &Clock;
  Metrics &Figures;
  DutyView Seen;
  bool Held = false;
  bool InRound = false;
  bool KickedInRound = false;
  Instant NextRound{};
  bool Released = false;
};

} // namespace sardinerill
