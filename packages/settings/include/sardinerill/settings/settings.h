#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/base/logging.h"

#include <string>
#include <vector>

/// \file
/// The settings of one process, read strictly from a YAML file.

namespace sardinerill {

/// Everything that a daemon is told at its start.
struct Settings {
  std::string Vm;
  std::string Zone;

  std::string CallersAddress;
  unsigned CallersPort = 0;
  unsigned MaxBodyBytes = 1024 * 1024;
  unsigned MaxHeaderBytes = 16 * 1024;
  unsigned MaxConnections = 2500;
  milliseconds RequestTimeout{10000};
  milliseconds IdleTimeout{60000};

  std::string OperatorsAddress;
  unsigned OperatorsPort = 0;
  /// File with a key that opens the operators' door while the fleet names no
  /// operator's key; may be empty.
  std::string BootstrapKeyFile;

  std::string PeersAddress;
  unsigned PeersPort = 0;
  std::string PeersSecretFile;

  std::string PlatformAddress;
  unsigned PlatformPort = 0;
  milliseconds PlatformTimeout{500};
  unsigned PlatformCallsPerSecond = 60;

  /// How long keys are honoured without proof that they are still in force.
  milliseconds KeyGracePeriod{10000};
  /// Requests that may wait in one pool's queue.
  unsigned QueueLimit = 1000;
  /// Bytes of bodies held at once.
  unsigned MaxHeldBytes = 32U * 1024 * 1024;
  /// How long a planned stop waits for requests in flight.
  milliseconds DrainTimeout{60000};
  /// Time between answering "not ready" and accepting nobody new, for the
  /// balancer to notice.
  milliseconds NotReadyPeriod{1000};

  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::KeyValue;
};

/// One fault of a settings file.
struct SettingsError {
  std::string File;
  int Line = 0; ///< Counted from 1; 0 where no line can be named.
  std::string Message;

  /// \returns "file:line: message".
  std::string render() const;
  friend bool operator==(const SettingsError &,
                         const SettingsError &) = default;
};

/// Settings, or every fault at once.
struct SettingsResult {
  Settings Loaded;
  std::vector<SettingsError> Errors;
};

/// Reads \p Text as the content of \p File.
SettingsResult parseSettings(const std::string &File, const std::string &Text);

/// Reads the file at \p Path; one that can't be opened is a fault.
SettingsResult loadSettings(const std::string &Path);

/// \returns a table of every setting with its unit, range and default, as
/// printed by `sardinerilld --help-settings`.
std::string describeSettings();

} // namespace sardinerill
