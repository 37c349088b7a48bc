#pragma once

#include "sardinerill/base/clock.h"

#include <utility> // Must precede Asio of Boost 1.74 with g++ 12 in C++20.

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

/// \file
/// HTTP/1.1 messages and endpoints, without any application protocol.

namespace sardinerill {

template <typename T> using Async = boost::asio::awaitable<T>;

struct HttpHeader {
  std::string Name;
  std::string Value;
  friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;

  /// \returns the value of the first header \p Name, ignoring case; empty if
  /// there is none.
  std::string header(std::string_view Name) const;
};

/// Numbers the connections of one client in the order in which they were made,
/// from 1.
using ConnectionNumber = std::int64_t;

struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  ConnectionNumber Connection = 0; ///< Which delivered it.
};

/// Reasons why a call got no complete response.
enum class HttpCallError {
  ConnectionRefused, ///< The peer refused the connection: nothing listens
                     ///< there.
  NotSent,      ///< No connection was made in time: the peer received nothing.
  NoConnection, ///< Nothing was sent: no open connection may be used.
  NoResponse,   ///< Sent at least in part: the peer may have acted on it.
};

/// An IPv4 address with a port.
struct Endpoint {
  std::string Address;
  unsigned short Port = 0;

  /// Parses "ADDRESS:PORT".
  /// \returns an endpoint with port 0 if \p Text has another form.
  static Endpoint parse(std::string_view Text);
  std::string str() const;
  bool isValid() const { return this->Port != 0; }
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace sardinerill
