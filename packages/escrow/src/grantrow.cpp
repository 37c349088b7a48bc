#include "sardinerill/escrow/grantrow.h"

#include "sardinerill/platform/platformcodec.h"

#include <algorithm>

namespace sardinerill {

using nlohmann::json;

ResourceId resourceOf(const TeamId &Team) {
  return ResourceId("team/" + Team.str());
}

ResourceId resourceOf(const VmId &Vm) { return ResourceId("vm/" + Vm.str()); }

namespace {

Grant *findGrant(GrantRow &Row, const DaemonId &Holder) {
  for (Grant &Entry : Row.Grants)
    if (Entry.Holder == Holder)
      return &Entry;
  return nullptr;
}

void dropEmpty(GrantRow &Row) {
  std::erase_if(Row.Grants, [](const Grant &Entry) {
    return Entry.Units == 0 && Entry.AllowedUnits == 0;
  });
}

} // namespace

unsigned totalUnits(const GrantRow &Row) {
  unsigned Total = 0;
  for (const Grant &Entry : Row.Grants)
    Total += Entry.Units;
  return Total;
}

Grant grantOf(const GrantRow &Row, const DaemonId &Holder) {
  for (const Grant &Entry : Row.Grants)
    if (Entry.Holder == Holder)
      return Entry;
  return Grant{Holder, 0, 0};
}

GrantRow withLimit(const GrantRow &Row, unsigned Limit, std::uint64_t Version) {
  if (Version <= Row.LimitVersion)
    return Row;
  GrantRow Changed = Row;
  Changed.Limit = Limit;
  Changed.LimitVersion = Version;
  const std::uint64_t Total = totalUnits(Row);
  for (Grant &Entry : Changed.Grants) {
    const bool Fits = Total <= Limit;
    Entry.AllowedUnits =
        Fits
            ? Entry.Units
            : static_cast<unsigned>(std::uint64_t(Entry.Units) * Limit / Total);
  }
  return Changed;
}

GrantRow withRaised(const GrantRow &Row, const DaemonId &Holder,
                    unsigned MaxUnits) {
  const unsigned Total = totalUnits(Row);
  if (Total >= Row.Limit || MaxUnits == 0)
    return Row;
  const unsigned Granted = std::min(MaxUnits, Row.Limit - Total);
  GrantRow Changed = Row;
  Grant *Entry = findGrant(Changed, Holder);
  if (Entry == nullptr) {
    Changed.Grants.push_back(Grant{Holder, 0, 0});
    Entry = &Changed.Grants.back();
  }
  Entry->Units += Granted;
  Entry->AllowedUnits = Entry->Units;
  return Changed;
}

GrantRow withLowered(const GrantRow &Row, const DaemonId &Holder,
                     unsigned Units) {
  GrantRow Changed = Row;
  Grant *Entry = findGrant(Changed, Holder);
  if (Entry == nullptr || Units >= Entry->Units)
    return Row;
  Entry->Units = Units;
  Entry->AllowedUnits = std::min(Entry->AllowedUnits, Units);
  dropEmpty(Changed);
  return Changed;
}

GrantRow withInherited(const GrantRow &Row, const DaemonId &From,
                       const DaemonId &To) {
  GrantRow Changed = Row;
  Grant *Previous = findGrant(Changed, From);
  if (Previous == nullptr || From == To)
    return Row;
  const Grant Moved = *Previous;
  *Previous = Grant{From, 0, 0};
  if (Grant *Existing = findGrant(Changed, To); Existing != nullptr) {
    Existing->Units += Moved.Units;
    Existing->AllowedUnits += Moved.AllowedUnits;
  } else {
    Changed.Grants.push_back(Grant{To, Moved.Units, Moved.AllowedUnits});
  }
  dropEmpty(Changed);
  return Changed;
}

GrantRow withReclaimed(const GrantRow &Row, const DaemonId &Holder) {
  GrantRow Changed = Row;
  std::erase_if(Changed.Grants,
                [&](const Grant &Entry) { return Entry.Holder == Holder; });
  return Changed;
}

std::string encodeGrantRow(const GrantRow &Row) {
  json Grants = json::array();
  for (const Grant &Entry : Row.Grants)
    Grants.push_back(json{Entry.Holder.str(), Entry.Units, Entry.AllowedUnits});
  return json{
      {"limit", Row.Limit}, {"version", Row.LimitVersion}, {"grants", Grants}}
      .dump();
}

Result<GrantRow> decodeGrantRow(const std::string &Text) {
  Result<json> Value = parseJson(Text);
  if (!Value)
    return tl::unexpected(Value.error());
  try {
    GrantRow Row;
    Row.Limit = Value->at("limit").get<unsigned>();
    Row.LimitVersion = Value->at("version").get<std::uint64_t>();
    for (const json &Entry : Value->at("grants"))
      Row.Grants.push_back(Grant{DaemonId(Entry.at(0).get<std::string>()),
                                 Entry.at(1).get<unsigned>(),
                                 Entry.at(2).get<unsigned>()});
    return Row;
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

} // namespace sardinerill
