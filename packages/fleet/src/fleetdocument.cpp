#include "sardinerill/fleet/fleetdocument.h"

#include "fieldreader.h"

#include <algorithm>
#include <array>
#include <set>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxUnits = 100000;
constexpr std::uint64_t MaxRunLimitMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t MaxDeadlineMs = 30ULL * 24 * 3600 * 1000;
constexpr std::uint64_t MaxPort = 65535;
constexpr std::array<std::string_view, 3> VmStateNames{"serving", "draining",
                                                       "rebooting"};

KeyRecord readKey(FieldReader &Reader, const std::string &Id) {
  KeyRecord Key;
  Key.Id = KeyId(Id);
  Key.Salt = Reader.text("salt");
  Key.Hash = Reader.text("hash");
  Key.Withdrawn = Reader.flag("withdrawn", false);
  return Key;
}

std::vector<KeyRecord> readKeys(FieldReader &Reader) {
  std::vector<KeyRecord> Keys;
  Reader.eachMember("keys", [&](FieldReader &Entry, const std::string &Id) {
    Keys.push_back(readKey(Entry, Id));
  });
  return Keys;
}

Team readTeam(FieldReader &Reader, const std::string &Id) {
  Team Read;
  Read.Id = TeamId(Id);
  Read.Share = Reader.number("share", 1, MaxUnits, 1);
  Read.Ceiling = Reader.number("ceiling", 0, MaxUnits, std::nullopt);
  Read.CeilingVersion = Reader.number("ceilingVersion", 0, UINT32_MAX, 0);
  Read.Keys = readKeys(Reader);
  return Read;
}

WorkClass readClass(FieldReader &Reader, const std::string &Id) {
  WorkClass Read;
  Read.Id = ClassId(Id);
  Read.Pool = PoolId(Reader.text("pool"));
  Read.Target =
      milliseconds(Reader.number("targetMs", 1, MaxRunLimitMs, std::nullopt));
  Read.MaxRun =
      milliseconds(Reader.number("maxRunMs", 1, MaxRunLimitMs, std::nullopt));
  Read.Deadline =
      milliseconds(Reader.number("deadlineMs", 0, MaxDeadlineMs, 0));
  Read.Idempotent = Reader.flag("idempotent", true);
  Read.Open = Reader.flag("open", false);
  return Read;
}

Pool readPool(FieldReader &Reader, const std::string &Id) {
  Pool Read;
  Read.Id = PoolId(Id);
  Read.SlotsPerVm = Reader.number("slotsPerVm", 1, 64, 8);
  Read.SlotsVersion = Reader.number("slotsVersion", 0, UINT32_MAX, 0);
  Read.MaxUnavailable = Reader.number("maxUnavailable", 0, MaxUnits, 1);
  Read.Generation = Reader.number("generation", 0, UINT32_MAX, 0);
  Read.RolloutPaused = Reader.flag("rolloutPaused", false);
  return Read;
}

VmState readVmState(FieldReader &Reader) {
  const std::string Name = Reader.text("state", "serving");
  const auto *Found = std::find(VmStateNames.begin(), VmStateNames.end(), Name);
  if (Found == VmStateNames.end()) {
    Reader.fault("state", "must be serving, draining or rebooting");
    return VmState::Serving;
  }
  return static_cast<VmState>(Found - VmStateNames.begin());
}

Vm readVm(FieldReader &Reader, const std::string &Id) {
  Vm Read;
  Read.Id = VmId(Id);
  Read.Pool = PoolId(Reader.text("pool"));
  Read.PoolVersion = Reader.number("poolVersion", 0, UINT32_MAX, 0);
  Read.Zone = ZoneId(Reader.text("zone"));
  Read.Rack = RackId(Reader.text("rack"));
  Read.Address = Reader.text("address");
  Read.Port = static_cast<unsigned short>(
      Reader.number("port", 1, MaxPort, std::nullopt));
  Read.State = readVmState(Reader);
  Read.Generation = Reader.number("generation", 0, UINT32_MAX, 0);
  Read.DrainVersion = Reader.number("drainVersion", 0, UINT32_MAX, 0);
  Read.BootsBefore = Reader.number("bootsBefore", 0, UINT32_MAX, 0);
  Read.MoveTo = PoolId(Reader.text("moveTo", ""));
  return Read;
}

/// Reads every member of \p Section into \p Into by means of \p Read.
template <typename Id, typename Value, typename ReadOne>
void readSection(FieldReader &Reader, const char *Section,
                 std::map<Id, Value> &Into, ReadOne Read) {
  Reader.eachMember(Section, [&](FieldReader &Entry, const std::string &Name) {
    Into.emplace(Id(Name), Read(Entry, Name));
  });
}

void checkReferences(const Fleet &Read, FaultList &Faults) {
  for (const auto &[Id, Class] : Read.Classes)
    if (!Read.Pools.contains(Class.Pool))
      Faults.add("classes." + Id.str() + ".pool",
                 "no pool is named \"" + Class.Pool.str() + "\"");
  std::set<std::string> Addresses;
  for (const auto &[Id, Vm] : Read.Vms) {
    const std::string Path = "vms." + Id.str();
    if (!Read.Pools.contains(Vm.Pool))
      Faults.add(Path + ".pool", "no pool is named \"" + Vm.Pool.str() + "\"");
    if (!Vm.MoveTo.empty() && !Read.Pools.contains(Vm.MoveTo))
      Faults.add(Path + ".moveTo",
                 "no pool is named \"" + Vm.MoveTo.str() + "\"");
    if (!Read.Zones.contains(Vm.Zone))
      Faults.add(Path + ".zone", "no zone is named \"" + Vm.Zone.str() + "\"");
    if (!Addresses.insert(Vm.Address + ":" + std::to_string(Vm.Port)).second)
      Faults.add(Path + ".port", "another VM has the same address and port");
  }
}

void checkKeys(const Fleet &Read, FaultList &Faults) {
  std::set<KeyId> Seen;
  auto Check = [&](const std::vector<KeyRecord> &Keys,
                   const std::string &Path) {
    for (const KeyRecord &Key : Keys)
      if (!Seen.insert(Key.Id).second)
        Faults.add(Path, "key \"" + Key.Id.str() + "\" is in use elsewhere");
  };
  Check(Read.OperatorKeys, "operators.keys");
  for (const auto &[Id, Team] : Read.Teams)
    Check(Team.Keys, "teams." + Id.str() + ".keys");
}

} // namespace

std::string_view toString(VmState State) {
  return VmStateNames[static_cast<std::size_t>(State)];
}

milliseconds longestRun(const Fleet &Current) {
  milliseconds Longest{0};
  for (const auto &[Id, Class] : Current.Classes)
    Longest = std::max(Longest, Class.MaxRun);
  return Longest;
}

Result<Fleet> parseFleet(const json &Document, FleetVersion Version) {
  FaultList Faults;
  Fleet Read;
  Read.Version = Version;
  {
    FieldReader Reader(Document, "", Faults);
    Read.RackMaxUnavailable =
        Reader.number("rackMaxUnavailable", 0, MaxUnits, 1);
    readSection(Reader, "pools", Read.Pools, readPool);
    readSection(Reader, "zones", Read.Zones,
                [](FieldReader &Entry, const std::string &Id) {
                  return Zone{ZoneId(Id),
                              Entry.number("maxUnavailable", 0, MaxUnits, 1)};
                });
    readSection(Reader, "vms", Read.Vms, readVm);
    readSection(Reader, "teams", Read.Teams, readTeam);
    readSection(Reader, "classes", Read.Classes, readClass);
    Reader.member("operators", [&](FieldReader &Operators) {
      Read.OperatorKeys = readKeys(Operators);
    });
  }
  checkReferences(Read, Faults);
  checkKeys(Read, Faults);
  if (!Faults.empty())
    return makeError(ErrorKind::ConfigInvalid, Faults.render());
  return Read;
}

Result<json> patchDocument(const json &Document, const json &Patch) {
  if (!Patch.is_object())
    return makeError(ErrorKind::ConfigInvalid, "a change must be an object");
  json Changed = Document;
  Changed.merge_patch(Patch);
  Result<Fleet> Checked = parseFleet(Changed, 0);
  if (!Checked)
    return tl::unexpected(Checked.error());
  return Changed;
}

json diffDocuments(const json &From, const json &To) {
  json Patch = json::object();
  for (const auto &[Name, Value] : From.items())
    if (!To.contains(Name))
      Patch[Name] = nullptr;
  for (const auto &[Name, Value] : To.items()) {
    if (!From.contains(Name)) {
      Patch[Name] = Value;
      continue;
    }
    const json &Before = From[Name];
    if (Before == Value)
      continue;
    const bool Nested = Before.is_object() && Value.is_object();
    Patch[Name] = Nested ? diffDocuments(Before, Value) : Value;
  }
  return Patch;
}

namespace {

/// A field next to which the version of its last change is stored.
struct StampedField {
  const char *Section;
  const char *Field;
  const char *Stamp;
};

constexpr std::array<StampedField, 3> StampedFields{{
    {"teams", "ceiling", "ceilingVersion"},
    {"pools", "slotsPerVm", "slotsVersion"},
    {"vms", "pool", "poolVersion"},
}};

const json &memberOf(const json &Object, const std::string &Name) {
  static const json Nothing;
  auto Found = Object.is_object() ? Object.find(Name) : Object.end();
  return Object.is_object() && Found != Object.end() ? *Found : Nothing;
}

} // namespace

json stampVersions(const json &Before, json After, FleetVersion Version) {
  for (const StampedField &Each : StampedFields) {
    if (!After.contains(Each.Section))
      continue;
    const json &Old = memberOf(Before, Each.Section);
    for (auto &[Name, Entry] : After[Each.Section].items()) {
      const json &OldEntry = memberOf(Old, Name);
      const bool Same =
          memberOf(OldEntry, Each.Field) == memberOf(Entry, Each.Field) &&
          OldEntry.is_object();
      const json &OldStamp = memberOf(OldEntry, Each.Stamp);
      Entry[Each.Stamp] =
          Same && !OldStamp.is_null() ? OldStamp : json(Version);
    }
  }
  return After;
}

json redactDocument(json Document) {
  if (!Document.is_object())
    return Document;
  Document.erase("salt");
  Document.erase("hash");
  for (auto &[Name, Value] : Document.items())
    Value = redactDocument(std::move(Value));
  return Document;
}

} // namespace sardinerill
