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
       TextFormat::IpAddress, "IP address of the callers' door"},
      {"callers", "port", &S::CallersPort, Required, 1, MaxPort,
       TextFormat::Any, "port of the callers' door"},
      {"callers", "maxBodyBytes", &S::MaxBodyBytes, Optional, 1, 16 * MiB,
       TextFormat::Any, "largest body of a request"},
      {"callers", "maxHeaderBytes", &S::MaxHeaderBytes, Optional, 1024, MiB,
       TextFormat::Any, "largest header of a request"},
      {"callers", "maxConnections", &S::MaxConnections, Optional, 1, 20000,
       TextFormat::Any, "connections of callers held at once"},
      {"callers", "headerTimeoutMs", &S::RequestTimeout, Optional, 10, HourMs,
       TextFormat::Any, "longest time from a request's first byte to its last"},
      {"callers", "idleTimeoutMs", &S::IdleTimeout, Optional, 10, HourMs,
       TextFormat::Any, "how long an idle connection is kept"},
      {"operators", "address", &S::OperatorsAddress, Required, 0, 0,
       TextFormat::IpAddress, "IP address of the operators' door"},
      {"operators", "port", &S::OperatorsPort, Required, 1, MaxPort,
       TextFormat::Any, "port of the operators' door"},
      {"operators", "bootstrapKeyFile", &S::BootstrapKeyFile, Optional, 0, 0,
       TextFormat::Any,
       "file with the key that is good until the fleet names operators"},
      {"peers", "address", &S::PeersAddress, Required, 0, 0,
       TextFormat::IpAddress, "IP address of the other daemons' door"},
      {"peers", "port", &S::PeersPort, Required, 1, MaxPort, TextFormat::Any,
       "port of the other daemons' door"},
      {"peers", "secretFile", &S::PeersSecretFile, Required, 0, 0,
       TextFormat::Any, "file with the secret that all daemons share"},
      {"platform", "address", &S::PlatformAddress, Required, 0, 0,
       TextFormat::IpAddress, "IP address of the platform's service"},
      {"platform", "port", &S::PlatformPort, Required, 1, MaxPort,
       TextFormat::Any, "port of the platform's service"},
      {"platform", "timeoutMs", &S::PlatformTimeout, Optional, 10, 60000,
       TextFormat::Any, "longest wait for one call to the platform"},
      {"platform", "callsPerSecond", &S::PlatformCallsPerSecond, Optional, 1,
       1000, TextFormat::Any, "most calls to the platform in a second"},
      {"cutOff", "serveKeysForMs", &S::KeyGracePeriod, Optional, 0, HourMs,
       TextFormat::Any,
       "how long keys are honoured without proof that they are in force"},
      {"queue", "limit", &S::QueueLimit, Optional, 1, 100000, TextFormat::Any,
       "requests that may wait in one pool's queue"},
      {"queue", "maxHeldBytes", &S::MaxHeldBytes, Optional, 1024, 1024 * MiB,
       TextFormat::Any, "bytes of request bodies held at once"},
      {"stop", "drainTimeoutMs", &S::DrainTimeout, Optional, 100, HourMs,
       TextFormat::Any, "how long a planned stop waits for requests in flight"},
      {"stop", "notReadyForMs", &S::NotReadyPeriod, Optional, 0, 60000,
       TextFormat::Any,
       "time for the balancer to notice before the door closes"},
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
