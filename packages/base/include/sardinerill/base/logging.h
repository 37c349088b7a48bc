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

/// Writes all later events straight to standard output, at most
/// \p LinesPerSecond; a reader that is slow costs lines, never time. What was
/// dropped is counted in a later line. Errors are never held to the rate.
void useBoundedOutput(int LinesPerSecond);

/// Writes one event.
/// \param Event short name of the event, such as "request.refused".
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace sardinerill
