#include "sardinerill/fleet/fleetdocument.h"

#include "fieldreader.h"

#include <algorithm>
#include <array>
#include <set>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Upper bound of shares, ceilings and availability budgets.
constexpr std::uint64_t MaxCount = 100000;
constexpr std::uint64_t MaxRunLimitMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t MaxDeadlineMs = 30ULL * 24 * 3600 * 1000;
constexpr std::uint64_t MaxPort = 65535;
constexpr std::array<std::string_view, 3> VmStateNames{"serving", "draining",
                                                       "rebooting"};

KeyRecord readKey(FieldReader &Reader, const std::string &Id) {
  KeyRecord Key;
  Key.Id = KeyId(Id);
  Key.Salt = Reader.readString("salt");
  Key.Hash = Reader.readString("hash");
  Key.Withdrawn = Reader.readBool("withdrawn", false);
  return Key;
}

std::vector<KeyRecord> readKeys(FieldReader &Reader) {
  std::vector<KeyRecord> Keys;
  Reader.forEachMember("keys", [&](FieldReader &Entry, const std::string &Id) {
    Keys.push_back(readKey(Entry, Id));
  });
  return Keys;
}

Team readTeam(FieldReader &Reader, const std::string &Id) {
  Team Parsed;
  Parsed.Id = TeamId(Id);
  Parsed.Share = Reader.readUnsigned("share", 1, MaxCount, 1);
  Parsed.Ceiling = Reader.readUnsigned("ceiling", 0, MaxCount, std::nullopt);
  Parsed.CeilingVersion =
      Reader.readUnsigned("ceilingVersion", 0, UINT32_MAX, 0);
  Parsed.Keys = readKeys(Reader);
  return Parsed;
}

WorkClass readClass(FieldReader &Reader, const std::string &Id) {
  WorkClass Parsed;
  Parsed.Id = ClassId(Id);
  Parsed.Pool = PoolId(Reader.readString("pool"));
  Parsed.Target = milliseconds(
      Reader.readUnsigned("targetMs", 1, MaxRunLimitMs, std::nullopt));
  Parsed.RunLimit = milliseconds(
      Reader.readUnsigned("maxRunMs", 1, MaxRunLimitMs, std::nullopt));
  Parsed.Deadline =
      milliseconds(Reader.readUnsigned("deadlineMs", 0, MaxDeadlineMs, 0));
  Parsed.Idempotent = Reader.readBool("idempotent", true);
  Parsed.AllowAnonymous = Reader.readBool("open", false);
  return Parsed;
}

Pool readPool(FieldReader &Reader, const std::string &Id) {
  Pool Parsed;
  Parsed.Id = PoolId(Id);
  Parsed.SlotsPerVm = Reader.readUnsigned("slotsPerVm", 1, 64, 8);
  Parsed.SlotsVersion = Reader.readUnsigned("slotsVersion", 0, UINT32_MAX, 0);
  Parsed.MaxUnavailable = Reader.readUnsigned("maxUnavailable", 0, MaxCount, 1);
  Parsed.Generation = Reader.readUnsigned("generation", 0, UINT32_MAX, 0);
  Parsed.RolloutPaused = Reader.readBool("rolloutPaused", false);
  return Parsed;
}

VmState readVmState(FieldReader &Reader) {
  const std::string Name = Reader.readString("state", "serving");
  const auto *Found = std::find(VmStateNames.begin(), VmStateNames.end(), Name);
  if (Found == VmStateNames.end()) {
    Reader.addError("state", "must be serving, draining or rebooting");
    return VmState::Serving;
  }
  return static_cast<VmState>(Found - VmStateNames.begin());
}

Vm readVm(FieldReader &Reader, const std::string &Id) {
  Vm Parsed;
  Parsed.Id = VmId(Id);
  Parsed.Pool = PoolId(Reader.readString("pool"));
  Parsed.PoolVersion = Reader.readUnsigned("poolVersion", 0, UINT32_MAX, 0);
  Parsed.Zone = ZoneId(Reader.readString("zone"));
  Parsed.Rack = RackId(Reader.readString("rack"));
  Parsed.Address = Reader.readString("address");
  Parsed.Port = static_cast<unsigned short>(
      Reader.readUnsigned("port", 1, MaxPort, std::nullopt));
  Parsed.State = readVmState(Reader);
  Parsed.Generation = Reader.readUnsigned("generation", 0, UINT32_MAX, 0);
  Parsed.DrainVersion = Reader.readUnsigned("drainVersion", 0, UINT32_MAX, 0);
  Parsed.BootsBeforeReboot =
      Reader.readUnsigned("bootsBefore", 0, UINT32_MAX, 0);
  Parsed.MoveTo = PoolId(Reader.readString("moveTo", ""));
  return Parsed;
}

/// Reads every member of \p Section into \p Into using \p ReadMember.
template <typename Id, typename Value, typename MemberReader>
void readSection(FieldReader &Reader, const char *Section,
                 std::map<Id, Value> &Into, MemberReader ReadMember) {
  Reader.forEachMember(Section,
                       [&](FieldReader &Entry, const std::string &Name) {
                         Into.emplace(Id(Name), ReadMember(Entry, Name));
                       });
}

void checkReferences(const Fleet &Parsed, ErrorList &Errors) {
  for (const auto &[Id, Class] : Parsed.Classes)
    if (!Parsed.Pools.contains(Class.Pool))
      Errors.add("classes." + Id.str() + ".pool",
                 "no pool is named \"" + Class.Pool.str() + "\"");
  std::set<std::string> Addresses;
  for (const auto &[Id, Vm] : Parsed.Vms) {
    const std::string Path = "vms." + Id.str();
    if (!Parsed.Pools.contains(Vm.Pool))
      Errors.add(Path + ".pool", "no pool is named \"" + Vm.Pool.str() + "\"");
    if (!Vm.MoveTo.empty() && !Parsed.Pools.contains(Vm.MoveTo))
      Errors.add(Path + ".moveTo",
                 "no pool is named \"" + Vm.MoveTo.str() + "\"");
    if (!Parsed.Zones.contains(Vm.Zone))
      Errors.add(Path + ".zone", "no zone is named \"" + Vm.Zone.str() + "\"");
    if (!Addresses.insert(Vm.Address + ":" + std::to_string(Vm.Port)).second)
      Errors.add(Path + ".port", "another VM has the same address and port");
  }
}

void checkKeys(const Fleet &Parsed, ErrorList &Errors) {
  std::set<KeyId> Seen;
  auto Check = [&](const std::vector<KeyRecord> &Keys,
                   const std::string &Path) {
    for (const KeyRecord &Key : Keys)
      if (!Seen.insert(Key.Id).second)
        Errors.add(Path,
                   "key \"" + Key.Id.str() + "\" is defined more than once");
  };
  Check(Parsed.OperatorKeys, "operators.keys");
  for (const auto &[Id, Team] : Parsed.Teams)
    Check(Team.Keys, "teams." + Id.str() + ".keys");
}

} // namespace

std::string_view toString(VmState State) {
  return VmStateNames[static_cast<std::size_t>(State)];
}

milliseconds longestRunLimit(const Fleet &Current) {
  milliseconds Longest{0};
  for (const auto &[Id, Class] : Current.Classes)
    Longest = std::max(Longest, Class.RunLimit);
  return Longest;
}

Result<Fleet> parseFleet(const json &Document, FleetVersion Version) {
  ErrorList Errors;
  Fleet Parsed;
  Parsed.Version = Version;
  {
    FieldReader Reader(Document, "", Errors);
    Parsed.RackMaxUnavailable =
        Reader.readUnsigned("rackMaxUnavailable", 0, MaxCount, 1);
    readSection(Reader, "pools", Parsed.Pools, readPool);
    readSection(Reader, "zones", Parsed.Zones,
                [](FieldReader &Entry, const std::string &Id) {
                  return Zone{ZoneId(Id), Entry.readUnsigned("maxUnavailable",
                                                             0, MaxCount, 1)};
                });
    readSection(Reader, "vms", Parsed.Vms, readVm);
    readSection(Reader, "teams", Parsed.Teams, readTeam);
    readSection(Reader, "classes", Parsed.Classes, readClass);
    Reader.visitObject("operators", [&](FieldReader &Operators) {
      Parsed.OperatorKeys = readKeys(Operators);
    });
  }
  checkReferences(Parsed, Errors);
  checkKeys(Parsed, Errors);
  if (!Errors.empty())
    return makeError(ErrorKind::ConfigInvalid, Errors.render());
  return Parsed;
}

Result<json> patchDocument(const json &Document, const json &Patch) {
  if (!Patch.is_object())
    return makeError(ErrorKind::ConfigInvalid,
                     "a change must be a JSON object");
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
struct VersionedField {
  const char *Section;
  const char *Field;
  const char *VersionField;
};

constexpr std::array<VersionedField, 3> VersionedFields{{
    {"teams", "ceiling", "ceilingVersion"},
    {"pools", "slotsPerVm", "slotsVersion"},
    {"vms", "pool", "poolVersion"},
}};

const json &memberOrNull(const json &Object, const std::string &Name) {
  static const json Null;
  auto Found = Object.is_object() ? Object.find(Name) : Object.end();
  return Object.is_object() && Found != Object.end() ? *Found : Null;
}

} // namespace

json updateFieldVersions(const json &Before, json After, FleetVersion Version) {
  for (const VersionedField &Each : VersionedFields) {
    if (!After.contains(Each.Section))
      continue;
    const json &Old = memberOrNull(Before, Each.Section);
    for (auto &[Name, Entry] : After[Each.Section].items()) {
      const json &OldEntry = memberOrNull(Old, Name);
      const bool IsUnchanged = memberOrNull(OldEntry, Each.Field) ==
                                   memberOrNull(Entry, Each.Field) &&
                               OldEntry.is_object();
      const json &OldVersion = memberOrNull(OldEntry, Each.VersionField);
      Entry[Each.VersionField] =
          IsUnchanged && !OldVersion.is_null() ? OldVersion : json(Version);
    }
  }
  return After;
}

namespace {

/// Removes the salts and hashes of the keys that \p Owner (a team, or the
/// operators) has.
void redactKeys(json &Owner) {
  if (!Owner.is_object() || !Owner.contains("keys"))
    return;
  for (json &Key : Owner["keys"])
    if (Key.is_object()) {
      Key.erase("salt");
      Key.erase("hash");
    }
}

} // namespace

json redactDocument(json Document) {
  if (!Document.is_object())
    return Document;
  if (const auto Operators = Document.find("operators");
      Operators != Document.end())
    redactKeys(*Operators);
  if (const auto Teams = Document.find("teams"); Teams != Document.end())
    for (json &Team : *Teams)
      redactKeys(Team);
  return Document;
}

} // namespace sardinerill
