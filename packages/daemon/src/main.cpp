#include "sardinerill/adapter/platformmain.h"
#include "sardinerill/daemon/daemonapp.h"
#include "sardinerill/settings/policyfile.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace sardinerill;

namespace {

constexpr int ExitInvalidSettings = 2;
constexpr const char *Version = "0.1.0";

int runDaemon(const std::string &Path, bool CheckOnly) {
  SettingsResult Parsed = loadSettings(Path);
  for (const SettingsError &Found : Parsed.Errors)
    std::cerr << Found.render() << "\n";
  if (!Parsed.Errors.empty())
    return ExitInvalidSettings;
  if (CheckOnly) {
    std::cout << Path << ": settings are valid\n";
    return 0;
  }
  configureLogging(Parsed.Loaded.Level, Parsed.Loaded.Format);
  return DaemonApp(std::move(Parsed.Loaded)).run();
}

int runSiteDaemon(const std::string &PolicyPath, bool CheckOnly) {
  site::SchedulingPolicy Policy;
  if (!PolicyPath.empty()) {
    const Result<site::SchedulingPolicy> Loaded = loadPolicy(PolicyPath);
    if (!Loaded) {
      std::cerr << Loaded.error().Detail << "\n";
      return ExitInvalidSettings;
    }
    Policy = *Loaded;
  }
  return site::adapter::runOnPlatform(Policy, CheckOnly);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    TCLAP::CmdLine CommandLine(
        "sardinerilld, the daemon that runs on each entry VM", ' ', Version);
    TCLAP::ValueArg<std::string> ConfigPath(
        "c", "config", "settings file in YAML", false,
        "/etc/sardinerill/daemon.yaml", "file", CommandLine);
    TCLAP::SwitchArg Check("", "check", "validate the settings file and exit",
                           CommandLine);
    TCLAP::SwitchArg Help("", "help-settings", "list all settings and exit",
                          CommandLine);
    TCLAP::SwitchArg OnPlatform(
        "", "platform",
        "run as site daemon: read the settings from the platform's node file "
        "and ignore --config",
        CommandLine);
    TCLAP::ValueArg<std::string> PolicyPath(
        "", "policy",
        "with --platform: YAML file with the switches of optional scheduling "
        "features; without it all are off",
        false, "", "file", CommandLine);
    CommandLine.parse(Count, Arguments);
    if (OnPlatform.getValue())
      return runSiteDaemon(PolicyPath.getValue(), Check.getValue());
    if (Help.getValue()) {
      std::cout << describeSettings();
      return 0;
    }
    return runDaemon(ConfigPath.getValue(), Check.getValue());
  } catch (const TCLAP::ArgException &Exception) {
    std::cerr << Exception.error() << " " << Exception.argId() << "\n";
    return ExitInvalidSettings;
  }
}
