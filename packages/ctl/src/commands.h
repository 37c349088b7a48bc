#pragma once

#include "operatorclient.h"

#include <string>
#include <vector>

/// \file
/// The commands of sardinerillctl.

namespace sardinerill {

/// Exit codes of the program; part of its interface to scripts.
enum ExitCode {
  ExitSuccess = 0,
  ExitUsage = 2,      ///< Invalid arguments or fleet file.
  ExitRefused = 3,    ///< The daemon rejected the request.
  ExitPending = 4,    ///< Committed, but not yet in force at every daemon.
  ExitUnreachable = 5 ///< No response from the daemon.
};

/// The parsed command line.
struct Invocation {
  std::vector<std::string> Positional; ///< The command and its arguments.
  std::string File;
  std::string Team;
  std::string Id;
  bool AsJson = false;
};

/// \returns a help text with one line per command.
std::string describeCommands();

/// \returns a completion script for bash.
std::string bashCompletion();

/// Runs the command given in \p Args.
/// \returns the exit code.
int runCommand(OperatorClient &Client, const Invocation &Args);

} // namespace sardinerill
