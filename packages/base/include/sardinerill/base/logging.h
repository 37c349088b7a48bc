#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Structured logs: one event a line, written through easylogging++.

namespace sardinerill {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { KeyValue, Json };

/// One named value of an event.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Sets level and format of all later events. Safe from any thread.
void configureLogging(LogLevel Level, LogFormat Format);

/// Changes only the level, as on SIGHUP.
void setLogLevel(LogLevel Level);
LogLevel currentLogLevel();

/// Writes one event to standard error.
/// \param Event short name of the event, such as "request.refused".
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace sardinerill
