#include "sardinerill/fleet/availability.h"

namespace sardinerill {

namespace {

template <typename Id>
unsigned countOf(const std::map<Id, unsigned> &Counts, const Id &Key) {
  auto Found = Counts.find(Key);
  return Found == Counts.end() ? 0 : Found->second;
}

tl::unexpected<Error> budgetExhausted(const std::string &Scope, unsigned Down,
                                      unsigned Budget) {
  return makeError(ErrorKind::BudgetExhausted,
                   Scope + " has " + std::to_string(Down) +
                       " VMs out of service; at most " +
                       std::to_string(Budget) + " are allowed");
}

} // namespace

UnavailableVms::UnavailableVms(const Fleet &Current,
                               const std::set<VmId> &Unconfirmed) {
  for (const auto &[Id, Vm] : Current.Vms)
    if (Vm.State != VmState::Serving || Unconfirmed.contains(Id))
      this->add(Current, Id);
}

void UnavailableVms::add(const Fleet &Current, const VmId &Id) {
  auto Found = Current.Vms.find(Id);
  if (Found == Current.Vms.end() || !this->Down.insert(Id).second)
    return;
  const Vm &Vm = Found->second;
  ++this->DownCounts.Pools[Vm.Pool];
  ++this->DownCounts.Zones[Vm.Zone];
  ++this->DownCounts.Racks[Vm.Rack];
}

void UnavailableVms::remove(const Fleet &Current, const VmId &Id) {
  auto Found = Current.Vms.find(Id);
  if (Found == Current.Vms.end() || this->Down.erase(Id) == 0)
    return;
  const Vm &Vm = Found->second;
  --this->DownCounts.Pools[Vm.Pool];
  --this->DownCounts.Zones[Vm.Zone];
  --this->DownCounts.Racks[Vm.Rack];
}

Result<void> UnavailableVms::checkDisruption(const Fleet &Current,
                                             const VmId &Id) const {
  auto Found = Current.Vms.find(Id);
  if (Found == Current.Vms.end())
    return makeError(ErrorKind::NotFound, "no such VM: " + Id.str());
  const Vm &Vm = Found->second;
  const unsigned Additional = this->contains(Id) ? 0 : 1;
  const unsigned InPool = countOf(this->DownCounts.Pools, Vm.Pool) + Additional;
  const unsigned InZone = countOf(this->DownCounts.Zones, Vm.Zone) + Additional;
  const unsigned InRack = countOf(this->DownCounts.Racks, Vm.Rack) + Additional;
  const unsigned PoolBudget = Current.Pools.at(Vm.Pool).MaxUnavailable;
  const unsigned ZoneBudget = Current.Zones.at(Vm.Zone).MaxUnavailable;
  if (InPool > PoolBudget)
    return budgetExhausted("pool " + Vm.Pool.str(), InPool - Additional,
                           PoolBudget);
  if (InZone > ZoneBudget)
    return budgetExhausted("zone " + Vm.Zone.str(), InZone - Additional,
                           ZoneBudget);
  if (InRack > Current.RackMaxUnavailable)
    return budgetExhausted("rack " + Vm.Rack.str(), InRack - Additional,
                           Current.RackMaxUnavailable);
  return {};
}

} // namespace sardinerill
