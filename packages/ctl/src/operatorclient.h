#pragma once

#include "sardinerill/base/errors.h"

#include <nlohmann/json.hpp>
#include <string>

/// \file
/// HTTP client for the operators' endpoint, based on cxxtools.

namespace sardinerill {

/// Address of the operators' endpoint and the key to authenticate with.
struct OperatorClientOptions {
  std::string Address;
  unsigned short Port = 0;
  std::string Key;
};

/// The response to a call.
struct HttpReply {
  unsigned Status = 0; ///< HTTP status; 0 if there was no response.
  nlohmann::json Body; ///< The parsed body; is_discarded() if not JSON.
  std::string Text;    ///< The body as received, or the connection error.
};

/// Client for the operators' endpoint. Uses a new connection for each call:
/// a request on a reused connection that turns out to be closed might be
/// repeated, and a change must not be sent twice.
class OperatorClient {
public:
  explicit OperatorClient(OperatorClientOptions Options)
      : Options(std::move(Options)) {}

  HttpReply get(const std::string &Path, const std::string &Query = "");
  HttpReply post(const std::string &Path, const nlohmann::json &Body);

private:
  HttpReply call(const std::string &Method, const std::string &Path,
                 const std::string &Query, const std::string &Body);

  OperatorClientOptions Options;
};

} // namespace sardinerill
