#pragma once

#include "operatorclient.h"

#include <string>
#include <vector>

/// \file
/// The commands of sardinerillctl.

namespace sardinerill {

/// Exit codes of the program. Scripts depend on the values.
enum ExitCode {
  ExitSuccess = 0,
  ExitUsage = 2,      ///< Invalid arguments or fleet file.
  ExitRefused = 3,    ///< The daemon responded with an error.
  ExitPending = 4,    ///< Committed, but not yet in force at every daemon.
  ExitUnreachable = 5 ///< No response from the daemon.
};

/// The parsed command line.
struct CommandLineOptions {
  std::vector<std::string> Positional; ///< The command and its arguments.
  std::string File;
  std::string Team;
  std::string KeyName;
  bool AsJson = false;
};

/// Parses "address:port" into \p Options.
/// \returns false if the address is missing or the port is not a number from 1
/// to 65535.
bool parseServer(const std::string &Text, OperatorClientOptions &Options);

/// Parses "table" or "json" into \p Options.
/// \returns false if \p Text is something else.
bool parseOutput(const std::string &Text, CommandLineOptions &Options);

/// \returns a help text with one line per command.
std::string describeCommands();

/// \returns a completion script for bash.
std::string bashCompletion();

/// Runs the command given in \p Args.
/// \returns the exit code.
int runCommand(OperatorClient &Client, const CommandLineOptions &Args);

} // namespace sardinerill
