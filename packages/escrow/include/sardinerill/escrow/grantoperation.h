#pragma once

#include "sardinerill/escrow/grantrow.h"
#include "sardinerill/platform/iplatform.h"

#include <functional>
#include <optional>

/// \file
/// One change of a resource's row in the table.

namespace sardinerill {

/// What a daemon wants changed in a row.
struct GrantOperation {
  ResourceId Resource;
  DaemonId Self;
  unsigned Limit = 0;
  std::uint64_t LimitVersion = 0;
  unsigned RaiseBy = 0;
  std::optional<unsigned> LowerTo;
  /// Predecessor whose part is taken over.
  DaemonId InheritFrom;
  /// Writes even if nothing changes, so that an earlier write whose outcome is
  /// unknown can't land any more.
  bool ForceWrite = false;
};

/// What came of it.
struct GrantOutcome {
  /// False if the row's content is not known now.
  bool Certain = false;
  GrantRow Row;
  /// The row is at this revision or a later one.
  Revision AtLeast = 0;
  unsigned Conflicts = 0;
};

/// Reads the row, applies \p Wanted and commits; tries again on conflict.
/// Blocks.
GrantOutcome runGrantOperation(ITable &Table, const GrantOperation &Wanted);

/// \returns the row's key in the table.
RowKey grantRowKey(const ResourceId &Resource);

/// A resource in which a predecessor on the same VM left units.
struct LeftBehind {
  ResourceId Resource;
  DaemonId Holder;
  unsigned Units = 0;
};

/// Finds the units of every holder that \p Matches. Blocks.
Result<std::vector<LeftBehind>>
findHoldings(ITable &Table,
             const std::function<bool(const DaemonId &)> &Matches);

/// Drops the part of \p Gone from every row. Blocks.
Result<unsigned> reclaimAll(ITable &Table, const DaemonId &Gone);

} // namespace sardinerill
