#pragma once

#include "sardinerill/base/clock.h"

#include <utility> // Asio of Boost 1.74 needs it first with g++ 12 in C++20.

#include <boost/asio/awaitable.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

/// \file
/// Plain HTTP/1.1 messages, free of any protocol on top.

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

  /// \returns the value of the header \p Name, empty if there is none.
  std::string header(std::string_view Name) const;
};

struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Why a call brought no answer.
enum class HttpFault {
  Refused,    ///< Nothing listens at the address.
  NotSent,    ///< No connection in time: the peer has seen nothing.
  Unanswered, ///< Sent, at least in part: the peer may have acted on it.
};

/// An IPv4 address with a port.
struct Endpoint {
  std::string Address;
  unsigned short Port = 0;

  /// \returns the endpoint written as "ADDRESS:PORT"; port 0 if it is not.
  static Endpoint parse(std::string_view Text);
  std::string str() const;
  bool valid() const { return this->Port != 0; }
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace sardinerill
