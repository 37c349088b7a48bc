#pragma once

#include "sardinerill/platform/iplatform.h"

#include <map>
#include <mutex>

/// \file
/// In-memory implementation of IPlatform, used by the platform stand-in server
/// and by unit tests.

namespace sardinerill {

/// Faults to inject into the following calls.
struct InjectedFaults {
  /// All calls fail with PlatformUnavailable.
  bool Unavailable = false;
  /// Number of following commits that are applied but whose reply is lost.
  int RepliesToDrop = 0;
};

/// Holds all tables, objects and VMs in memory. Thread-safe.
class InMemoryPlatform : public IPlatform {
public:
  Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) override;
  Result<std::vector<Row>> scan(const std::string &Table) override;
  Result<CommitOutcome> commit(const Transaction &Txn) override;
  Result<void> putObject(const std::string &Name,
                         const std::string &Bytes) override;
  Result<std::string> getObject(const std::string &Name) override;
  Result<std::vector<VmListEntry>> listVms() override;
  Result<void> rebootVm(const VmId &Vm,
                        std::uint64_t ExpectedBootCount) override;

  void setFaults(const InjectedFaults &Faults);
  void setVms(std::vector<VmListEntry> Vms);
  /// \returns the VMs that were rebooted, in order of their reboots.
  std::vector<VmId> rebootedVms() const;
  /// \returns the number of transactions that were applied.
  std::uint64_t commitCount() const;

private:
  bool conditionsHold(const Transaction &Txn) const;
  void applyWrites(const Transaction &Txn);

  mutable std::mutex Mutex;
  std::map<RowKey, Row> Rows;
  std::map<std::string, std::string> Objects;
  std::vector<VmListEntry> Vms;
  std::vector<VmId> RebootedVms;
  InjectedFaults Faults;
  Revision LastRevision = 0;
  std::uint64_t CommitCount = 0;
};

} // namespace sardinerill
