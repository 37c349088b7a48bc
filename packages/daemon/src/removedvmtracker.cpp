#include "removedvmtracker.h"

namespace sardinerill {

std::vector<DaemonId>
RemovedVmTracker::update(const std::vector<VmListEntry> &Vms,
                         const std::vector<DaemonId> &Known, Instant Now) {
  std::set<VmId> Present;
  for (const VmListEntry &Listed : Vms)
    Present.insert(Listed.Vm);
  std::vector<DaemonId> NewlyRemoved;
  for (const DaemonId &Id : Known) {
    const VmId Vm(parseDaemonId(Id).Vm);
    const bool IsMissing =
        this->EverListed.contains(Vm) && !Present.contains(Vm);
    unsigned &Count = this->MissedLists[Id];
    Count = IsMissing ? Count + 1 : 0;
    if (Count < RequiredMissingLists || this->RemovedAt.contains(Id))
      continue;
    this->RemovedAt[Id] = Now;
    this->EverRemoved.insert(Id);
    NewlyRemoved.push_back(Id);
  }
  this->EverListed.merge(Present);
  return NewlyRemoved;
}

std::vector<DaemonId> RemovedVmTracker::popSettled(Instant Now,
                                                   Duration Settle) {
  std::vector<DaemonId> Settled;
  for (auto Entry = this->RemovedAt.begin(); Entry != this->RemovedAt.end();) {
    if (Now - Entry->second < Settle) {
      ++Entry;
      continue;
    }
    Settled.push_back(Entry->first);
    Entry = this->RemovedAt.erase(Entry);
  }
  for (const auto &[Id, Time] : this->Requeued)
    Settled.push_back(Id);
  this->Requeued.clear();
  return Settled;
}

void RemovedVmTracker::requeue(const DaemonId &Id, Instant Now) {
  this->Requeued[Id] = Now;
}

} // namespace sardinerill
