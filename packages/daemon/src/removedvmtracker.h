#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/membership/membershiptypes.h"
#include "sardinerill/platform/platformtypes.h"

#include <map>
#include <set>
#include <vector>

/// \file
/// Detection of daemons whose VM was removed by the platform.

namespace sardinerill {

/// Tracks which daemons' VMs were removed. The platform's VM list can lag, so a
/// VM counts as removed only if it was listed before and is then missing from
/// two consecutive lists.
class RemovedVmTracker {
public:
  /// Applies a new VM list.
  /// \returns the daemons in \p Daemons whose VM was found to be removed by
  /// this list; a daemon whose removal was found earlier, if it is still in
  /// \p Daemons after takeReclaimable() returned it.
  std::vector<DaemonId> update(const std::vector<VmListEntry> &Vms,
                               const std::vector<DaemonId> &Daemons,
                               Instant Now);

  /// \returns the daemons whose VM was found to be removed at least
  /// \p ReclaimDelay ago, and those passed to requeue(). Without requeue(), a
  /// daemon is returned once. \param ReclaimDelay time until units that a
  /// daemon held can no longer be in use.
  std::vector<DaemonId> takeReclaimable(Instant Now, Duration ReclaimDelay);
  /// \returns whether the VM of \p Id was ever found to be removed.
  bool isRemoved(const DaemonId &Id) const {
    return this->EverRemoved.contains(Id);
  }
  /// Makes the next takeReclaimable() return \p Id again without a delay, after
  /// processing it has failed.
  void requeue(const DaemonId &Id, Instant Now);

private:
  static constexpr unsigned ListsUntilRemoved = 2;

  std::set<VmId> EverListed;
  std::map<DaemonId, unsigned> ConsecutiveAbsences;
  std::map<DaemonId, Instant> RemovedAt;
  std::map<DaemonId, Instant> Requeued;
  std::set<DaemonId> EverRemoved;
};

} // namespace sardinerill
