#include "sardinerill/platform/memoryplatform.h"

namespace sardinerill {

namespace {

tl::unexpected<Error> unavailable() {
  return makeError(ErrorKind::PlatformUnavailable,
                   "injected fault: the platform is unavailable");
}

} // namespace

Result<std::vector<Row>> MemoryPlatform::read(const std::vector<RowKey> &Keys) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  std::vector<Row> Found;
  for (const RowKey &Key : Keys) {
    auto Entry = this->Rows.find(Key);
    Found.push_back(Entry == this->Rows.end() ? Row{Key, 0, "", ""}
                                              : Entry->second);
  }
  return Found;
}

Result<std::vector<Row>> MemoryPlatform::scan(const std::string &Table) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  std::vector<Row> Found;
  for (auto Entry = this->Rows.lower_bound(RowKey{Table, ""});
       Entry != this->Rows.end() && Entry->first.Table == Table; ++Entry)
    Found.push_back(Entry->second);
  return Found;
}

bool MemoryPlatform::conditionsHold(const Transaction &Txn) const {
  for (const Condition &Required : Txn.Conditions) {
    auto Entry = this->Rows.find(Required.Key);
    const Revision Actual = Entry == this->Rows.end() ? 0 : Entry->second.Rev;
    if (Actual != Required.Expected)
      return false;
  }
  return true;
}

void MemoryPlatform::applyWrites(const Transaction &Txn) {
  ++this->CommitCount;
  ++this->LastRevision;
  for (const RowWrite &Write : Txn.Writes) {
    if (!Write.Value) {
      this->Rows.erase(Write.Key);
      continue;
    }
    this->Rows[Write.Key] =
        Row{Write.Key, this->LastRevision, *Write.Value, Txn.WriteId};
  }
}

Result<CommitOutcome> MemoryPlatform::commit(const Transaction &Txn) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  if (!this->conditionsHold(Txn))
    return CommitOutcome::Conflict;
  this->applyWrites(Txn);
  if (this->Faults.LoseReplies > 0) {
    --this->Faults.LoseReplies;
    return makeError(ErrorKind::PlatformUnavailable,
                     "injected fault: the reply to a commit was lost");
  }
  return CommitOutcome::Committed;
}

Result<void> MemoryPlatform::putObject(const std::string &Name,
                                       const std::string &Bytes) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  this->Objects[Name] = Bytes;
  return {};
}

Result<std::string> MemoryPlatform::getObject(const std::string &Name) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  auto Entry = this->Objects.find(Name);
  if (Entry == this->Objects.end())
    return makeError(ErrorKind::NotFound, "object not found: " + Name);
  return Entry->second;
}

Result<std::vector<VmListEntry>> MemoryPlatform::listVms() {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  return this->Vms;
}

Result<void> MemoryPlatform::rebootVm(const VmId &Vm,
                                      std::uint64_t ExpectedBootCount) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Down)
    return unavailable();
  for (VmListEntry &Entry : this->Vms) {
    if (Entry.Vm != Vm || Entry.Boots != ExpectedBootCount)
      continue;
    ++Entry.Boots;
    this->RebootedVms.push_back(Vm);
  }
  return {};
}

void MemoryPlatform::setFaults(const InjectedFaults &NewFaults) {
  std::scoped_lock Lock(this->Mutex);
  this->Faults = NewFaults;
}

void MemoryPlatform::setVms(std::vector<VmListEntry> NewVms) {
  std::scoped_lock Lock(this->Mutex);
  this->Vms = std::move(NewVms);
}

std::vector<VmId> MemoryPlatform::rebooted() const {
  std::scoped_lock Lock(this->Mutex);
  return this->RebootedVms;
}

std::uint64_t MemoryPlatform::commits() const {
  std::scoped_lock Lock(this->Mutex);
  return this->CommitCount;
}

} // namespace sardinerill
