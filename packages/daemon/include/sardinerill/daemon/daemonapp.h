#pragma once

#include "sardinerill/settings/settings.h"

#include <memory>

/// \file
/// One daemon: every module wired together.

namespace sardinerill {

/// Runs until a signal stops it.
class DaemonApp {
public:
  explicit DaemonApp(Settings Config);
  ~DaemonApp();

  /// \returns the exit code: 0 after a planned stop, 1 if a door could not be
  /// opened or requests had to be cut off.
  int run();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace sardinerill
