#pragma once

#include "sardinerill/fleet/fleettypes.h"

#include <set>

/// \file
/// Availability budgets of pools, zones and racks.

namespace sardinerill {

/// VMs that give no service, for any reason: planned, failed, suspected, or
/// not known to be up.
class DownSet {
public:
  /// \param NotKnownUp VMs that the platform's list does not show as live, or
  /// that fail what they are given.
  DownSet(const Fleet &Current, const std::set<VmId> &NotKnownUp);

  bool contains(const VmId &Vm) const { return this->Down.contains(Vm); }
  /// Counts \p Vm as down from now on.
  void add(const Fleet &Current, const VmId &Vm);

  /// \p Vm gives service again.
  void remove(const Fleet &Current, const VmId &Vm);

  /// \returns BudgetExhausted, naming the budget, if taking \p Vm out of
  /// service would pass one. A VM that is down already is not counted twice.
  Result<void> mayDisrupt(const Fleet &Current, const VmId &Vm) const;

private:
  struct Counts {
    std::map<PoolId, unsigned> Pools;
    std::map<ZoneId, unsigned> Zones;
    std::map<RackId, unsigned> Racks;
  };

  std::set<VmId> Down;
  Counts Counted;
};

} // namespace sardinerill
