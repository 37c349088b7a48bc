#pragma once

#include "sardinerill/escrow/grantrow.h"
#include "sardinerill/platform/iplatform.h"

#include <functional>
#include <optional>

/// \file
/// Read-modify-write operations on a resource's row in the table.

namespace sardinerill {

/// A change to be applied to a row.
struct GrantOperation {
  ResourceId Resource;
  DaemonId Holder;
  unsigned Limit = 0;
  std::uint64_t LimitVersion = 0;
  unsigned RaiseBy = 0;
  std::optional<unsigned> LowerTo;
  /// Predecessor whose grant is taken over; empty for none.
  DaemonId InheritFrom;
  /// Writes even if nothing changes. The new revision makes an earlier write
  /// whose outcome is unknown fail if it arrives late.
  bool ForceWrite = false;
};

/// Result of a GrantOperation.
struct GrantOutcome {
  /// Whether the row's content is known after the operation.
  bool Known = false;
  GrantRow Row;
  /// The row has this revision or a later one.
  Revision MinRevision = 0;
  unsigned Conflicts = 0;
};

/// Reads the row, applies \p Operation and commits; retries on conflict.
/// Blocks.
GrantOutcome runGrantOperation(ITable &Table, const GrantOperation &Operation);

/// \returns the row's key in the table.
RowKey grantRowKey(const ResourceId &Resource);

/// Units of a resource that are still granted to an earlier daemon process.
struct ResourceGrant {
  ResourceId Resource;
  DaemonId Holder;
  unsigned Units = 0;
};

/// Scans all rows for grants whose holder satisfies \p Matches. Blocks.
Result<std::vector<ResourceGrant>>
scanGrants(ITable &Table, const std::function<bool(const DaemonId &)> &Matches);

/// Removes the grants of \p Holder from every row. Blocks.
/// \returns the number of units that were freed.
Result<unsigned> reclaimGrants(ITable &Table, const DaemonId &Holder);

} // namespace sardinerill
