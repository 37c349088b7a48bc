#pragma once

#include "sardinerill/platform/platformtypes.h"

/// \file
/// Interfaces of the platform's services. All calls block. After a
/// PlatformUnavailable error from commit() it is unknown whether the writes
/// were applied.

namespace sardinerill {

/// The transactional table service.
class ITable {
public:
  virtual ~ITable() = default;
  /// \returns the rows in the order of \p Keys; a missing row has revision 0.
  virtual Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) = 0;
  /// \returns all rows of \p Table, ordered by key.
  virtual Result<std::vector<Row>> scan(const std::string &Table) = 0;
  /// Applies all writes atomically if all conditions hold.
  /// \returns Conflict, without any write applied, if one does not.
  virtual Result<CommitOutcome> commit(const Transaction &Txn) = 0;
};

/// The object store.
class IObjectStore {
public:
  virtual ~IObjectStore() = default;
  virtual Result<void> putObject(const std::string &Name,
                                 const std::string &Bytes) = 0;
  virtual Result<std::string> getObject(const std::string &Name) = 0;
};

/// Lists and reboots VMs.
class IVmControl {
public:
  virtual ~IVmControl() = default;
  virtual Result<std::vector<VmListEntry>> listVms() = 0;
  /// Requests a reboot of a drained VM. The platform ignores the request unless
  /// the VM has booted exactly \p ExpectedBootCount times, so that a delayed or
  /// duplicate request can't reboot a VM that is back in service.
  virtual Result<void> rebootVm(const VmId &Vm,
                                std::uint64_t ExpectedBootCount) = 0;
};

/// All services of the platform.
class IPlatform : public ITable, public IObjectStore, public IVmControl {};

/// Commits \p Txn. If the reply is lost, determines the outcome by reading
/// back the write ID of the first row that \p Txn sets. If it only deletes, it
/// counts as committed once its rows are gone, whoever deleted them. A conflict
/// is verified in the same way, since the transport may have sent the
/// transaction twice: the second copy then conflicts with the first. \returns
/// PlatformUnavailable only if the outcome could not be determined.
Result<CommitOutcome> commitAndVerify(ITable &Table, const Transaction &Txn);

/// \returns a new random write ID, unique among all transactions.
std::string makeWriteId();

} // namespace sardinerill
