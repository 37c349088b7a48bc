#include "sardinerill/scheduling/schedulingtypes.h"

#include <algorithm>

namespace sardinerill::site {

const QueueSettings *SiteConfiguration::queue(const QueueId &Id) const {
  for (const QueueSettings &Queue : this->Queues)
    if (Queue.Id == Id)
      return &Queue;
  return nullptr;
}

const OrganisationSettings *
SiteConfiguration::organisation(const OrganisationId &Id) const {
  for (const OrganisationSettings &Organisation : this->Organisations)
    if (Organisation.Id == Id)
      return &Organisation;
  return nullptr;
}

const QueueSettings *SiteConfiguration::match(std::string_view Host,
                                              std::string_view Path) const {
  const QueueSettings *Best = nullptr;
  for (const QueueSettings &Queue : this->Queues)
    if (Queue.Host == Host && Path.starts_with(Queue.PathPrefix) &&
        (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Queue;
  return Best;
}

const OrganisationSettings *
SiteConfiguration::organisationOfKey(std::string_view Key) const {
  for (const OrganisationSettings &Organisation : this->Organisations)
    if (std::ranges::find(Organisation.Keys, Key) != Organisation.Keys.end())
      return &Organisation;
  return nullptr;
}

} // namespace sardinerill::site
