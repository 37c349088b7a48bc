#include "sardinerill/fleet/availability.h"

namespace sardinerill {

namespace {

template <typename Id>
unsigned countOf(const std::map<Id, unsigned> &Counts, const Id &Key) {
  auto Found = Counts.find(Key);
  return Found == Counts.end() ? 0 : Found->second;
}

tl::unexpected<Error> exhausted(const std::string &What, unsigned Down,
                                unsigned Budget) {
  return makeError(ErrorKind::BudgetExhausted,
                   What + " has " + std::to_string(Down) + " VMs down of " +
                       std::to_string(Budget) + " allowed");
}

} // namespace

DownSet::DownSet(const Fleet &Current, const std::set<VmId> &NotKnownUp) {
  for (const auto &[Id, Vm] : Current.Vms)
    if (Vm.State != VmState::Serving || NotKnownUp.contains(Id))
      this->add(Current, Id);
}

void DownSet::add(const Fleet &Current, const VmId &Id) {
  auto Found = Current.Vms.find(Id);
  if (Found == Current.Vms.end() || !this->Down.insert(Id).second)
    return;
  const Vm &Vm = Found->second;
  ++this->Counted.Pools[Vm.Pool];
  ++this->Counted.Zones[Vm.Zone];
  ++this->Counted.Racks[Vm.Rack];
}

void DownSet::remove(const Fleet &Current, const VmId &Id) {
  auto Found = Current.Vms.find(Id);
  if (Found == Current.Vms.end() || this->Down.erase(Id) == 0)
    return;
  const Vm &Vm = Found->second;
  --this->Counted.Pools[Vm.Pool];
  --this->Counted.Zones[Vm.Zone];
  --this->Counted.Racks[Vm.Rack];
}

Result<void> DownSet::mayDisrupt(const Fleet &Current, const VmId &Id) const {
  auto Found = Current.Vms.find(Id);
  if (Found == Current.Vms.end())
    return makeError(ErrorKind::NotFound, "no VM is named " + Id.str());
  const Vm &Vm = Found->second;
  const unsigned Own = this->contains(Id) ? 0 : 1;
  const unsigned InPool = countOf(this->Counted.Pools, Vm.Pool) + Own;
  const unsigned InZone = countOf(this->Counted.Zones, Vm.Zone) + Own;
  const unsigned InRack = countOf(this->Counted.Racks, Vm.Rack) + Own;
  const unsigned PoolBudget = Current.Pools.at(Vm.Pool).MaxUnavailable;
  const unsigned ZoneBudget = Current.Zones.at(Vm.Zone).MaxUnavailable;
  if (InPool > PoolBudget)
    return exhausted("pool " + Vm.Pool.str(), InPool - Own, PoolBudget);
  if (InZone > ZoneBudget)
    return exhausted("zone " + Vm.Zone.str(), InZone - Own, ZoneBudget);
  if (InRack > Current.RackMaxUnavailable)
    return exhausted("rack " + Vm.Rack.str(), InRack - Own,
                     Current.RackMaxUnavailable);
  return {};
}

} // namespace sardinerill
