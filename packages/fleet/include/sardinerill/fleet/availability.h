#pragma once

#include "sardinerill/fleet/fleettypes.h"

#include <set>

/// \file
/// Availability budgets: how many VMs of a pool, zone or rack may be out of
/// service at the same time.

namespace sardinerill {

/// VMs that are out of service: in planned maintenance, not listed as live, or
/// ejected.
class UnavailableVms {
public:
  /// \param Unconfirmed result of unconfirmedVms(): VMs that the platform's
  /// list does not show as live, or that are ejected.
  UnavailableVms(const Fleet &Current, const std::set<VmId> &Unconfirmed);

  bool contains(const VmId &Id) const { return this->Down.contains(Id); }
  /// Marks \p Id as out of service.
  void add(const Fleet &Current, const VmId &Id);

  /// Marks \p Id as back in service.
  void remove(const Fleet &Current, const VmId &Id);

  /// Checks whether \p Id may be taken out of service.
  /// \returns NotFound if there is no such VM; BudgetExhausted, naming the
  /// budget, if a budget would be or already is exceeded. A VM that is already
  /// out of service is not counted twice.
  Result<void> checkDisruption(const Fleet &Current, const VmId &Id) const;

private:
  struct Counts {
    std::map<PoolId, unsigned> Pools;
    std::map<ZoneId, unsigned> Zones;
    std::map<RackId, unsigned> Racks;
  };

  std::set<VmId> Down;
  Counts DownCounts;
};

} // namespace sardinerill
