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

/// Sets only the level, for example on SIGHUP.
void setLogLevel(LogLevel Level);
LogLevel currentLogLevel();

/// Writes all later events directly to standard output, at most
/// \p LinesPerSecond. Writing never blocks: if the reader of standard output is
/// slow, lines are dropped. The number of dropped lines is added to the next
/// line written. Errors are exempt from the rate limit.
void useRateLimitedOutput(int LinesPerSecond);

/// Logs one event.
/// \param Event name of the event, such as "request.refused".
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace sardinerill
