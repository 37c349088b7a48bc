#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Data types of the platform's table service and VM list.

namespace sardinerill {

/// Identifies a row of the table service.
struct RowKey {
  std::string Table;
  std::string Key;
  friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// Revision number of a row, increased by each write; 0 if the row does not
/// exist.
using Revision = std::uint64_t;

/// A row as read from the table service.
struct Row {
  RowKey Key;
  Revision Rev = 0;
  std::string Value;
  /// Write ID of the transaction that last wrote the row.
  std::string WriteId;
  friend bool operator==(const Row &, const Row &) = default;
};

/// Condition of a transaction: the row must be at the expected revision.
struct RowCondition {
  RowKey Key;
  Revision Expected = 0;
};

/// Sets the value of a row, or deletes the row if there is no value.
struct RowWrite {
  RowKey Key;
  std::optional<std::string> Value;
};

/// Writes that are applied atomically, if all conditions hold.
struct Transaction {
  /// Unique to the transaction; stored with each row it writes. Reading it back
  /// shows whether the transaction was applied when its reply was lost.
  std::string WriteId;
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
};

/// Conflict: a condition did not hold, so nothing was written.
enum class CommitOutcome { Committed, Conflict };

enum class VmListState { Live, Leaving };

/// One entry of the platform's VM list, which lags behind the actual state.
struct VmListEntry {
  VmId Vm;
  VmListState State = VmListState::Live;
  /// Number of times the VM has booted.
  std::uint64_t BootCount = 0;
  friend bool operator==(const VmListEntry &, const VmListEntry &) = default;
};

} // namespace sardinerill
