#pragma once

#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Order in which the VMs of a maintenance wave are taken down.
///
/// Load pattern: a wave of nearly half of all VMs has to pass while the pools
/// peak in turns. VMs of pools in their trough go first; a pool that needs its
/// VMs now keeps them until its peak is over or time gets short.

namespace sardinerill::site {

enum class WaveStage {
  Waiting,
  Preparing, ///< Takes no new tasks; what runs there is leaving.
  Ordered,   ///< Told to go down, and not seen up again since.
  Done,
};

struct WaveVm {
  VmId Id;
  PoolId Pool;
  WaveStage Stage = WaveStage::Waiting;
  bool Up = false;
  bool Standby = false;      ///< Runs nothing.
  int Runs = 0;              ///< Tasks that are still there.
  bool MayInterrupt = false; ///< Ending them breaks no availability budget.
  std::int64_t UsedCpuMilli = 0;
  Instant PreparingSince{};
};

struct WavePool {
  std::int64_t CpuMilli = 0;       ///< Of VMs that take tasks.
  std::int64_t DemandCpuMilli = 0; ///< Running and waiting.
  int VmsInService = 0;
  int VmsOutOfService = 0; ///< Preparing or down.
  /// VMs that the widest step of tasks that last is spread over.
  int SpreadVms = 0;
};

struct WaveView {
  std::vector<WaveVm> Vms;
  std::map<PoolId, WavePool> Pools;
  std::int64_t CpuMilliOfVm = 0; ///< Of a usual VM.
  int MaxAtOnce = 1;
  Instant Deadline{};
  Duration DownTime = seconds(2); ///< How long one VM is away.
};

struct WaveSteps {
  std::vector<VmId> Prepare;
  std::vector<VmId> TakeDown;
};

WaveSteps planWave(const WaveView &View, Instant Now);

} // namespace sardinerill::site
