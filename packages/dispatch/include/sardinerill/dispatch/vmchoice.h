#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/dispatch/vmhealth.h"

#include <optional>
#include <random>
#include <vector>

/// \file
/// Which upstream VM of a pool is given the next piece of work.

namespace sardinerill {

/// One VM as the choice sees it.
struct VmCandidate {
  VmId Id;
  /// Units of the VM's slots that this daemon could start on now.
  unsigned FreeSlots = 0;
  unsigned Running = 0;
  bool SameZone = false;
  const VmHealth *Health = nullptr;
};

/// Chooses the better of two VMs drawn at random: not failing before failing,
/// same zone before others, then the one running less here.
/// \param Avoid VMs that this work was already tried on.
/// \returns nothing if no VM has a free slot. When more than half of the pool
/// is ejected the failure is correlated and ejection is not honoured.
std::optional<VmId> chooseVm(const std::vector<VmCandidate> &Pool,
                             const std::vector<VmId> &Excluded, Instant Now,
                             std::mt19937_64 &Random);

} // namespace sardinerill
