#include "sardinerill/settings/policyfile.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace sardinerill {

namespace {

using site::SchedulingPolicy;

constexpr const char *SectionName = "scheduling";

struct Switch {
  std::string_view Name;
  bool SchedulingPolicy::*Member;
};

constexpr std::array<Switch, 6> Switches{
    {{"divide-scarce-vms", &SchedulingPolicy::DivideScarceVms},
     {"learn-run-times", &SchedulingPolicy::LearnRunTimes},
     {"fair-shares", &SchedulingPolicy::FairShares},
     {"refuse-unservable", &SchedulingPolicy::RefuseUnservable},
     {"compare-upstream-speed", &SchedulingPolicy::CompareUpstreamSpeed},
     {"hand-over-when-cut-off", &SchedulingPolicy::HandOverWhenCutOff}}};

tl::unexpected<Error> invalid(const std::string &File, const YAML::Mark &Mark,
                              const std::string &Reason) {
  return makeError(ErrorKind::ConfigInvalid,
                   File + ":" + std::to_string(Mark.line + 1) + ": " + Reason);
}

Result<SchedulingPolicy> readSwitches(const std::string &File,
                                      const YAML::Node &Section) {
  SchedulingPolicy Policy;
  std::set<std::string> Seen;
  for (const auto &Entry : Section) {
    const auto Name = Entry.first.as<std::string>();
    const auto *Found =
        std::find_if(Switches.begin(), Switches.end(),
                     [&](const Switch &Each) { return Each.Name == Name; });
    if (Found == Switches.end())
      return invalid(File, Entry.first.Mark(),
                     "unknown key \"" + Name + "\" in \"scheduling\"");
    if (!Seen.insert(Name).second)
      return invalid(File, Entry.first.Mark(),
                     "\"" + Name + "\" is given more than once");
    bool Value = false;
    if (!Entry.second.IsScalar() ||
        !YAML::convert<bool>::decode(Entry.second, Value))
      return invalid(File, Entry.second.Mark(),
                     "\"" + Name + "\" must be true or false");
    Policy.*(Found->Member) = Value;
  }
  return Policy;
}

} // namespace

Result<SchedulingPolicy> parsePolicy(const std::string &File,
                                     const std::string &Text) {
  try {
    const YAML::Node Document = YAML::Load(Text);
    if (!Document.IsMap())
      return invalid(File, Document.Mark(), "must be a map of sections");
    SchedulingPolicy Policy;
    bool SectionSeen = false;
    for (const auto &Section : Document) {
      const auto Name = Section.first.as<std::string>();
      if (Name != SectionName)
        return invalid(File, Section.first.Mark(),
                       "unknown section \"" + Name + "\"");
      if (std::exchange(SectionSeen, true))
        return invalid(File, Section.first.Mark(),
                       "section \"" + Name + "\" is given more than once");
      if (!Section.second.IsMap())
        return invalid(File, Section.second.Mark(),
                       "\"" + Name + "\" must be a map");
      Result<SchedulingPolicy> Read = readSwitches(File, Section.second);
      if (!Read)
        return Read;
      Policy = *Read;
    }
    return Policy;
  } catch (const YAML::Exception &Exception) {
    return invalid(File, Exception.mark, Exception.msg);
  }
}

Result<SchedulingPolicy> loadPolicy(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return makeError(ErrorKind::ConfigInvalid, Path + " can't be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return parsePolicy(Path, Text.str());
}

} // namespace sardinerill
