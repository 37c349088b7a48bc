#pragma once

#include "async.h"

#include "sardinerill/base/metrics.h"
#include "sardinerill/ownership/ownership.h"
#include "sardinerill/scheduling/poolplan.h"
#include "sardinerill/scheduling/scheduler.h"
#include "sardinerill/scheduling/waveplan.h"
#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/istore.h"
#include "sardinerill/site/ivmcontrol.h"
#include "sardinerill/site/sitesettings.h"

#include <set>

/// \file
/// Carries out maintenance waves and moves of VMs between pools.

namespace sardinerill::site {

struct VmKeeperParts {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  IStore &Store;
  ISiteSource &Source;
  ISiteVmControl &Vms;
  const SiteSettings &Settings;
  Scheduler &Plan;
  HeldOwnership &Ownership;
  Signal &Decide;
  Metrics &Figures;
};

class VmKeeper : public std::enable_shared_from_this<VmKeeper> {
public:
  /// \param QuietUntil an earlier holder may still give orders until then.
  VmKeeper(VmKeeperParts Parts, Instant QuietUntil)
      : Parts(Parts), QuietUntil(QuietUntil) {}

  Async<void> run();
  /// Lists the VMs once, before anything that waits is started.
  Async<void> listFirst();
  void stop() { this->Stopped = true; }
  void configure(const SiteConfiguration &Next) { this->Configuration = Next; }
  void addWaves(const std::vector<MaintenanceWave> &Waves);

private:
  struct VmProgress {
    WaveStage Stage = WaveStage::Waiting;
    Instant Since{};
    bool Answered = false; ///< The order was confirmed.
    bool SeenAway = false; ///< The list showed it away since.
    UpstreamId Upstream;   ///< What ran there when it was told to go down.
  };
  struct WaveProgress {
    MaintenanceWave Wave;
    Instant FirstSeen{};
    bool Loaded = false; ///< What an earlier holder did is known.
    std::map<VmId, VmProgress> Vms;
    bool Announced = false;
    bool Completed = false;
    std::size_t StoredDone = 0; ///< VMs that are stored as done.
    Instant NextStayingLog{};
  };

  /// A VM that leaves its pool, or is on its way to another.
  struct MoveProgress {
    PoolId To;
    UpstreamId Upstream;
    Instant Since{};
    bool Ordered = false;
    bool Answered = false;
    bool SeenAway = false;
  };

  /// \returns whether the list was read.
  Async<bool> listVms();
  Async<void> look();
  std::vector<PoolView> poolViews() const;
  Async<void> movePools();
  Async<void> moveVm(VmId Vm);
  void retireReplaced(Instant AskedAt);
  void refreshMoves();
  void logPools(Instant Now);
  /// \returns whether the move of \p Id is over or did not happen.
  bool hasSettled(const VmId &Id, MoveProgress &Move, Instant Now);
  bool inWave(const VmId &Vm) const;
  /// \returns whether a wave has still to take \p Vm down.
  bool isDue(const VmId &Vm) const;
  Async<void> advance(WaveProgress &Wave);
  void refresh(WaveProgress &Wave);
  WaveView viewOf(const WaveProgress &Wave) const;
  std::map<PoolId, WavePool> poolsNow() const;
  void logStaying(WaveProgress &Wave, Instant Now);
  Async<void> takeDown(WaveProgress &Wave, VmId Vm);
  Async<bool> loadDone(WaveProgress &Wave);
  Async<void> storeDone(WaveProgress &Wave);
  Async<void> announce(WaveProgress &Wave, bool Completed);
  const VmRecord *record(const VmId &Vm) const;
  void expectMaintenance();
  bool isStandby(const PoolId &Pool) const;
  bool hasOpenWave() const;
  bool hasStandby() const;
  RowKey doneKey(const WaveProgress &Wave) const;

  VmKeeperParts Parts;
  Instant QuietUntil;
  SiteConfiguration Configuration;
  std::map<std::int64_t, WaveProgress> Waves;
  std::vector<VmRecord> Vms;
  std::map<VmId, MoveProgress> Moves;
  std::map<PoolId, PoolMemory> PoolDemands;
  bool Stopped = false;
  Instant NextPoolLog{};
};

} // namespace sardinerill::site
