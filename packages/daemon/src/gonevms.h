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
class GoneVms {
public:
  /// Takes in one list.
  /// \returns daemons of \p Known whose VM has just been found gone.
  std::vector<DaemonId> update(const std::vector<VmListEntry> &Vms,
                               const std::vector<DaemonId> &Known, Instant Now);

  /// \returns daemons that have been gone for \p Settle, each once.
  std::vector<DaemonId> takeSettled(Instant Now, Duration Settle);
  /// \returns whether \p Id was found gone at any time.
  bool isGone(const DaemonId &Id) const { return this->Ever.contains(Id); }
  /// What was returned could not be dealt with; it is returned again.
  void retry(const DaemonId &Id, Instant Now);

private:
  static constexpr unsigned ListsToBeGone = 2;

  std::set<VmId> Listed;
  std::map<DaemonId, unsigned> Missing;
  std::map<DaemonId, Instant> GoneSince;
  std::map<DaemonId, Instant> Again;
  std::set<DaemonId> Ever;
};

} // namespace sardinerill
