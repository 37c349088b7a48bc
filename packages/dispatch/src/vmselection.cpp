#include "sardinerill/dispatch/vmselection.h"

#include <algorithm>

namespace sardinerill {

namespace {

bool isBetter(const VmCandidate &A, const VmCandidate &B) {
  const unsigned FailuresA = A.Health->consecutiveFailures();
  const unsigned FailuresB = B.Health->consecutiveFailures();
  if (FailuresA != FailuresB)
    return FailuresA < FailuresB;
  if (A.SameZone != B.SameZone)
    return A.SameZone;
  if (A.Running != B.Running)
    return A.Running < B.Running;
  return A.FreeSlots > B.FreeSlots;
}

bool isMajorityEjected(const std::vector<VmCandidate> &Pool, Instant Now) {
  const auto Ejected =
      std::count_if(Pool.begin(), Pool.end(), [&](const VmCandidate &Vm) {
        return !Vm.Health->isAvailable(Now);
      });
  return static_cast<std::size_t>(Ejected) * 2 > Pool.size();
}

bool contains(const std::vector<VmId> &Vms, const VmId &Vm) {
  return std::find(Vms.begin(), Vms.end(), Vm) != Vms.end();
}

} // namespace

std::optional<VmId> selectVm(const std::vector<VmCandidate> &Pool,
                             const std::vector<VmId> &Excluded, Instant Now,
                             std::mt19937_64 &Random) {
  const bool IgnoreEjection = isMajorityEjected(Pool, Now);
  std::vector<const VmCandidate *> Eligible;
  for (const VmCandidate &Vm : Pool) {
    const bool Usable = IgnoreEjection || Vm.Health->isAvailable(Now);
    if (Vm.FreeSlots > 0 && Usable && !contains(Excluded, Vm.Id))
      Eligible.push_back(&Vm);
  }
  if (Eligible.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> RandomIndex(0,
                                                         Eligible.size() - 1);
  const VmCandidate *First = Eligible[RandomIndex(Random)];
  const VmCandidate *Second = Eligible[RandomIndex(Random)];
  return isBetter(*First, *Second) ? First->Id : Second->Id;
}

} // namespace sardinerill
