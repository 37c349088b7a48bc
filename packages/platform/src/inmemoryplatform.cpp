#include "sardinerill/platform/inmemoryplatform.h"

namespace sardinerill {

namespace {

tl::unexpected<Error> unavailable() {
  return makeError(ErrorKind::PlatformUnavailable,
                   "injected fault: the platform is unavailable");
}

} // namespace

Result<std::vector<Row>>
InMemoryPlatform::read(const std::vector<RowKey> &Keys) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  std::vector<Row> Found;
  for (const RowKey &Key : Keys) {
    auto Entry = this->Rows.find(Key);
    Found.push_back(Entry == this->Rows.end() ? Row{Key, 0, "", ""}
                                              : Entry->second);
  }
  return Found;
}

Result<std::vector<Row>> InMemoryPlatform::scan(const std::string &Table) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  std::vector<Row> Found;
  for (auto Entry = this->Rows.lower_bound(RowKey{Table, ""});
       Entry != this->Rows.end() && Entry->first.Table == Table; ++Entry)
    Found.push_back(Entry->second);
  return Found;
}

bool InMemoryPlatform::conditionsHold(const Transaction &Txn) const {
  for (const RowCondition &Required : Txn.Conditions) {
    auto Entry = this->Rows.find(Required.Key);
    const Revision Actual = Entry == this->Rows.end() ? 0 : Entry->second.Rev;
    if (Actual != Required.Expected)
      return false;
  }
  return true;
}

void InMemoryPlatform::applyWrites(const Transaction &Txn) {
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

Result<CommitOutcome> InMemoryPlatform::commit(const Transaction &Txn) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  if (!this->conditionsHold(Txn))
    return CommitOutcome::Conflict;
  this->applyWrites(Txn);
  if (this->Faults.RepliesToDrop > 0) {
    --this->Faults.RepliesToDrop;
    return makeError(ErrorKind::PlatformUnavailable,
                     "injected fault: the reply to a commit was lost");
  }
  return CommitOutcome::Committed;
}

Result<void> InMemoryPlatform::putObject(const std::string &Name,
                                         const std::string &Bytes) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  this->Objects[Name] = Bytes;
  return {};
}

Result<std::string> InMemoryPlatform::getObject(const std::string &Name) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  auto Entry = this->Objects.find(Name);
  if (Entry == this->Objects.end())
    return makeError(ErrorKind::NotFound, "object not found: " + Name);
  return Entry->second;
}

Result<std::vector<VmListEntry>> InMemoryPlatform::listVms() {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  return this->Vms;
}

Result<void> InMemoryPlatform::rebootVm(const VmId &Vm,
                                        std::uint64_t ExpectedBootCount) {
  std::scoped_lock Lock(this->Mutex);
  if (this->Faults.Unavailable)
    return unavailable();
  for (VmListEntry &Entry : this->Vms) {
    if (Entry.Vm != Vm || Entry.BootCount != ExpectedBootCount)
      continue;
    ++Entry.BootCount;
    this->RebootedVms.push_back(Vm);
  }
  return {};
}

void InMemoryPlatform::setFaults(const InjectedFaults &NewFaults) {
  std::scoped_lock Lock(this->Mutex);
  this->Faults = NewFaults;
}

void InMemoryPlatform::setVms(std::vector<VmListEntry> NewVms) {
  std::scoped_lock Lock(this->Mutex);
  this->Vms = std::move(NewVms);
}

std::vector<VmId> InMemoryPlatform::rebootedVms() const {
  std::scoped_lock Lock(this->Mutex);
  return this->RebootedVms;
}

std::uint64_t InMemoryPlatform::commitCount() const {
  std::scoped_lock Lock(this->Mutex);
  return this->CommitCount;
}

} // namespace sardinerill
