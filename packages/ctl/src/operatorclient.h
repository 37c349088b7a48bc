#pragma once

#include "sardinerill/base/errors.h"

#include <nlohmann/json.hpp>
#include <string>

/// \file
/// Calls to the operators' door, by the cxxtools client.

namespace sardinerill {

/// Where the door is and with what key it opens.
struct OperatorClientOptions {
  std::string Address;
  unsigned short Port = 0;
  std::string Key;
};

/// What came back; no status where the daemon could not be reached.
struct OperatorReply {
  unsigned Status = 0;
  nlohmann::json Body;
  std::string Text;
};

/// One connection a call, so that no call is sent twice.
class OperatorClient {
public:
  explicit OperatorClient(OperatorClientOptions Options)
      : Options(std::move(Options)) {}

  OperatorReply get(const std::string &Path, const std::string &Query = "");
  OperatorReply post(const std::string &Path, const nlohmann::json &Body);

private:
  OperatorReply call(const std::string &Method, const std::string &Path,
                     const std::string &Query, const std::string &Body);

  OperatorClientOptions Options;
};

} // namespace sardinerill
