#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/dispatch/vmhealth.h"

#include <optional>
#include <random>
#include <vector>

/// \file
/// Selects the upstream VM of a pool that runs the next request.

namespace sardinerill {

/// Properties of a VM that the selection depends on.
struct VmCandidate {
  VmId Id;
  /// Slots of the VM on which this daemon could start a request now.
  unsigned FreeSlots = 0;
  unsigned Running = 0;
  bool SameZone = false;
  const VmHealth *Health = nullptr;
};

/// Selects the better of two VMs drawn at random: the one with fewer
/// consecutive failures, then one in the same zone, then the one running fewer
/// requests of this daemon, then the one with more free slots.
/// \param Excluded VMs on which the request was already attempted.
/// \returns std::nullopt if no eligible VM has a free slot. If more than half
/// of the pool is ejected, the failure is regarded as correlated and ejection
/// is ignored.
std::optional<VmId> selectVm(const std::vector<VmCandidate> &Pool,
                             const std::vector<VmId> &Excluded, Instant Now,
                             std::mt19937_64 &Random);

} // namespace sardinerill
