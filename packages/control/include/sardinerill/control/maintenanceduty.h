#pragma once

#include "sardinerill/control/dutylease.h"
#include "sardinerill/control/fleetkeeper.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/fleet/maintenance.h"

#include <functional>
#include <optional>

/// \file
/// The duty that carries out roll-outs and moves.

namespace sardinerill {

/// What the duty sees besides the platform's list.
class IMaintenanceView {
public:
  virtual ~IMaintenanceView() = default;
  virtual bool isSuspected(const VmId &Vm) const = 0;
  virtual unsigned runningOn(const VmId &Vm) const = 0;
};

/// Any daemon may hold the duty; a holder that was paused past its lease can
/// commit nothing.
class MaintenanceDuty {
public:
  MaintenanceDuty(IPlatform &Platform, IBackground &Background,
                  FleetKeeper &Keeper, Membership &Members,
                  const IMaintenanceView &View, PlatformGate &Gate,
                  const IClock &Clock, Metrics &Figures);

  /// Starts a round where one is due: takes or renews the duty, then plans and
  /// commits. Called a few times a second.
  void tick();
  /// Something that a holder waits for may have happened.
  void kick();
  /// Hands the duty on; \p Done follows, whatever the outcome.
  void release(std::function<void()> Done);
  bool isHeld() const;

private:
  struct Round {
    Result<DutyView> Duty;
    Result<std::vector<VmListEntry>> Vms;
    /// Read while a VM drains: a member that is not known here yet may run work
    /// on it.
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
