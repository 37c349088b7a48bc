#pragma once

#include "sardinerill/base/logging.h"

#include <iostream>
#include <sstream>
#include <string>

/// \file
/// Captures log lines in tests.

namespace sardinerill {

/// \returns the log lines of level info and above that \p Call writes.
template <typename Callable> std::string captureLog(Callable Call) {
  configureLogging(LogLevel::Info, LogFormat::KeyValue);
  std::ostringstream Lines;
  std::streambuf *const Previous = std::cout.rdbuf(Lines.rdbuf());
  Call();
  std::cout.rdbuf(Previous);
  return Lines.str();
}

} // namespace sardinerill
