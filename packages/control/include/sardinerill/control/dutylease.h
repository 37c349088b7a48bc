#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/platform/iplatform.h"

#include <optional>

/// \file
/// Lease on a duty that only one daemon performs at a time. The lease is a row
/// in the platform's table: the holder renews it by rewriting the row, and
/// another daemon may acquire it once the row has not changed for the lease
/// duration.

namespace sardinerill {

/// A duty's lease row as this daemon last read it.
struct DutyLease {
  DaemonId Holder;
  std::uint64_t FencingToken = 0; ///< Incremented at each change of holder.
  Revision Rev = 0;
  /// When this daemon first read the current revision, by its own clock.
  Instant FirstSeenAt{};
};

/// Next step of a daemon with respect to a lease.
enum class LeaseAction { Wait, Acquire, Renew };

/// Decides the next step for one lease. Pure function.
/// \param LeaseDuration time without a renewal after which the lease expires.
LeaseAction decideLeaseAction(const DutyLease &LastRead, const DaemonId &Self,
                              Instant Now, Duration LeaseDuration);

/// Reads the duty's lease row. Blocks.
Result<DutyLease> readDutyLease(ITable &Table, const std::string &Duty);

/// Acquires or renews the lease that was last read as \p LastRead. Writes
/// nothing if the row has changed since. Blocks.
/// \returns the lease as held by \p Self; VersionConflict if another daemon
/// wrote the row first.
Result<DutyLease> acquireOrRenewDutyLease(ITable &Table,
                                          const std::string &Duty,
                                          const DutyLease &LastRead,
                                          const DaemonId &Self);

/// Deletes the lease row at a planned stop, so that another daemon can acquire
/// the lease at once. Blocks.
Result<void> releaseDutyLease(ITable &Table, const std::string &Duty,
                              const DutyLease &Held);

/// \returns a condition that makes a transaction fail once the lease row has
/// changed.
RowCondition leaseCondition(const std::string &Duty, const DutyLease &Held);

} // namespace sardinerill
