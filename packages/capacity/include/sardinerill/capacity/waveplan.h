#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Order in which the VMs of a maintenance wave are taken down.
///
/// A wave may contain nearly half of all VMs and must complete while the pools
/// peak at different times. Standby VMs and those with the least CPU in use are
/// taken down first. A pool that needs its VMs keeps them until its peak is
/// over or the deadline is near. With WaveView::Paced, a wave takes VMs that
/// are needed only as fast as its deadline requires, from its beginning,
/// instead of all that are left when the deadline is near.

namespace sardinerill::site {

enum class WaveStage {
  Waiting,
  Preparing,       ///< Cordoned; its tasks are being evacuated.
  RebootRequested, ///< The reboot was requested; the VM has not been up since.
  Done,
};

struct WaveVm {
  VmId Id;
  PoolId Pool;
  WaveStage Stage = WaveStage::Waiting;
  bool Up = false;
  bool Standby = false;      ///< In a standby pool; runs no tasks.
  int Runs = 0;              ///< Tasks still running on it.
  bool CanInterrupt = false; ///< Ending these tasks exceeds no availability
                             ///< budget.
  std::int64_t UsedCpuMilli = 0;
  /// Runs nothing and gets no tasks, because its zone is being evacuated. Not
  /// counted in its WavePool.
  bool Unused = false;
  Instant PreparingSince{};
};

struct WavePool {
  std::int64_t CpuMilli = 0;       ///< Capacity of the VMs in service.
  std::int64_t DemandCpuMilli = 0; ///< CPU demand of running and waiting tasks.
  int VmsInService = 0;
  int VmsOutOfService = 0; ///< Preparing or down.
  /// VMs required by the long-running step that is spread over the most VMs.
  int MinVmsForSpread = 0;
};

struct WaveView {
  std::vector<WaveVm> Vms;
  std::map<PoolId, WavePool> Pools;
  std::int64_t CpuMilliOfVm = 0; ///< CPU of one VM; all VMs are assumed equal.
  int MaxConcurrent = 1;
  Instant Deadline{};
  Duration DownTime = seconds(2); ///< How long one VM is down.
  bool Paced = false;
  bool Scarce = false; ///< The pools want more VMs than there are.
};

struct WavePlan {
  std::vector<VmId> Prepare;
  std::vector<VmId> TakeDown;
};

/// \returns the VMs to prepare and those to take down now.
WavePlan planWave(const WaveView &View, Instant Now);

} // namespace sardinerill::site
