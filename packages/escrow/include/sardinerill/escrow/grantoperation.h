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
  /// Daemon whose grant is changed.
  DaemonId Holder;
  unsigned Limit = 0;
  std::uint64_t LimitVersion = 0;
  unsigned RaiseBy = 0;
  std::optional<unsigned> LowerTo;
  /// Predecessor whose grant is inherited; empty for none.
  DaemonId InheritFrom;
  /// Writes even if nothing changes. The new revision makes an earlier write
  /// whose outcome is unknown fail if it arrives late.
  bool ForceWrite = false;
};

/// Result of a GrantOperation.
struct GrantOutcome {
  /// Whether the row's content is known after the operation. False if a read or
  /// write failed or if every attempt conflicted.
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

/// One daemon's grant of a resource, as found by scanGrants().
struct ResourceGrant {
  ResourceId Resource;
  DaemonId Holder;
  unsigned Units = 0;
};

/// Scans all rows for grants whose holder satisfies \p Matches. Blocks.
Result<std::vector<ResourceGrant>>
scanGrants(ITable &Table, const std::function<bool(const DaemonId &)> &Matches);

/// Removes the grants of \p Holder, none of whose tasks can still be running,
/// from every row. Blocks.
/// \returns the number of units that were freed, or VersionConflict if a row
/// was changed at the same time; the caller must then try again.
Result<unsigned> reclaimGrants(ITable &Table, const DaemonId &Holder);

} // namespace sardinerill
