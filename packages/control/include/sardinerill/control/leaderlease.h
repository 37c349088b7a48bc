#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/platform/iplatform.h"

#include <optional>

/// \file
/// Leader lease: elects the daemon that performs a duty. The lease is a row in
/// the platform's table: the holder renews it by rewriting the row, and another
/// daemon may acquire it once the row has not changed for the lease duration.
/// Commits of a suspended former holder are rejected by leaseCondition().

namespace sardinerill {

/// State of a duty's lease row at one revision.
struct LeaderLease {
  DaemonId Holder;
  std::uint64_t FencingToken = 0; ///< Incremented at each change of holder.
  Revision Rev = 0;
  /// When this daemon first read this revision, by its own clock. Set by the
  /// caller of readLeaderLease, which leaves it zero.
  Instant FirstSeenAt{};
};

/// What a daemon does next about a lease.
enum class LeaseAction {
  Wait,    ///< Another daemon holds the lease.
  Acquire, ///< There is no lease row, or the lease has expired.
  Renew    ///< The daemon holds the lease itself.
};

/// Decides the next step for one lease. Pure function.
/// \param LeaseDuration time without a renewal after which the lease expires.
LeaseAction decideLeaseAction(const LeaderLease &LastRead, const DaemonId &Self,
                              Instant Now, Duration LeaseDuration);

/// Reads the duty's lease row. Blocks.
/// \returns a lease without holder if the row is missing or malformed.
Result<LeaderLease> readLeaderLease(ITable &Table, const std::string &Duty);

/// Acquires or renews the lease that was last read as \p LastRead. Writes
/// nothing if the row has changed since. Blocks.
/// \returns the lease as held by \p Self; VersionConflict if another daemon
/// wrote the row first.
Result<LeaderLease> acquireOrRenewLeaderLease(ITable &Table,
                                              const std::string &Duty,
                                              const LeaderLease &LastRead,
                                              const DaemonId &Self);

/// Deletes the lease row at a planned stop, so that another daemon can acquire
/// the lease at once. Does nothing if the row has changed since \p Held was
/// read. Blocks.
Result<void> releaseLeaderLease(ITable &Table, const std::string &Duty,
                                const LeaderLease &Held);

/// \returns a condition that makes a transaction fail once the lease row has
/// changed.
RowCondition leaseCondition(const std::string &Duty, const LeaderLease &Held);

} // namespace sardinerill
