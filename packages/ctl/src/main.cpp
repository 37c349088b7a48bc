#include "commands.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace sardinerill;

namespace {

std::string readKey(const std::string &Path) {
  if (Path.empty()) {
    const char *Given = std::getenv("SARDINERILL_KEY");
    return Given == nullptr ? "" : Given;
  }
  std::ifstream Stream(Path);
  std::string Key;
  std::getline(Stream, Key);
  return Key;
}

/// Splits "address:port". \returns false if it has no such form.
bool parseServer(const std::string &Text, OperatorClientOptions &Into) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  Into.Address = Text.substr(0, Colon);
  const unsigned long Port =
      std::strtoul(Text.c_str() + Colon + 1, nullptr, 10);
  Into.Port = static_cast<unsigned short>(Port);
  return Port > 0 && Port <= 65535;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    TCLAP::CmdLine Line(
        "sardinerillctl, the operators' client.\n\nCommands:\n" +
            describeCommands(),
        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> Server("s", "server",
                                        "operators' door of any daemon", false,
                                        "127.0.0.1:8081", "address:port", Line);
    TCLAP::ValueArg<std::string> KeyFile(
        "k", "key-file", "file with your key; else SARDINERILL_KEY is read",
        false, "", "file", Line);
    TCLAP::ValueArg<std::string> Output("o", "output", "table or json", false,
                                        "table", "form", Line);
    TCLAP::ValueArg<std::string> File("f", "file", "fleet file in YAML", false,
                                      "", "file", Line);
    TCLAP::ValueArg<std::string> Team("", "team", "team of a key", false, "",
                                      "team", Line);
    TCLAP::ValueArg<std::string> Id("", "id", "name of a key", false, "", "id",
                                    Line);
    TCLAP::UnlabeledMultiArg<std::string> Words("command", "what to do", false,
                                                "command", Line);
    Line.parse(Count, Arguments);
    const std::vector<std::string> &Given = Words.getValue();
    if (Given.size() == 2 && Given[0] == "completion" && Given[1] == "bash") {
      std::cout << bashCompletion();
      return ExitDone;
    }
    OperatorClientOptions Options;
    Options.Key = readKey(KeyFile.getValue());
    if (!parseServer(Server.getValue(), Options)) {
      std::cerr << "sardinerillctl: --server is address:port\n";
      return ExitUsage;
    }
    OperatorClient Client(Options);
    return runCommand(Client,
                      Invocation{Given, File.getValue(), Team.getValue(),
                                 Id.getValue(), Output.getValue() == "json"});
  } catch (const TCLAP::ArgException &Fault) {
    std::cerr << "sardinerillctl: " << Fault.error() << " " << Fault.argId()
              << "\n";
    return ExitUsage;
  }
}
