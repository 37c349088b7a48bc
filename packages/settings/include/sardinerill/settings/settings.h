#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/base/logging.h"

#include <string>
#include <vector>

/// \file
/// The settings of a daemon process, read from a YAML file. Unknown, duplicate
/// and invalid entries are errors.

namespace sardinerill {

/// The settings of a daemon process; read once at the start.
struct Settings {
  std::string Vm;
  std::string Zone;

  std::string CallersAddress;
  unsigned CallersPort = 0;
  unsigned MaxBodyBytes = 1024 * 1024;
  unsigned MaxHeaderBytes = 16 * 1024;
  unsigned MaxConnections = 2500;
  /// Maximum time from the first to the last byte of a request, including its
  /// body.
  milliseconds RequestTimeout{10000};
  milliseconds IdleTimeout{60000};

  std::string OperatorsAddress;
  unsigned OperatorsPort = 0;
  /// File with a key that is accepted at the operators' endpoint as long as the
  /// fleet configuration contains no operator key; may be empty.
  std::string BootstrapKeyFile;

  std::string PeersAddress;
  unsigned PeersPort = 0;
  std::string PeersSecretFile;

  std::string PlatformAddress;
  unsigned PlatformPort = 0;
  milliseconds PlatformTimeout{500};
  unsigned PlatformCallsPerSecond = 60;

  /// How long keys are accepted after the fleet configuration was last
  /// confirmed as current.
  milliseconds KeyGracePeriod{10000};
  /// Maximum number of requests waiting in the queue of one pool.
  unsigned QueueLimit = 1000;
  /// Maximum number of bytes of request bodies in memory at the same time.
  unsigned MaxHeldBytes = 32U * 1024 * 1024;
  /// Maximum time from the stop signal until requests in flight are abandoned;
  /// includes NotReadyPeriod.
  milliseconds DrainTimeout{60000};
  /// Time between reporting "not ready" and closing the callers' listener, so
  /// that the load balancer can stop sending new connections.
  milliseconds NotReadyPeriod{1000};

  /// Minimum level of logged events when the daemon starts.
  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::KeyValue;
};

/// An error in a settings file.
struct SettingsError {
  std::string File;
  int Line = 0; ///< Starts at 1; 0 if the error has no line.
  std::string Message;

  /// \returns "file:line: message".
  std::string render() const;
  friend bool operator==(const SettingsError &,
                         const SettingsError &) = default;
};

/// The settings read from a file, and all errors found in it. The settings are
/// valid only if there are no errors.
struct SettingsResult {
  Settings Loaded;
  std::vector<SettingsError> Errors;
};

/// Parses \p Text as the content of a settings file.
/// \param File file name for error messages.
SettingsResult parseSettings(const std::string &File, const std::string &Text);

/// Reads the file at \p Path; a file that cannot be opened is reported as an
/// error.
SettingsResult loadSettings(const std::string &Path);

/// \returns one line per setting with its description, range, and its default
/// or "required", as printed by `sardinerilld --help-settings`.
std::string describeSettings();

} // namespace sardinerill
