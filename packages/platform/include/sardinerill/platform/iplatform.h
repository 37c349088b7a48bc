#pragma once

#include "sardinerill/platform/platformtypes.h"

/// \file
/// What the product needs of the platform. Calls block; an error of kind
/// PlatformUnavailable from commit() leaves open whether the writes happened.

namespace sardinerill {

/// The transactional table service.
class ITable {
public:
  virtual ~ITable() = default;
  /// \returns the rows in the order of \p Keys; absent ones have revision 0.
  virtual Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) = 0;
  /// \returns every row of \p Table, by key.
  virtual Result<std::vector<Row>> scan(const std::string &Table) = 0;
  /// Applies all writes if all conditions hold.
  virtual Result<CommitOutcome> commit(const Transaction &Change) = 0;
};

/// The object store.
class IObjectStore {
public:
  virtual ~IObjectStore() = default;
  virtual Result<void> putObject(const std::string &Name,
                                 const std::string &Bytes) = 0;
  virtual Result<std::string> getObject(const std::string &Name) = 0;
};

/// The VM list and the reboot of VMs.
class IVmControl {
public:
  virtual ~IVmControl() = default;
  virtual Result<std::vector<VmListEntry>> listVms() = 0;
  /// Asks for a reboot of a drained VM. It happens only if the VM has booted
  /// \p ExpectedBoots times, so that a call that comes late or twice does no
  /// harm to a VM that is back in service.
  virtual Result<void> rebootVm(const VmId &Vm,
                                std::uint64_t ExpectedBoots) = 0;
};

/// The whole platform.
class IPlatform : public ITable, public IObjectStore, public IVmControl {};

/// Commits and settles a lost reply by reading back the write id of the first
/// row written. A conflict is checked in the same way, for a transport may
/// have sent the transaction twice.
/// \returns PlatformUnavailable only if the outcome could not be told.
Result<CommitOutcome> commitSettled(ITable &Table, const Transaction &Change);

/// \returns a write id that no other transaction has.
std::string makeWriteId();

} // namespace sardinerill
