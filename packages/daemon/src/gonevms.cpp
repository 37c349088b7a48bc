#include "gonevms.h"

namespace sardinerill {

std::vector<DaemonId> GoneVms::update(const std::vector<VmListEntry> &Vms,
                                      const std::vector<DaemonId> &Known,
                                      Instant Now) {
  std::set<VmId> Present;
  for (const VmListEntry &Entry : Vms)
    Present.insert(Entry.Vm);
  std::vector<DaemonId> Found;
  for (const DaemonId &Id : Known) {
    const VmId Vm(daemonNameOf(Id).Vm);
    const bool IsMissing = this->Listed.contains(Vm) && !Present.contains(Vm);
    unsigned &Count = this->Missing[Id];
    Count = IsMissing ? Count + 1 : 0;
    if (Count < ListsToBeGone || this->GoneSince.contains(Id))
      continue;
    this->GoneSince[Id] = Now;
    this->Ever.insert(Id);
    Found.push_back(Id);
  }
  this->Listed.merge(Present);
  return Found;
}

std::vector<DaemonId> GoneVms::takeSettled(Instant Now, Duration Settle) {
  std::vector<DaemonId> Settled;
  for (auto Each = this->GoneSince.begin(); Each != this->GoneSince.end();) {
    if (Now - Each->second < Settle) {
      ++Each;
      continue;
    }
    Settled.push_back(Each->first);
    Each = this->GoneSince.erase(Each);
  }
  for (const auto &[Id, Since] : this->Again)
    Settled.push_back(Id);
  this->Again.clear();
  return Settled;
}

void GoneVms::retry(const DaemonId &Id, Instant Now) { this->Again[Id] = Now; }

} // namespace sardinerill
