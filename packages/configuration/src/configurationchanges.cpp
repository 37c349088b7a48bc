#include "sardinerill/configuration/configurationchanges.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace sardinerill::site {

namespace {

using nlohmann::json;

json encodeResources(const Resources &Amount) {
  return {Amount.CpuMilli, Amount.MemoryMb, Amount.Accelerators};
}

Resources decodeResources(const json &Text) {
  return {Text.at(0), Text.at(1), Text.at(2)};
}

Duration decodeDuration(const json &Text) {
  return Duration(Text.get<std::int64_t>());
}

json encodeQueue(const QueueSettings &Queue) {
  json Text = {Queue.Id.str(),
               Queue.Host,
               Queue.PathPrefix,
               Queue.Pool.str(),
               Queue.Priority,
               Queue.MaxAttempts,
               Queue.CriticalPathFactor,
               Queue.LatencyTarget.count(),
               Queue.CallTimeout.count(),
               Queue.Public};
  if (Queue.NeedsAdvice)
    Text.push_back({Queue.Advisor.PerCall.count(),
                    Queue.Advisor.PerUpstream.count(),
                    Queue.Advisor.TicketValidity.count()});
  return Text;
}

QueueSettings decodeQueue(const json &Text) {
  constexpr std::size_t AdvisorIndex = 10;
  QueueSettings Queue{.Id = QueueId(Text.at(0).get<std::string>()),
                      .Host = Text.at(1),
                      .PathPrefix = Text.at(2),
                      .Pool = PoolId(Text.at(3).get<std::string>()),
                      .Priority = Text.at(4),
                      .MaxAttempts = Text.at(5),
                      .CriticalPathFactor = Text.at(6),
                      .LatencyTarget = decodeDuration(Text.at(7)),
                      .CallTimeout = decodeDuration(Text.at(8)),
                      .Public = Text.at(9),
                      .NeedsAdvice = Text.size() > AdvisorIndex};
  if (Queue.NeedsAdvice) {
    const json &Advisor = Text.at(AdvisorIndex);
    Queue.Advisor = {.PerCall = decodeDuration(Advisor.at(0)),
                     .PerUpstream = decodeDuration(Advisor.at(1)),
                     .TicketValidity = decodeDuration(Advisor.at(2))};
  }
  return Queue;
}

json encodeLimits(const CallerLimits &Limits) {
  return {Limits.HeaderBytes, Limits.BodyBytes, Limits.HeaderTimeout.count(),
          Limits.IdleTimeout.count()};
}

CallerLimits decodeLimits(const json &Text) {
  return {.HeaderBytes = Text.at(0),
          .BodyBytes = Text.at(1),
          .HeaderTimeout = decodeDuration(Text.at(2)),
          .IdleTimeout = decodeDuration(Text.at(3))};
}

json encodeChanges(const ConfigurationChanges &Changes) {
  json Text = {{"from", Changes.From},
               {"to", Changes.To},
               {"queues", json::array()},
               {"groups", Changes.Groups},
               {"pools", json::array()},
               {"organisations", json::array()},
               {"limits", encodeLimits(Changes.Limits)}};
  for (const QueueSettings &Each : Changes.Queues)
    Text["queues"].push_back(encodeQueue(Each));
  for (const PoolSettings &Each : Changes.Pools)
    Text["pools"].push_back(
        {Each.Id.str(), Each.EnforcesCapacity, Each.Standby});
  for (const OrganisationSettings &Each : Changes.Organisations)
    Text["organisations"].push_back(
        {Each.Id.str(), Each.Keys, Each.Share, encodeResources(Each.Ceiling)});
  return Text;
}

ConfigurationChanges decodeChanges(const json &Text) {
  ConfigurationChanges Changes{.From = Text.at("from"),
                               .To = Text.at("to"),
                               .Groups = Text.at("groups"),
                               .Limits = decodeLimits(Text.at("limits"))};
  for (const json &Each : Text.at("queues"))
    Changes.Queues.push_back(decodeQueue(Each));
  for (const json &Each : Text.at("pools"))
    Changes.Pools.push_back({.Id = PoolId(Each.at(0).get<std::string>()),
                             .EnforcesCapacity = Each.at(1),
                             .Standby = Each.at(2)});
  for (const json &Each : Text.at("organisations"))
    Changes.Organisations.push_back(
        {.Id = OrganisationId(Each.at(0).get<std::string>()),
         .Keys = Each.at(1).get<std::vector<std::string>>(),
         .Share = Each.at(2),
         .Ceiling = decodeResources(Each.at(3))});
  return Changes;
}

json encodeWave(const MaintenanceWave &Wave) {
  json Vms = json::array();
  for (const VmId &Vm : Wave.Vms)
    Vms.push_back(Vm.str());
  return {Wave.Number, std::move(Vms), Wave.Period.count(), Wave.MaxConcurrent};
}

MaintenanceWave decodeWave(const json &Text) {
  MaintenanceWave Wave{.Number = Text.at(0),
                       .Period = decodeDuration(Text.at(2)),
                       .MaxConcurrent = Text.at(3)};
  for (const json &Vm : Text.at(1))
    Wave.Vms.emplace_back(Vm.get<std::string>());
  return Wave;
}

} // namespace

ConfigurationChanges changesBetween(const ConfigurationDigest &Base,
                                    const SiteConfiguration &Next,
                                    const ConfigurationDigest &NextDigest) {
  ConfigurationChanges Changes{.From = Base.Version,
                               .To = Next.Version,
                               .Organisations = Next.Organisations,
                               .Limits = Next.Limits};
  for (const auto &[Id, Pool] : Next.Pools)
    Changes.Pools.push_back(Pool);
  for (std::size_t Group = 0; Group < Base.Groups.size(); ++Group)
    if (Base.Groups[Group] != NextDigest.Groups[Group])
      Changes.Groups.push_back(Group);
  for (const QueueSettings &Queue : Next.Queues)
    if (std::ranges::binary_search(Changes.Groups, groupOf(Queue.Id)))
      Changes.Queues.push_back(Queue);
  return Changes;
}

Result<SiteConfiguration> applyChanges(const SiteConfiguration &Base,
                                       const ConfigurationChanges &Changes) {
  if (Base.Version != Changes.From || Changes.To <= Changes.From)
    return makeError(ErrorKind::VersionConflict,
                     "changes from version " + std::to_string(Changes.From) +
                         " to " + std::to_string(Changes.To) +
                         " don't lead on from version " +
                         std::to_string(Base.Version));
  SiteConfiguration Next{.Version = Changes.To,
                         .Organisations = Changes.Organisations,
                         .Limits = Changes.Limits};
  for (const PoolSettings &Pool : Changes.Pools)
    Next.Pools[Pool.Id] = Pool;
  const std::set<std::size_t> Groups(Changes.Groups.begin(),
                                     Changes.Groups.end());
  for (const QueueSettings &Known : Base.Queues)
    if (!Groups.contains(groupOf(Known.Id)))
      Next.Queues.push_back(Known);
  Next.Queues.insert(Next.Queues.end(), Changes.Queues.begin(),
                     Changes.Queues.end());
  return Next;
}

std::string encodeUpdate(const OperatorRowsUpdate &Update) {
  json Waves = json::array();
  for (const MaintenanceWave &Wave : Update.Waves)
    Waves.push_back(encodeWave(Wave));
  return json{{"position", Update.Position},
              {"configuration", encodeChanges(Update.Changes)},
              {"waves", std::move(Waves)},
              {"evacuations", Update.Evacuations}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<OperatorRowsUpdate> decodeUpdate(const std::string &Text) {
  try {
    const json Document = json::parse(Text);
    OperatorRowsUpdate Update{.Position = Document.at("position"),
                              .Changes =
                                  decodeChanges(Document.at("configuration")),
                              .Evacuations = Document.at("evacuations")};
    for (const json &Wave : Document.at("waves"))
      Update.Waves.push_back(decodeWave(Wave));
    return Update;
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

} // namespace sardinerill::site
