#include "commands.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace sardinerill;

namespace {

std::string readKey(const std::string &Path) {
  if (Path.empty()) {
    const char *Value = std::getenv("SARDINERILL_KEY");
    return Value == nullptr ? "" : Value;
  }
  std::ifstream Stream(Path);
  std::string Key;
  std::getline(Stream, Key);
  return Key;
}

} // namespace

int main(int ArgumentCount, char **ArgumentValues) {
  try {
    TCLAP::CmdLine CommandLine(
        "sardinerillctl, the operators' client.\n\nCommands:\n" +
            describeCommands(),
        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> Server(
        "s", "server", "operators' endpoint of any daemon", false,
        "127.0.0.1:8081", "address:port", CommandLine);
    TCLAP::ValueArg<std::string> KeyFile(
        "k", "key-file",
        "file with your key; default: environment variable SARDINERILL_KEY",
        false, "", "file", CommandLine);
    TCLAP::ValueArg<std::string> Output("o", "output", "table or json", false,
                                        "table", "form", CommandLine);
    TCLAP::ValueArg<std::string> File("f", "file", "fleet file in YAML", false,
                                      "", "file", CommandLine);
    TCLAP::ValueArg<std::string> Team("", "team", "team of a key", false, "",
                                      "team", CommandLine);
    TCLAP::ValueArg<std::string> Id("", "id", "name of a key", false, "", "id",
                                    CommandLine);
    TCLAP::UnlabeledMultiArg<std::string> Positional(
        "command", "command and its arguments", false, "command", CommandLine);
    CommandLine.parse(ArgumentCount, ArgumentValues);
    const std::vector<std::string> &Arguments = Positional.getValue();
    if (Arguments.size() == 2 && Arguments[0] == "completion" &&
        Arguments[1] == "bash") {
      std::cout << bashCompletion();
      return ExitSuccess;
    }
    OperatorClientOptions Options;
    Options.Key = readKey(KeyFile.getValue());
    if (!parseServer(Server.getValue(), Options)) {
      std::cerr << "sardinerillctl: --server must be address:port\n";
      return ExitUsage;
    }
    CommandLineOptions CommandOptions{Arguments, File.getValue(),
                                      Team.getValue(), Id.getValue()};
    if (!parseOutput(Output.getValue(), CommandOptions)) {
      std::cerr << "sardinerillctl: --output must be table or json\n";
      return ExitUsage;
    }
    OperatorClient Client(Options);
    return runCommand(Client, CommandOptions);
  } catch (const TCLAP::ArgException &Exception) {
    std::cerr << "sardinerillctl: " << Exception.error() << " "
              << Exception.argId() << "\n";
    return ExitUsage;
  }
}
