#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Plain types of the platform's table service, object store and VM list.

namespace sardinerill {

/// Name of one row of the table service.
struct RowKey {
  std::string Table;
  std::string Key;
  friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// Number that grows with each write of a row; 0 means the row is absent.
using Revision = std::uint64_t;

/// One row as it was read.
struct Row {
  RowKey Key;
  Revision Rev = 0;
  std::string Value;
  /// Identifier of the transaction that wrote the row last.
  std::string WriteId;
  friend bool operator==(const Row &, const Row &) = default;
};

/// Holds a transaction back unless the row is at this revision.
struct Condition {
  RowKey Key;
  Revision Expected = 0;
};

/// New value of a row; no value deletes it.
struct RowWrite {
  RowKey Key;
  std::optional<std::string> Value;
};

/// Writes that take effect together, or not at all.
struct Transaction {
  /// Unique to the attempt; settles what a lost reply leaves open.
  std::string WriteId;
  std::vector<Condition> Conditions;
  std::vector<RowWrite> Writes;
};

enum class CommitOutcome { Committed, Conflict };

enum class VmListState { Live, Leaving };

/// One entry of the platform's lagging list of VMs.
struct VmListEntry {
  VmId Vm;
  VmListState State = VmListState::Live;
  /// How often the VM has booted.
  std::uint64_t Boots = 0;
  friend bool operator==(const VmListEntry &, const VmListEntry &) = default;
};

} // namespace sardinerill
