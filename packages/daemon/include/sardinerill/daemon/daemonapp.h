#pragma once

#include "sardinerill/settings/settings.h"

#include <memory>

/// \file
/// The daemon process: creates all modules and connects them.

namespace sardinerill {

/// The entry VM daemon. Runs until it receives SIGTERM or SIGINT; SIGHUP
/// switches between the configured log level and debug.
class DaemonApp {
public:
  explicit DaemonApp(Settings Config);
  ~DaemonApp();

  /// \returns the exit code: 0 after a graceful shutdown, 1 if an endpoint
  /// could not be opened or the drain timed out with requests in flight.
  int run();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace sardinerill
