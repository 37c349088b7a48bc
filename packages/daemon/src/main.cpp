#include "sardinerill/adapter/platformmain.h"
#include "sardinerill/daemon/daemonapp.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace sardinerill;

namespace {

constexpr int ExitBadSettings = 2;
constexpr const char *Version = "0.1.0";

int runDaemon(const std::string &Path, bool CheckOnly) {
  SettingsOutcome Outcome = loadSettings(Path);
  for (const SettingsFault &Fault : Outcome.Faults)
    std::cerr << Fault.render() << "\n";
  if (!Outcome.Faults.empty())
    return ExitBadSettings;
  if (CheckOnly) {
    std::cout << Path << ": good\n";
    return 0;
  }
  configureLogging(Outcome.Read.Level, Outcome.Read.Format);
  return DaemonApp(std::move(Outcome.Read)).run();
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    TCLAP::CmdLine Line("sardinerilld, the daemon of every entry VM", ' ',
                        Version);
    TCLAP::ValueArg<std::string> Path("c", "config", "settings file in YAML",
                                      false, "/etc/sardinerill/daemon.yaml",
                                      "file", Line);
    TCLAP::SwitchArg Check("", "check", "check the settings and exit", Line);
    TCLAP::SwitchArg Help("", "help-settings", "list every setting and exit",
                          Line);
    TCLAP::SwitchArg OnPlatform(
        "", "platform", "take the settings from the platform's node file",
        Line);
    Line.parse(Count, Arguments);
    if (OnPlatform.getValue())
      return site::adapter::runOnPlatform(Check.getValue());
    if (Help.getValue()) {
      std::cout << describeSettings();
      return 0;
    }
    return runDaemon(Path.getValue(), Check.getValue());
  } catch (const TCLAP::ArgException &Fault) {
    std::cerr << Fault.error() << " " << Fault.argId() << "\n";
    return ExitBadSettings;
  }
}
