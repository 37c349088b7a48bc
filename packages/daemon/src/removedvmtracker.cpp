#include "removedvmtracker.h"

namespace sardinerill {

std::vector<DaemonId>
RemovedVmTracker::update(const std::vector<VmListEntry> &Vms,
                         const std::vector<DaemonId> &Daemons, Instant Now) {
  std::set<VmId> Present;
  for (const VmListEntry &Listed : Vms)
    Present.insert(Listed.Vm);
  std::vector<DaemonId> NewlyRemoved;
  for (const DaemonId &Id : Daemons) {
    const VmId Vm(parseDaemonId(Id).Vm);
    const bool IsMissing =
        this->EverListed.contains(Vm) && !Present.contains(Vm);
    unsigned &Count = this->ConsecutiveAbsences[Id];
    Count = IsMissing ? Count + 1 : 0;
    if (Count < ListsUntilRemoved || this->RemovedAt.contains(Id))
      continue;
    // Its units are reclaimed once: its VM stays removed, and a daemon that
    // starts there later has another incarnation.
    if (this->EverRemoved.insert(Id).second)
      this->RemovedAt[Id] = Now;
    NewlyRemoved.push_back(Id);
  }
  this->EverListed.merge(Present);
  return NewlyRemoved;
}

std::vector<DaemonId> RemovedVmTracker::takeReclaimable(Instant Now,
                                                        Duration ReclaimDelay) {
  std::vector<DaemonId> Reclaimable;
  for (auto Entry = this->RemovedAt.begin(); Entry != this->RemovedAt.end();) {
    if (Now - Entry->second < ReclaimDelay) {
      ++Entry;
      continue;
    }
    Reclaimable.push_back(Entry->first);
    Entry = this->RemovedAt.erase(Entry);
  }
  for (const auto &[Id, Time] : this->Requeued)
    Reclaimable.push_back(Id);
  this->Requeued.clear();
  return Reclaimable;
}

void RemovedVmTracker::requeue(const DaemonId &Id, Instant Now) {
  this->Requeued[Id] = Now;
}

} // namespace sardinerill
