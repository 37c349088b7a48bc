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

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};

std::string_view nameOf(LogLevel Level) {
  return LevelNames[static_cast<std::size_t>(Level)];
}

std::string quoteIfNeeded(const std::string &Value) {
  bool Plain = !Value.empty();
  for (unsigned char Byte : Value)
    Plain = Plain && Byte > ' ' && Byte < 0x7f && Byte != '"' && Byte != '=';
  if (Plain)
    return Value;
  using nlohmann::json;
  return json(Value).dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string formatKeyValue(LogLevel Level, std::string_view Event,
                           std::initializer_list<LogField> Fields) {
  std::string Line = "level=";
  Line.append(nameOf(Level)).append(" event=").append(Event);
  for (const LogField &Field : Fields) {
    Line.append(" ").append(Field.Name).append("=");
    Line.append(quoteIfNeeded(Field.Value));
  }
  return Line;
}

std::string formatJson(LogLevel Level, std::string_view Event,
                       std::initializer_list<LogField> Fields) {
  nlohmann::ordered_json Line;
  Line["level"] = nameOf(Level);
  Line["event"] = Event;
  for (const LogField &Field : Fields)
    Line[std::string(Field.Name)] = Field.Value;
  return Line.dump(-1, ' ', true,
                   nlohmann::ordered_json::error_handler_t::replace);
}

/// Standard output with a rate; used by the one thread of a site's daemon.
class BoundedOutput {
public:
  void limit(int LinesPerSecond) { this->Rate = LinesPerSecond; }
  bool inUse() const { return this->Rate > 0; }

  void write(LogLevel Level, std::string Line) {
    timespec Now{};
    ::clock_gettime(CLOCK_REALTIME, &Now);
    if (Now.tv_sec != this->Second) {
      this->Second = Now.tv_sec;
      this->Written = 0;
    }
    if (Level != LogLevel::Error && this->Written >= this->Rate) {
      ++this->Dropped;
      return;
    }
    std::array<char, 40> Stamp{};
    tm Broken{};
    ::gmtime_r(&Now.tv_sec, &Broken);
    const std::size_t Length =
        std::strftime(Stamp.data(), Stamp.size(), "%FT%T", &Broken);
    std::snprintf(Stamp.data() + Length, Stamp.size() - Length, ".%03ldZ ",
                  Now.tv_nsec / 1000000);
    Line.insert(0, Stamp.data());
    if (this->Dropped > 0)
      Line += " dropped_before=" + std::to_string(this->Dropped);
    Line += '\n';
    pollfd Ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    const bool Writable = Line.size() <= PIPE_BUF &&
                          ::poll(&Ready, 1, 0) == 1 &&
                          ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
                              ssize_t(Line.size());
    this->Dropped = Writable ? 0 : this->Dropped + 1;
    ++this->Written;
  }

private:
  int Rate = 0;
  time_t Second = 0;
  int Written = 0;
  std::uint64_t Dropped = 0;
};

BoundedOutput &boundedOutput() {
  static BoundedOutput Output;
  return Output;
}

} // namespace

void useBoundedOutput(int LinesPerSecond) {
  boundedOutput().limit(LinesPerSecond);
}

void configureLogging(LogLevel Level, LogFormat NewFormat) {
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  Settings.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(Settings);
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
  if (boundedOutput().inUse())
    boundedOutput().write(Level, std::move(Line));
  else
    LOG(INFO) << Line;
}

} // namespace sardinerill
