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

/// In the order of LogLevel.
constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};
/// In the order of LogFormat.
constexpr std::array<std::string_view, 2> FormatNames{"keyvalue", "json"};
/// Same limit as in base/src/text.cpp.
constexpr std::size_t MaxNameBytes = 100;
constexpr std::size_t MinSecretBytes = 16;

int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

std::string fullName(const SettingDescriptor &Setting) {
  return std::string(Setting.Section) + "." + std::string(Setting.Name);
}

/// Parses one settings file and collects all errors instead of stopping at the
/// first one.
class SettingsReader {
public:
  explicit SettingsReader(std::string File) : File(std::move(File)) {}

  SettingsResult read(const std::string &Text) {
    try {
      this->readDocument(YAML::Load(Text));
    } catch (const YAML::Exception &Exception) {
      this->addError(Exception.mark.line + 1, Exception.msg);
    }
    std::stable_sort(this->Parsed.Errors.begin(), this->Parsed.Errors.end(),
                     [](const SettingsError &A, const SettingsError &B) {
                       return A.Line < B.Line;
                     });
    return std::move(this->Parsed);
  }

private:
  void addError(int Line, const std::string &Message) {
    this->Parsed.Errors.push_back(SettingsError{this->File, Line, Message});
  }

  void readDocument(const YAML::Node &Document) {
    if (!Document.IsMap()) {
      this->addError(1, "must be a map of sections");
      return;
    }
    this->checkSectionNames(Document);
    for (const SettingDescriptor &Setting : settingsTable())
      this->readSetting(Document, Setting);
    this->checkDuplicateEndpoints(Document);
  }

  /// Reports unknown and duplicate sections and settings.
  void checkSectionNames(const YAML::Node &Document) {
    std::set<std::string> Sections;
    std::set<std::string> Names;
    for (const SettingDescriptor &Setting : settingsTable()) {
      Sections.emplace(Setting.Section);
      Names.insert(fullName(Setting));
    }
    std::set<std::string> Seen;
    for (const auto &Section : Document) {
      const auto Name = Section.first.as<std::string>();
      if (!Sections.contains(Name)) {
        this->addError(lineOf(Section.first),
                       "unknown section \"" + Name + "\"");
        continue;
      }
      if (!Seen.insert(Name).second)
        this->addError(lineOf(Section.first),
                       "section \"" + Name + "\" is given more than once");
      this->checkSettingNames(Section.second, Name, Names);
    }
  }

  void checkSettingNames(const YAML::Node &Section, const std::string &Name,
                         const std::set<std::string> &Known) {
    if (!Section.IsMap()) {
      this->addError(lineOf(Section), "\"" + Name + "\" must be a map");
      return;
    }
    std::set<std::string> Seen;
    for (const auto &Entry : Section) {
      const std::string Full = Name + "." + Entry.first.as<std::string>();
      if (!Known.contains(Full))
        this->addError(lineOf(Entry.first), "unknown setting \"" + Full + "\"");
      if (!Seen.insert(Full).second)
        this->addError(lineOf(Entry.first),
                       "\"" + Full + "\" is given more than once");
    }
  }

  void readSetting(const YAML::Node &Document,
                   const SettingDescriptor &Setting) {
    const YAML::Node Section = Document[std::string(Setting.Section)];
    const bool HasSection = Section && Section.IsMap();
    const YAML::Node Value =
        HasSection ? Section[std::string(Setting.Name)] : YAML::Node();
    if (!HasSection || !Value) {
      if (Setting.Required)
        this->addError(HasSection ? lineOf(Section) : 0,
                       "\"" + fullName(Setting) +
                           "\" is missing: " + std::string(Setting.Help));
      return;
    }
    if (!Value.IsScalar()) {
      this->addError(lineOf(Value),
                     "\"" + fullName(Setting) + "\" must be a scalar value");
      return;
    }
    std::visit([&](auto Member) { this->store(Setting, Value, Member); },
               Setting.Member);
  }

  void store(const SettingDescriptor &Setting, const YAML::Node &Value,
             std::string Settings::*Member) {
    const auto Text = Value.as<std::string>();
    if (Setting.Format == TextFormat::IpAddress) {
      boost::system::error_code ParseError;
      boost::asio::ip::make_address(Text, ParseError);
      if (ParseError)
        this->addError(lineOf(Value), "\"" + fullName(Setting) +
                                          "\" must be an IP address, not \"" +
                                          Text + "\"");
    }
    if (Setting.Format == TextFormat::Name &&
        (Text.empty() || Text.size() > MaxNameBytes ||
         Text.find_first_of("#/ \t\n") != std::string::npos))
      this->addError(lineOf(Value), "\"" + fullName(Setting) +
                                        "\" must be a name of 1 to " +
                                        std::to_string(MaxNameBytes) +
                                        " bytes without blanks, '#' or '/'");
    this->Parsed.Loaded.*Member = Text;
  }

  void store(const SettingDescriptor &Setting, const YAML::Node &Value,
             unsigned Settings::*Member) {
    this->Parsed.Loaded.*Member = this->parseNumber(Setting, Value);
  }

  void store(const SettingDescriptor &Setting, const YAML::Node &Value,
             milliseconds Settings::*Member) {
    this->Parsed.Loaded.*Member =
        milliseconds(this->parseNumber(Setting, Value));
  }

  void store(const SettingDescriptor &Setting, const YAML::Node &Value,
             LogLevel Settings::*Member) {
    this->Parsed.Loaded.*Member =
        static_cast<LogLevel>(this->parseChoice(Setting, Value, LevelNames));
  }

  void store(const SettingDescriptor &Setting, const YAML::Node &Value,
             LogFormat Settings::*Member) {
    this->Parsed.Loaded.*Member =
        static_cast<LogFormat>(this->parseChoice(Setting, Value, FormatNames));
  }

  unsigned parseNumber(const SettingDescriptor &Setting,
                       const YAML::Node &Value) {
    std::uint64_t Number = 0;
    const auto Text = Value.as<std::string>();
    // 11 digits fit into the result of std::stoull and exceed all limits in the
    // table.
    const bool IsNumber =
        !Text.empty() && Text.size() < 12 &&
        Text.find_first_not_of("0123456789") == std::string::npos;
    if (IsNumber)
      Number = std::stoull(Text);
    if (!IsNumber || Number < Setting.Min || Number > Setting.Max)
      this->addError(lineOf(Value), "\"" + fullName(Setting) +
                                        "\" must be a whole number from " +
                                        std::to_string(Setting.Min) + " to " +
                                        std::to_string(Setting.Max) +
                                        ", not \"" + Text + "\"");
    return static_cast<unsigned>(Number);
  }

  template <std::size_t Size>
  std::size_t parseChoice(const SettingDescriptor &Setting,
                          const YAML::Node &Value,
                          const std::array<std::string_view, Size> &Names) {
    const auto Text = Value.as<std::string>();
    const auto *Found = std::find(Names.begin(), Names.end(), Text);
    if (Found != Names.end())
      return static_cast<std::size_t>(Found - Names.begin());
    this->addError(lineOf(Value), "\"" + fullName(Setting) + "\" must be " +
                                      std::string(Setting.Help) + ", not \"" +
                                      Text + "\"");
    return 0;
  }

  /// Reports listeners with the same address and port. Addresses are compared
  /// as text: a wildcard address does not match a specific one.
  void checkDuplicateEndpoints(const YAML::Node &Document) {
    std::map<std::string, std::string> SectionByEndpoint;
    for (const char *Section : {"callers", "operators", "peers"}) {
      const YAML::Node Listener = Document[Section];
      if (!Listener || !Listener.IsMap() || !Listener["port"] ||
          !Listener["address"])
        continue;
      const std::string Endpoint = Listener["address"].as<std::string>() + ":" +
                                   Listener["port"].as<std::string>();
      const auto [Entry, Inserted] =
          SectionByEndpoint.emplace(Endpoint, Section);
      if (!Inserted)
        this->addError(lineOf(Listener["port"]),
                       "port of \"" + std::string(Section) +
                           "\" is already used by \"" + Entry->second + "\"");
    }
  }

  std::string File;
  SettingsResult Parsed;
};

/// Formats the default of a setting in the syntax of a settings file.
struct DefaultRenderer {
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

/// Checks the length of the secret that daemons authenticate each other with.
/// With an empty or guessable secret, any process could impersonate a daemon.
void checkPeerSecret(const std::string &SettingsFile, SettingsResult &Parsed) {
  const std::string &SecretFile = Parsed.Loaded.PeersSecretFile;
  if (SecretFile.empty())
    return;
  std::ifstream Stream(SecretFile);
  std::string Secret;
  std::getline(Stream, Secret);
  if (Secret.size() < MinSecretBytes)
    Parsed.Errors.push_back({SettingsFile, 0,
                             "\"peers.secretFile\": the first line of " +
                                 SecretFile + " must be a secret of at least " +
                                 std::to_string(MinSecretBytes) +
                                 " characters"});
}

} // namespace

std::string SettingsError::render() const {
  std::string Location = this->File;
  if (this->Line > 0)
    Location += ":" + std::to_string(this->Line);
  return Location + ": " + this->Message;
}

SettingsResult parseSettings(const std::string &File, const std::string &Text) {
  return SettingsReader(File).read(Text);
}

SettingsResult loadSettings(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return SettingsResult{{}, {{Path, 0, "cannot be opened"}}};
  std::ostringstream Text;
  Text << Stream.rdbuf();
  SettingsResult Parsed = parseSettings(Path, Text.str());
  checkPeerSecret(Path, Parsed);
  return Parsed;
}

std::string describeSettings() {
  const Settings Defaults;
  std::ostringstream Out;
  for (const SettingDescriptor &Setting : settingsTable()) {
    Out << fullName(Setting) << ": " << Setting.Help;
    if (Setting.Max > 0)
      Out << " (" << Setting.Min << " to " << Setting.Max << ")";
    if (Setting.Required)
      Out << ", required";
    else
      Out << ", default "
          << std::visit(DefaultRenderer{Defaults}, Setting.Member);
    Out << "\n";
  }
  return Out.str();
}

} // namespace sardinerill
