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

/// Draws two eligible VMs at random, which can be the same one, and selects the
/// better of them: the one with fewer consecutive failures, then one in the
/// same zone, then the one running fewer requests of this daemon, then the one
/// with more free slots.
/// \param Excluded VMs on which the request was already attempted.
/// \returns std::nullopt if no VM is eligible, which requires a free slot and
/// that the VM is not ejected. If more than half of the pool is ejected, a
/// common cause is assumed and ejected VMs are eligible too.
std::optional<VmId> selectVm(const std::vector<VmCandidate> &Pool,
                             const std::vector<VmId> &Excluded, Instant Now,
                             std::mt19937_64 &Random);

} // namespace sardinerill
