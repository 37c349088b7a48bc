#pragma once

#include "operatorclient.h"

#include <string>
#include <vector>

/// \file
/// The verbs of sardinerillctl.

namespace sardinerill {

/// Exit codes that scripts can go by.
enum ExitCode {
  ExitSuccess = 0,
  ExitUsage = 2,
  ExitRefused = 3,
  ExitPending = 4,
  ExitUnreachable = 5
};

/// One call of the program.
struct Invocation {
  std::vector<std::string> Positional;
  std::string File;
  std::string Team;
  std::string Id;
  bool AsJson = false;
};

/// \returns one line for each verb.
std::string describeCommands();

/// \returns a completion script for bash.
std::string bashCompletion();

/// Runs the verb that \p Wanted names.
/// \returns the exit code.
int runCommand(OperatorClient &Client, const Invocation &Args);

} // namespace sardinerill
