#include "sardinerill/base/logging.h"

#include <array>
#include <atomic>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

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

} // namespace

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
  LOG(INFO) << Line;
}

} // namespace sardinerill
