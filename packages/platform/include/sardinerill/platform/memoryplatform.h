#pragma once

#include "sardinerill/platform/iplatform.h"

#include <map>
#include <mutex>

/// \file
/// The platform in memory: behind the stand-in's doors and in unit tests.

namespace sardinerill {

/// What the next calls are to suffer.
struct PlatformFaults {
  bool Down = false;
  /// Commits that take effect but whose reply is lost.
  int LoseReplies = 0;
};

/// A whole platform in memory. Safe from any thread.
class MemoryPlatform : public IPlatform {
public:
  Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) override;
  Result<std::vector<Row>> scan(const std::string &Table) override;
  Result<CommitOutcome> commit(const Transaction &Change) override;
  Result<void> putObject(const std::string &Name,
                         const std::string &Bytes) override;
  Result<std::string> getObject(const std::string &Name) override;
  Result<std::vector<VmListEntry>> listVms() override;
  Result<void> rebootVm(const VmId &Vm, std::uint64_t ExpectedBoots) override;

  void setFaults(const PlatformFaults &Faults);
  void setVms(std::vector<VmListEntry> Vms);
  /// \returns the VMs whose reboot was asked for, in order.
  std::vector<VmId> rebooted() const;
  /// \returns how many transactions took effect.
  std::uint64_t commits() const;

private:
  bool conditionsHold(const Transaction &Change) const;
  void apply(const Transaction &Change);

  mutable std::mutex Guard;
  std::map<RowKey, Row> Rows;
  std::map<std::string, std::string> Objects;
  std::vector<VmListEntry> Vms;
  std::vector<VmId> Rebooted;
  PlatformFaults Faults;
  Revision LastRevision = 0;
  std::uint64_t Commits = 0;
};

} // namespace sardinerill
