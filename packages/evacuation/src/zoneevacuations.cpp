#include "sardinerill/evacuation/zoneevacuations.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sardinerill::site {

namespace {

using nlohmann::json;

/// Withdrawn requests that are kept, so that older information does not revive
/// them: far more zones than a site has.
constexpr std::size_t MaxWithdrawn = 64;

} // namespace

void ZoneEvacuations::apply(ZoneEvacuation Next, Instant Now,
                            std::vector<ZoneEvacuation> &Changes) {
  const auto Found = this->States.find(Next.Zone);
  const bool IsKnown = Found != this->States.end();
  const std::int64_t KnownAt = IsKnown ? Found->second.KnownAt : 0;
  if (Next.KnownAt <= std::max(KnownAt, this->ReadThrough))
    return;
  const bool Same =
      IsKnown && Found->second.Requested == Next.Requested &&
      (!Next.Requested || Found->second.RequestVersion == Next.RequestVersion);
  Next.Since = Same ? Found->second.Since : Now;
  this->States[Next.Zone] = Next;
  // A removal of a request that was never seen changes nothing.
  if (!Same && (Next.Requested || IsKnown))
    Changes.push_back(Next);
}

std::vector<ZoneEvacuation>
ZoneEvacuations::applyChanges(std::span<const EvacuationRow> Rows,
                              Instant Now) {
  std::vector<ZoneEvacuation> Changes;
  for (const EvacuationRow &Each : Rows)
    this->apply({.Zone = Each.Zone,
                 .Requested = Each.Requested,
                 .RequestVersion = Each.Version,
                 .KnownAt = Each.Version},
                Now, Changes);
  this->limitWithdrawn();
  return Changes;
}

std::vector<ZoneEvacuation>
ZoneEvacuations::applyFullRead(std::span<const EvacuationRow> Rows,
                               std::int64_t TableVersion, Instant Now) {
  std::vector<ZoneEvacuation> Changes;
  std::set<ZoneId> Present;
  for (const EvacuationRow &Each : Rows) {
    Present.insert(Each.Zone);
    // A later page of the read may hold rows newer than the first one.
    this->apply({.Zone = Each.Zone,
                 .Requested = true,
                 .RequestVersion = Each.Version,
                 .KnownAt = std::max(Each.Version, TableVersion)},
                Now, Changes);
  }
  std::vector<ZoneEvacuation> Absent;
  for (const auto &[Zone, State] : this->States)
    if (State.Requested && !Present.contains(Zone))
      Absent.push_back({.Zone = Zone, .KnownAt = TableVersion});
  for (ZoneEvacuation &Each : Absent)
    this->apply(std::move(Each), Now, Changes);
  this->ReadThrough = std::max(this->ReadThrough, TableVersion);
  this->limitWithdrawn();
  return Changes;
}

std::vector<ZoneEvacuation>
ZoneEvacuations::applyPeerState(std::span<const ZoneEvacuation> States,
                                Instant Now) {
  std::vector<ZoneEvacuation> Changes;
  for (const ZoneEvacuation &Each : States)
    this->apply(Each, Now, Changes);
  this->limitWithdrawn();
  return Changes;
}

bool ZoneEvacuations::isEvacuated(const ZoneId &Zone) const {
  const auto Found = this->States.find(Zone);
  return Found != this->States.end() && Found->second.Requested;
}

std::set<ZoneId> ZoneEvacuations::zones() const {
  std::set<ZoneId> Zones;
  for (const auto &[Zone, State] : this->States)
    if (State.Requested)
      Zones.insert(Zone);
  return Zones;
}

std::vector<ZoneEvacuation> ZoneEvacuations::known() const {
  std::vector<ZoneEvacuation> List;
  List.reserve(this->States.size());
  for (const auto &[Zone, State] : this->States)
    List.push_back(State);
  return List;
}

void ZoneEvacuations::limitWithdrawn() {
  const auto IsWithdrawn = [](const auto &Entry) {
    return !Entry.second.Requested;
  };
  while (std::size_t(std::ranges::count_if(this->States, IsWithdrawn)) >
         MaxWithdrawn) {
    auto Oldest = std::ranges::find_if(this->States, IsWithdrawn);
    for (auto Each = Oldest; Each != this->States.end(); ++Each)
      if (IsWithdrawn(*Each) && Each->second.KnownAt < Oldest->second.KnownAt)
        Oldest = Each;
    this->States.erase(Oldest);
  }
}

void OperatorRowsAge::recordRead(Instant AsOf) {
  this->HasRead = true;
  this->InformedAt = std::max(this->InformedAt, AsOf);
}

Instant OperatorRowsAge::answerTime(Instant SentAt, Duration Wait,
                                    bool Unchanged, Instant Now) {
  return Unchanged && Now - SentAt >= Wait ? SentAt + Wait : SentAt;
}

void OperatorRowsAge::recordPeerState(Instant SentAt) {
  // The peer may not have read the rows recently, so that this never replaces
  // the time of an own read.
  if (!this->isInformed())
    this->InformedAt = SentAt;
  this->HasPeerState = true;
}

StartHold OperatorRowsAge::startHold(Instant Now, bool TableReachable) const {
  // A read alone may be older than what a predecessor of this process knew.
  const bool MayUse =
      this->HasPeerState || (this->HasRead && this->QuestionsEnded);
  if (!MayUse)
    return StartHold::NotInformed;
  return TableReachable && Now - this->InformedAt > MaxAge ? StartHold::Stale
                                                           : StartHold::None;
}

std::string encodeEvacuations(const std::vector<ZoneEvacuation> &States) {
  json Zones = json::array();
  for (const ZoneEvacuation &Each : States)
    Zones.push_back({{"zone", Each.Zone.str()},
                     {"requested", Each.Requested},
                     {"request-version", Each.RequestVersion},
                     {"known-at", Each.KnownAt}});
  return json{{"zones", std::move(Zones)}}.dump(-1, ' ', false,
                                                json::error_handler_t::replace);
}

Result<std::vector<ZoneEvacuation>> decodeEvacuations(const std::string &Text) {
  try {
    std::vector<ZoneEvacuation> States;
    const json Document = json::parse(Text);
    for (const json &Entry : Document.at("zones")) {
      States.push_back({.Zone = ZoneId(Entry.at("zone").get<std::string>()),
                        .Requested = Entry.at("requested").get<bool>(),
                        .RequestVersion = Entry.at("request-version"),
                        .KnownAt = Entry.at("known-at")});
      if (States.back().Zone.empty())
        return makeError(ErrorKind::BadRequest, "a zone has no name");
    }
    return States;
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

} // namespace sardinerill::site
