#include "sardinerill/evacuation/evacuationstatus.h"

#include <algorithm>

namespace sardinerill::site {

void EvacuationStatus::setPublished(
    const std::map<ZoneId, EvacuationState> &Rows) {
  this->Published.clear();
  for (const auto &[Zone, State] : Rows)
    this->Published[Zone] = {.State = State};
  this->NeedsList = false;
}

std::vector<EvacuationStatusWrite>
EvacuationStatus::missingWrites(std::span<const ZoneEvacuation> Known,
                                const std::set<ZoneId> &Idle) const {
  std::vector<EvacuationStatusWrite> Writes;
  if (this->NeedsList)
    return Writes;
  std::set<ZoneId> Requested;
  for (const ZoneEvacuation &Each : Known) {
    if (!Each.Requested)
      continue;
    Requested.insert(Each.Zone);
    const auto Found = this->Published.find(Each.Zone);
    // A request is shown as running first, also if nothing runs in the zone.
    const bool IsShown = Found != this->Published.end() &&
                         Found->second.RequestVersion.value_or(
                             Each.RequestVersion) == Each.RequestVersion;
    const EvacuationState State = IsShown && Idle.contains(Each.Zone)
                                      ? EvacuationState::Completed
                                      : EvacuationState::Running;
    if (!IsShown || Found->second.State != State)
      Writes.push_back({.Zone = Each.Zone,
                        .RequestVersion = Each.RequestVersion,
                        .State = State});
  }
  for (const auto &[Zone, Each] : this->Published)
    if (!Requested.contains(Zone))
      Writes.push_back({.Zone = Zone});
  return Writes;
}

void EvacuationStatus::recordWrite(const EvacuationStatusWrite &Write,
                                   bool Written) {
  if (!Written)
    this->NeedsList = true;
  else if (Write.State)
    this->Published[Write.Zone] = {.RequestVersion = Write.RequestVersion,
                                   .State = *Write.State};
  else
    this->Published.erase(Write.Zone);
}

} // namespace sardinerill::site
