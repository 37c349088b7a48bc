#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/membership/membershiptypes.h"
#include "sardinerill/platform/platformtypes.h"

#include <map>
#include <set>
#include <vector>

/// \file
/// Which daemons' VMs the platform has taken away.

namespace sardinerill {

/// The platform's list lags, so a VM counts as gone once it was listed and is
/// then missing from two lists in a row.
class RemovedVmTracker {
public:
  /// Takes in one list.
  /// \returns daemons of \p Known whose VM has just been found gone.
  std::vector<DaemonId> update(const std::vector<VmListEntry> &Vms,
                               const std::vector<DaemonId> &Known, Instant Now);

  /// \returns daemons that have been gone for \p Settle, each once.
  std::vector<DaemonId> popSettled(Instant Now, Duration Settle);
  /// \returns whether \p Id was found gone at any time.
  bool isRemoved(const DaemonId &Id) const {
    return this->EverRemoved.contains(Id);
  }
  /// What was returned could not be dealt with; it is returned again.
  void requeue(const DaemonId &Id, Instant Now);

private:
  static constexpr unsigned RequiredMissingLists = 2;

  std::set<VmId> EverListed;
  std::map<DaemonId, unsigned> MissedLists;
  std::map<DaemonId, Instant> RemovedAt;
  std::map<DaemonId, Instant> Requeued;
  std::set<DaemonId> EverRemoved;
};

} // namespace sardinerill
