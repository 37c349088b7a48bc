#include "sardinerill/settings/settings.h"

#include "settingstable.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace sardinerill {

namespace {

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};
constexpr std::array<std::string_view, 2> FormatNames{"keyvalue", "json"};
constexpr std::size_t MaxNameBytes = 100;
constexpr std::size_t MinSecretBytes = 16;

int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

std::string fullName(const SettingRow &Row) {
  return std::string(Row.Section) + "." + std::string(Row.Name);
}

/// Reads one file; every fault is kept.
class SettingsReader {
public:
  explicit SettingsReader(std::string File) : File(std::move(File)) {}

  SettingsOutcome read(const std::string &Text) {
    try {
      this->readDocument(YAML::Load(Text));
    } catch (const YAML::Exception &Fault) {
      this->fault(Fault.mark.line + 1, Fault.msg);
    }
    std::stable_sort(this->Outcome.Faults.begin(), this->Outcome.Faults.end(),
                     [](const SettingsFault &A, const SettingsFault &B) {
                       return A.Line < B.Line;
                     });
    return std::move(this->Outcome);
  }

private:
  void fault(int Line, const std::string &Message) {
    this->Outcome.Faults.push_back(SettingsFault{this->File, Line, Message});
  }

  void readDocument(const YAML::Node &Document) {
    if (!Document.IsMap()) {
      this->fault(1, "must be a map of sections");
      return;
    }
    this->findUnknown(Document);
    for (const SettingRow &Row : settingsTable())
      this->readRow(Document, Row);
    this->checkPorts(Document);
  }

  void findUnknown(const YAML::Node &Document) {
    std::set<std::string> Sections;
    std::set<std::string> Names;
    for (const SettingRow &Row : settingsTable()) {
      Sections.emplace(Row.Section);
      Names.insert(fullName(Row));
    }
    std::set<std::string> Seen;
    for (const auto &Section : Document) {
      const auto Name = Section.first.as<std::string>();
      if (!Sections.contains(Name)) {
        this->fault(lineOf(Section.first), "unknown section \"" + Name + "\"");
        continue;
      }
      if (!Seen.insert(Name).second)
        this->fault(lineOf(Section.first),
                    "section \"" + Name + "\" stands twice");
      this->findUnknownIn(Section.second, Name, Names);
    }
  }

  void findUnknownIn(const YAML::Node &Section, const std::string &Name,
                     const std::set<std::string> &Known) {
    if (!Section.IsMap()) {
      this->fault(lineOf(Section), "\"" + Name + "\" must be a map");
      return;
    }
    std::set<std::string> Seen;
    for (const auto &Entry : Section) {
      const std::string Full = Name + "." + Entry.first.as<std::string>();
      if (!Known.contains(Full))
        this->fault(lineOf(Entry.first), "unknown setting \"" + Full + "\"");
      if (!Seen.insert(Full).second)
        this->fault(lineOf(Entry.first), "\"" + Full + "\" stands twice");
    }
  }

  void readRow(const YAML::Node &Document, const SettingRow &Row) {
    const YAML::Node Section = Document[std::string(Row.Section)];
    const bool HasSection = Section && Section.IsMap();
    const YAML::Node Value =
        HasSection ? Section[std::string(Row.Name)] : YAML::Node();
    if (!HasSection || !Value) {
      if (Row.Required)
        this->fault(HasSection ? lineOf(Section) : 0,
                    "\"" + fullName(Row) +
                        "\" is missing: " + std::string(Row.Help));
      return;
    }
    if (!Value.IsScalar()) {
      this->fault(lineOf(Value), "\"" + fullName(Row) + "\" must be one value");
      return;
    }
    std::visit([&](auto Member) { this->store(Row, Value, Member); },
               Row.Member);
  }

  void store(const SettingRow &Row, const YAML::Node &Value,
             std::string Settings::*Member) {
    const auto Text = Value.as<std::string>();
    if (Row.Form == TextForm::IpAddress) {
      boost::system::error_code Bad;
      boost::asio::ip::make_address(Text, Bad);
      if (Bad)
        this->fault(lineOf(Value), "\"" + fullName(Row) +
                                       "\" must be an IP address, not \"" +
                                       Text + "\"");
    }
    if (Row.Form == TextForm::Name &&
        (Text.empty() || Text.size() > MaxNameBytes ||
         Text.find_first_of("#/ \t\n") != std::string::npos))
      this->fault(lineOf(Value), "\"" + fullName(Row) +
                                     "\" must be a name without blanks, '#' "
                                     "or '/'");
    this->Outcome.Read.*Member = Text;
  }

  void store(const SettingRow &Row, const YAML::Node &Value,
             unsigned Settings::*Member) {
    this->Outcome.Read.*Member = this->number(Row, Value);
  }

  void store(const SettingRow &Row, const YAML::Node &Value,
             milliseconds Settings::*Member) {
    this->Outcome.Read.*Member = milliseconds(this->number(Row, Value));
  }

  void store(const SettingRow &Row, const YAML::Node &Value,
             LogLevel Settings::*Member) {
    this->Outcome.Read.*Member =
        static_cast<LogLevel>(this->choice(Row, Value, LevelNames));
  }

  void store(const SettingRow &Row, const YAML::Node &Value,
             LogFormat Settings::*Member) {
    this->Outcome.Read.*Member =
        static_cast<LogFormat>(this->choice(Row, Value, FormatNames));
  }

  unsigned number(const SettingRow &Row, const YAML::Node &Value) {
    std::uint64_t Number = 0;
    const auto Text = Value.as<std::string>();
    const bool Digits =
        !Text.empty() && Text.size() < 12 &&
        Text.find_first_not_of("0123456789") == std::string::npos;
    if (Digits)
      Number = std::stoull(Text);
    if (!Digits || Number < Row.Low || Number > Row.High)
      this->fault(lineOf(Value),
                  "\"" + fullName(Row) + "\" must be a whole number from " +
                      std::to_string(Row.Low) + " to " +
                      std::to_string(Row.High) + ", not \"" + Text + "\"");
    return static_cast<unsigned>(Number);
  }

  template <std::size_t Size>
  std::size_t choice(const SettingRow &Row, const YAML::Node &Value,
                     const std::array<std::string_view, Size> &Names) {
    const auto Text = Value.as<std::string>();
    const auto *Found = std::find(Names.begin(), Names.end(), Text);
    if (Found != Names.end())
      return static_cast<std::size_t>(Found - Names.begin());
    this->fault(lineOf(Value), "\"" + fullName(Row) + "\" must be " +
                                   std::string(Row.Help) + ", not \"" + Text +
                                   "\"");
    return 0;
  }

  void checkPorts(const YAML::Node &Document) {
    std::map<std::string, std::string> Users;
    for (const char *Section : {"callers", "operators", "peers"}) {
      const YAML::Node Door = Document[Section];
      if (!Door || !Door.IsMap() || !Door["port"] || !Door["address"])
        continue;
      const std::string Endpoint = Door["address"].as<std::string>() + ":" +
                                   Door["port"].as<std::string>();
      const auto [Entry, Fresh] = Users.emplace(Endpoint, Section);
      if (!Fresh)
        this->fault(lineOf(Door["port"]), "port of \"" + std::string(Section) +
                                              "\" is already used by \"" +
                                              Entry->second + "\"");
    }
  }

  std::string File;
  SettingsOutcome Outcome;
};

/// Writes a setting's default as it would stand in a file.
struct RenderDefault {
  const Settings &Defaults;

  std::string operator()(std::string Settings::*Member) const {
    return this->Defaults.*Member;
  }
  std::string operator()(unsigned Settings::*Member) const {
    return std::to_string(this->Defaults.*Member);
  }
  std::string operator()(milliseconds Settings::*Member) const {
    return std::to_string((this->Defaults.*Member).count());
  }
  std::string operator()(LogLevel Settings::*Member) const {
    return std::string(
        LevelNames[static_cast<std::size_t>(this->Defaults.*Member)]);
  }
  std::string operator()(LogFormat Settings::*Member) const {
    return std::string(
        FormatNames[static_cast<std::size_t>(this->Defaults.*Member)]);
  }
};

/// Without a secret anyone could speak as a daemon.
void checkSecret(const std::string &File, SettingsOutcome &Outcome) {
  const std::string &Path = Outcome.Read.PeersSecretFile;
  if (Path.empty())
    return;
  std::ifstream Stream(Path);
  std::string Secret;
  std::getline(Stream, Secret);
  if (Secret.size() < MinSecretBytes)
    Outcome.Faults.push_back({File, 0,
                              "\"peers.secretFile\": the first line of " +
                                  Path + " must be a secret of at least " +
                                  std::to_string(MinSecretBytes) + " letters"});
}

} // namespace

std::string SettingsFault::render() const {
  std::string Place = this->File;
  if (this->Line > 0)
    Place += ":" + std::to_string(this->Line);
  return Place + ": " + this->Message;
}

SettingsOutcome parseSettings(const std::string &File,
                              const std::string &Text) {
  return SettingsReader(File).read(Text);
}

SettingsOutcome loadSettings(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return SettingsOutcome{{}, {{Path, 0, "can't be opened"}}};
  std::ostringstream Text;
  Text << Stream.rdbuf();
  SettingsOutcome Outcome = parseSettings(Path, Text.str());
  checkSecret(Path, Outcome);
  return Outcome;
}

std::string describeSettings() {
  const Settings Defaults;
  std::ostringstream Out;
  for (const SettingRow &Row : settingsTable()) {
    Out << fullName(Row) << ": " << Row.Help;
    if (Row.High > 0)
      Out << " (" << Row.Low << " to " << Row.High << ")";
    if (Row.Required)
      Out << ", required";
    else
      Out << ", default " << std::visit(RenderDefault{Defaults}, Row.Member);
    Out << "\n";
  }
  return Out.str();
}

} // namespace sardinerill
