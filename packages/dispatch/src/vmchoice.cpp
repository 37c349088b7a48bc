#include "sardinerill/dispatch/vmchoice.h"

#include <algorithm>

namespace sardinerill {

namespace {

bool isBetter(const VmCandidate &A, const VmCandidate &B) {
  const unsigned FailsA = A.Health->failuresInRow();
  const unsigned FailsB = B.Health->failuresInRow();
  if (FailsA != FailsB)
    return FailsA < FailsB;
  if (A.SameZone != B.SameZone)
    return A.SameZone;
  if (A.Running != B.Running)
    return A.Running < B.Running;
  return A.FreeSlots > B.FreeSlots;
}

bool failureIsCorrelated(const std::vector<VmCandidate> &Pool, Instant Now) {
  const auto Ejected =
      std::count_if(Pool.begin(), Pool.end(), [&](const VmCandidate &Vm) {
        return !Vm.Health->mayTry(Now);
      });
  return static_cast<std::size_t>(Ejected) * 2 > Pool.size();
}

bool contains(const std::vector<VmId> &Vms, const VmId &Vm) {
  return std::find(Vms.begin(), Vms.end(), Vm) != Vms.end();
}

} // namespace

std::optional<VmId> chooseVm(const std::vector<VmCandidate> &Pool,
                             const std::vector<VmId> &Avoid, Instant Now,
                             std::mt19937_64 &Random) {
  const bool TryAll = failureIsCorrelated(Pool, Now);
  std::vector<const VmCandidate *> Fit;
  for (const VmCandidate &Vm : Pool) {
    const bool Usable = TryAll || Vm.Health->mayTry(Now);
    if (Vm.FreeSlots > 0 && Usable && !contains(Avoid, Vm.Id))
      Fit.push_back(&Vm);
  }
  if (Fit.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Fit.size() - 1);
  const VmCandidate *First = Fit[Draw(Random)];
  const VmCandidate *Second = Fit[Draw(Random)];
  return isBetter(*First, *Second) ? First->Id : Second->Id;
}

} // namespace sardinerill
