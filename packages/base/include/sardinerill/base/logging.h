#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Structured logging: one line per event, written through easylogging++.

namespace sardinerill {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { KeyValue, Json };

/// A named value that is logged with an event.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Sets the level and format of all later events. Thread-safe.
void configureLogging(LogLevel Level, LogFormat Format);

/// Sets only the level. Thread-safe.
void setLogLevel(LogLevel Level);
LogLevel currentLogLevel();

/// Writes all later events directly to standard output, at most
/// \p LinesPerSecond; errors are exempt from this limit. Writing never blocks:
/// lines of any level are dropped if standard output does not accept them at
/// once or if they are longer than PIPE_BUF. The next line that is written has
/// a field "dropped_before" with the number of dropped lines.
void useRateLimitedOutput(int LinesPerSecond);

/// Logs one event. Thread-safe, except after useRateLimitedOutput().
/// \param Event name of the event, such as "request.refused".
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace sardinerill
