#include "sardinerill/base/logging.h"

#include <array>
#include <atomic>
#include <climits>
#include <cstdio>
#include <ctime>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace sardinerill {

namespace {

std::atomic<LogLevel> Threshold{LogLevel::Info};
std::atomic<LogFormat> Format{LogFormat::KeyValue};

/// In the order of LogLevel.
constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};

std::string_view levelName(LogLevel Level) {
  return LevelNames[static_cast<std::size_t>(Level)];
}

std::string quoteIfNeeded(const std::string &Value) {
  bool NeedsNoQuotes = !Value.empty();
  for (unsigned char Character : Value)
    NeedsNoQuotes = NeedsNoQuotes && Character > ' ' && Character < 0x7f &&
                    Character != '"' && Character != '=';
  if (NeedsNoQuotes)
    return Value;
  using nlohmann::json;
  return json(Value).dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string formatKeyValue(LogLevel Level, std::string_view Event,
                           std::initializer_list<LogField> Fields) {
  std::string Line = "level=";
  Line.append(levelName(Level)).append(" event=").append(Event);
  for (const LogField &Field : Fields) {
    Line.append(" ").append(Field.Name).append("=");
    Line.append(quoteIfNeeded(Field.Value));
  }
  return Line;
}

std::string formatJson(LogLevel Level, std::string_view Event,
                       std::initializer_list<LogField> Fields) {
  nlohmann::ordered_json Line;
  Line["level"] = levelName(Level);
  Line["event"] = Event;
  for (const LogField &Field : Fields)
    Line[std::string(Field.Name)] = Field.Value;
  return Line.dump(-1, ' ', true,
                   nlohmann::ordered_json::error_handler_t::replace);
}

/// Writes log lines to standard output without blocking, up to a maximum rate.
/// Not thread-safe; only for processes that log from a single thread.
class RateLimitedOutput {
public:
  void setRate(int LinesPerSecond) { this->Rate = LinesPerSecond; }
  bool isEnabled() const { return this->Rate > 0; }

  void write(LogLevel Level, std::string Line) {
    timespec Now{};
    ::clock_gettime(CLOCK_REALTIME, &Now);
    if (Now.tv_sec != this->CurrentSecond) {
      this->CurrentSecond = Now.tv_sec;
      this->LinesInSecond = 0;
    }
    if (Level != LogLevel::Error && this->LinesInSecond >= this->Rate) {
      ++this->DroppedLines;
      return;
    }
    std::array<char, 40> Timestamp{};
    tm UtcTime{};
    ::gmtime_r(&Now.tv_sec, &UtcTime);
    const std::size_t Length =
        std::strftime(Timestamp.data(), Timestamp.size(), "%FT%T", &UtcTime);
    std::snprintf(Timestamp.data() + Length, Timestamp.size() - Length,
                  ".%03ldZ ", Now.tv_nsec / 1000000);
    Line.insert(0, Timestamp.data());
    if (this->DroppedLines > 0)
      Line += " dropped_before=" + std::to_string(this->DroppedLines);
    Line += '\n';
    // A pipe that polls as writable accepts up to PIPE_BUF bytes without
    // blocking.
    pollfd Descriptor{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    const bool IsWritten = Line.size() <= PIPE_BUF &&
                           ::poll(&Descriptor, 1, 0) == 1 &&
                           ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
                               ssize_t(Line.size());
    this->DroppedLines = IsWritten ? 0 : this->DroppedLines + 1;
    ++this->LinesInSecond;
  }

private:
  int Rate = 0;
  time_t CurrentSecond = 0;
  int LinesInSecond = 0;
  std::uint64_t DroppedLines = 0;
};

RateLimitedOutput &rateLimitedOutput() {
  static RateLimitedOutput Output;
  return Output;
}

} // namespace

void useRateLimitedOutput(int LinesPerSecond) {
  rateLimitedOutput().setRate(LinesPerSecond);
}

void configureLogging(LogLevel Level, LogFormat NewFormat) {
  el::Configurations Configuration;
  Configuration.setToDefault();
  Configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  Configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  Configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(Configuration);
  Threshold = Level;
  Format = NewFormat;
}

void setLogLevel(LogLevel Level) { Threshold = Level; }

LogLevel currentLogLevel() { return Threshold; }

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < Threshold.load(std::memory_order_relaxed))
    return;
  const bool AsJson = Format == LogFormat::Json;
  std::string Line = AsJson ? formatJson(Level, Event, Fields)
                            : formatKeyValue(Level, Event, Fields);
  if (rateLimitedOutput().isEnabled())
    rateLimitedOutput().write(Level, std::move(Line));
  else
    LOG(INFO) << Line; // The line already contains its level.
}

} // namespace sardinerill
