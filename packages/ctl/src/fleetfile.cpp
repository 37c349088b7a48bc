#include "fleetfile.h"

#include "sardinerill/fleet/fleetdocument.h"

#include <array>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace sardinerill {

using nlohmann::json;

namespace {

/// A field of the fleet configuration that is maintained by the daemons.
struct MaintainedField {
  const char *Section;
  const char *Field;
};

/// Fields that fleet files do not contain; applying a file preserves them.
constexpr std::array<MaintainedField, 10> MaintainedFields{{
    {"teams", "keys"},
    {"teams", "ceilingVersion"},
    {"pools", "slotsVersion"},
    {"pools", "generation"},
    {"pools", "rolloutPaused"},
    {"vms", "state"},
    {"vms", "generation"},
    {"vms", "poolVersion"},
    {"vms", "drainVersion"},
    {"vms", "bootsBefore"},
}};

json convertScalar(const YAML::Node &Node) {
  const std::string &Text = Node.Scalar();
  // yaml-cpp tags quoted scalars with "!"; they are always strings.
  if (Node.Tag() != "!") {
    if (Text == "true" || Text == "false")
      return Text == "true";
    json Parsed = json::parse(Text, nullptr, false);
    if (Parsed.is_number())
      return Parsed;
  }
  return Text;
}

json convert(const YAML::Node &Node) {
  if (Node.IsScalar())
    return convertScalar(Node);
  if (Node.IsSequence()) {
    json List = json::array();
    for (const YAML::Node &Entry : Node)
      List.push_back(convert(Entry));
    return List;
  }
  if (!Node.IsMap())
    return json();
  json Object = json::object();
  for (const auto &Entry : Node) {
    const auto Name = Entry.first.as<std::string>();
    if (Object.contains(Name))
      throw YAML::Exception(Entry.first.Mark(),
                            "\"" + Name + "\" is given more than once");
    Object[Name] = convert(Entry.second);
  }
  return Object;
}

/// Copies the fields maintained by the daemons of one entry from \p Old to \p
/// New.
void copyMaintainedFields(const std::string &Section, const json &Old,
                          json &New) {
  for (const MaintainedField &Row : MaintainedFields)
    if (Section == Row.Section && Old.contains(Row.Field))
      New[Row.Field] = Old[Row.Field];
}

/// Preserves a pending move, and replaces a change of a VM's pool by a move,
/// because the VM must be drained before it changes its pool.
void convertPoolChangeToMove(const json &Old, json &New) {
  if (Old.contains("moveTo"))
    New["moveTo"] = Old["moveTo"];
  if (!Old.contains("pool") || New.value("pool", json("")) == Old["pool"])
    return;
  New["moveTo"] = New["pool"];
  New["pool"] = Old["pool"];
}

void appendDiff(std::ostringstream &Out, const std::string &Path,
                const json &Before, const json &Patch) {
  if (!Patch.is_object()) {
    const std::string Old = Before.is_null() ? "(none)" : Before.dump();
    const std::string New = Patch.is_null() ? "(removed)" : Patch.dump();
    Out << Path << ": " << Old << " -> " << New << "\n";
    return;
  }
  for (const auto &[Name, Value] : Patch.items()) {
    const json Old = Before.is_object() ? Before.value(Name, json()) : json();
    std::string FullPath = Path.empty() ? Name : Path;
    if (!Path.empty())
      FullPath.append(".").append(Name);
    appendDiff(Out, FullPath, Old, Value);
  }
}

} // namespace

Result<json> parseFleetFile(const std::string &Text) {
  try {
    json Document = convert(YAML::Load(Text));
    if (!Document.is_object())
      return makeError(ErrorKind::ConfigInvalid, "must be a map");
    return Document;
  } catch (const YAML::Exception &Exception) {
    return makeError(ErrorKind::ConfigInvalid,
                     "line " + std::to_string(Exception.mark.line + 1) + ": " +
                         Exception.msg);
  }
}

json computePatch(const json &Current, const json &Desired) {
  json Target = Desired;
  if (Current.contains("operators") && !Target.contains("operators"))
    Target["operators"] = Current["operators"];
  for (auto &[Section, Entries] : Target.items()) {
    if (!Entries.is_object() || !Current.contains(Section))
      continue;
    for (auto &[Name, Entry] : Entries.items()) {
      if (!Entry.is_object() || !Current[Section].contains(Name))
        continue;
      copyMaintainedFields(Section, Current[Section][Name], Entry);
      if (Section == "vms")
        convertPoolChangeToMove(Current[Section][Name], Entry);
    }
  }
  return diffDocuments(Current, Target);
}

std::string renderDiff(const json &Current, const json &Patch) {
  std::ostringstream Out;
  appendDiff(Out, "", Current, Patch);
  return Out.str();
}

json makePatch(const std::string &Path, const std::string &Value) {
  json Parsed = json::parse(Value, nullptr, false);
  if (Parsed.is_discarded())
    Parsed = Value;
  std::istringstream Stream(Path);
  std::vector<std::string> Names;
  for (std::string Name; std::getline(Stream, Name, '.');)
    Names.push_back(Name);
  for (auto Name = Names.rbegin(); Name != Names.rend(); ++Name)
    Parsed = json{{*Name, Parsed}};
  return Parsed;
}

} // namespace sardinerill
