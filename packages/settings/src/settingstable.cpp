#include "settingstable.h"

namespace sardinerill {

namespace {

constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MiB = 1024ULL * 1024;
constexpr std::uint64_t HourMs = 3600ULL * 1000;

constexpr bool Required = true;
constexpr bool Optional = false;

std::vector<SettingDescriptor> makeTable() {
  using S = Settings;
  return {
      {"daemon", "vm", &S::Vm, Required, 0, 0, TextFormat::Name,
       "name of the entry VM that this process runs on"},
      {"daemon", "zone", &S::Zone, Required, 0, 0, TextFormat::Name,
       "availability zone of the VM"},
      {"callers", "address", &S::CallersAddress, Required, 0, 0,
       TextFormat::IpAddress,
       "IP address that the callers' endpoint listens on"},
      {"callers", "port", &S::CallersPort, Required, 1, MaxPort,
       TextFormat::Any, "port that the callers' endpoint listens on"},
      {"callers", "maxBodyBytes", &S::MaxBodyBytes, Optional, 1, 16 * MiB,
       TextFormat::Any, "maximum size of a request body in bytes"},
      {"callers", "maxHeaderBytes", &S::MaxHeaderBytes, Optional, 1024, MiB,
       TextFormat::Any, "maximum size of a request header in bytes"},
      {"callers", "maxConnections", &S::MaxConnections, Optional, 1, 20000,
       TextFormat::Any, "maximum number of open connections of callers"},
      {"callers", "headerTimeoutMs", &S::RequestTimeout, Optional, 10, HourMs,
       TextFormat::Any,
       "maximum time from the first to the last byte of a request"},
      {"callers", "idleTimeoutMs", &S::IdleTimeout, Optional, 10, HourMs,
       TextFormat::Any, "time after which an idle connection is closed"},
      {"operators", "address", &S::OperatorsAddress, Required, 0, 0,
       TextFormat::IpAddress,
       "IP address that the operators' endpoint listens on"},
      {"operators", "port", &S::OperatorsPort, Required, 1, MaxPort,
       TextFormat::Any, "port that the operators' endpoint listens on"},
      {"operators", "bootstrapKeyFile", &S::BootstrapKeyFile, Optional, 0, 0,
       TextFormat::Any,
       "file with a key that is accepted until the fleet has an operator key"},
      {"peers", "address", &S::PeersAddress, Required, 0, 0,
       TextFormat::IpAddress,
       "IP address that the endpoint for other daemons listens on"},
      {"peers", "port", &S::PeersPort, Required, 1, MaxPort, TextFormat::Any,
       "port that the endpoint for other daemons listens on"},
      {"peers", "secretFile", &S::PeersSecretFile, Required, 0, 0,
       TextFormat::Any, "file with the secret shared by all daemons"},
      {"platform", "address", &S::PlatformAddress, Required, 0, 0,
       TextFormat::IpAddress, "IP address of the platform service"},
      {"platform", "port", &S::PlatformPort, Required, 1, MaxPort,
       TextFormat::Any, "port of the platform service"},
      {"platform", "timeoutMs", &S::PlatformTimeout, Optional, 10, 60000,
       TextFormat::Any, "timeout of a call to the platform"},
      {"platform", "callsPerSecond", &S::PlatformCallsPerSecond, Optional, 1,
       1000, TextFormat::Any,
       "maximum number of calls to the platform per second"},
      {"cutOff", "serveKeysForMs", &S::KeyGracePeriod, Optional, 0, HourMs,
       TextFormat::Any,
       "how long keys are accepted without confirmation that they are valid"},
      {"queue", "limit", &S::QueueLimit, Optional, 1, 100000, TextFormat::Any,
       "maximum number of requests waiting in the queue of a pool"},
      {"queue", "maxHeldBytes", &S::MaxHeldBytes, Optional, 1024, 1024 * MiB,
       TextFormat::Any, "maximum number of bytes of request bodies in memory"},
      {"stop", "drainTimeoutMs", &S::DrainTimeout, Optional, 100, HourMs,
       TextFormat::Any,
       "how long a graceful shutdown waits for requests in flight"},
      {"stop", "notReadyForMs", &S::NotReadyPeriod, Optional, 0, 60000,
       TextFormat::Any,
       "time from \"not ready\" until the callers' endpoint stops listening"},
      {"log", "level", &S::Level, Optional, 0, 0, TextFormat::Any,
       "debug, info, warning or error"},
      {"log", "format", &S::Format, Optional, 0, 0, TextFormat::Any,
       "keyvalue or json"},
  };
}

} // namespace

const std::vector<SettingDescriptor> &settingsTable() {
  static const std::vector<SettingDescriptor> Table = makeTable();
  return Table;
}

} // namespace sardinerill
