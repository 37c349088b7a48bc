#pragma once

#include "async.h"

#include "sardinerill/base/metrics.h"
#include "sardinerill/capacity/poolplan.h"
#include "sardinerill/capacity/waveplan.h"
#include "sardinerill/ownership/ownership.h"
#include "sardinerill/scheduling/scheduler.h"
#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/istore.h"
#include "sardinerill/site/ivmcontrol.h"
#include "sardinerill/site/sitesettings.h"

#include <set>

/// \file
/// Executes maintenance waves and moves of VMs between pools.

namespace sardinerill::site {

struct VmCoordinatorDeps {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  IStore &Store;
  ISiteSource &Source;
  ISiteVmControl &Vms;
  const SiteSettings &Settings;
  Scheduler &JobScheduler;
  OwnershipLease &Ownership;
  AsyncEvent &SchedulingEvent;
  Metrics &Stats;
  const ZoneEvacuations &Evacuations;
};

class VmCoordinator : public std::enable_shared_from_this<VmCoordinator> {
public:
  explicit VmCoordinator(VmCoordinatorDeps Deps) : Deps(Deps) {}

  Async<void> run();
  /// Lists the VMs once at the start, since run() does so only while a wave is
  /// open or a standby pool exists.
  Async<void> listInitialVms();
  void stop() { this->Stopped = true; }
  void configure(const SiteConfiguration &Next) { this->Configuration = Next; }
  void addWaves(const std::vector<MaintenanceWave> &Waves);
  /// \returns whether a VM of \p Zone is in the latest list.
  bool hasVmIn(const ZoneId &Zone) const;

private:
  struct VmProgress {
    WaveStage Stage = WaveStage::Waiting;
    Instant StageSince{};
    bool Confirmed = false; ///< The command was confirmed.
    bool SeenDown = false;  ///< A later list showed it down or replaced.
    UpstreamId Upstream;    ///< Upstream on the VM when it was taken down.
  };
  struct WaveProgress {
    MaintenanceWave Wave;
    Instant FirstSeen{};
    bool Loaded = false; ///< VMs done under previous holders are loaded.
    std::map<VmId, VmProgress> Vms;
    bool Announced = false;
    bool Completed = false;
    std::size_t StoredDone = 0;      ///< Number of VMs stored as done.
    std::int64_t DoneRowVersion = 0; ///< Of the row that lists them.
    Instant NextBlockingLog{};
  };

  /// A VM that is being drained for a move, or is moving to another pool.
  struct MoveProgress {
    PoolId To;
    UpstreamId Upstream;
    /// Start of the drain, or when the command was last sent or confirmed.
    Instant StageSince{};
    bool CommandSent = false; ///< Unset while the VM is drained.
    bool Confirmed = false;
    bool MoveSeen = false; ///< A later list showed that the move has begun.
  };

  /// \returns whether the list was read.
  Async<bool> listVms();
  Async<void> reconcile();
  std::vector<PoolView> poolViews() const;
  Async<void> moveVmsBetweenPools();
  Async<void> moveVm(VmId Vm);
  void retireReplacedUpstreams(Instant RequestedAt);
  void updateMoves();
  /// Cancels the drains of VMs whose zone is being evacuated.
  void cancelEvacuatedDrains();
  void logPools(const PoolPlan &Plan, Instant Now);
  /// Updates the move of \p Id. \returns whether it has finished or was not
  /// carried out.
  bool updateMove(const VmId &Id, MoveProgress &Move, Instant Now);
  bool isInActiveWave(const VmId &Vm) const;
  /// \returns whether a wave has yet to take \p Vm down.
  bool isMaintenanceDue(const VmId &Vm) const;
  Async<void> advanceWave(WaveProgress &Wave);
  void updateStages(WaveProgress &Wave);
  WaveView viewOf(const WaveProgress &Wave) const;
  std::map<PoolId, WavePool> currentPools() const;
  void logBlockingTasks(WaveProgress &Wave, Instant Now);
  Async<void> takeDown(WaveProgress &Wave, VmId Vm);
  Async<bool> loadDoneVms(WaveProgress &Wave);
  /// \returns whether all VMs that are done are stored as such.
  Async<bool> storeDoneVms(WaveProgress &Wave);
  Async<void> publishState(WaveProgress &Wave, bool Completed);
  const VmRecord *findVm(const VmId &Vm) const;
  void updateMaintenanceDue();
  bool isStandby(const PoolId &Pool) const;
  bool hasOpenWave() const;
  bool hasStandby() const;
  RowKey doneVmsKey(const WaveProgress &Wave) const;

  bool mayCommandVms() const;
  /// \returns the sender of a command, which is not sent once the ownership no
  /// longer permits it.
  VmCommandIssuer issuer();

  VmCoordinatorDeps Deps;
  SiteConfiguration Configuration;
  std::map<std::int64_t, WaveProgress> Waves;
  std::vector<VmRecord> Vms;
  std::map<VmId, MoveProgress> Moves;
  std::map<PoolId, PoolDemandAverage> PoolDemandAverages;
  bool Stopped = false;
  Instant NextPoolLog{};
  /// Whether the pools wanted more VMs than there are in the last plan.
  bool VmsAreScarce = false;
};

} // namespace sardinerill::site
