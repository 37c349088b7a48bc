#pragma once

#include "sardinerill/http/httptypes.h"

#include <functional>
#include <memory>

/// \file
/// HTTP/1.1 server with bounded messages and a stop that cuts off nothing.

namespace sardinerill {

/// Limits that may change while the server runs.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 1024 * 1024;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
};

/// Answers one request.
using HttpHandler = std::function<Async<HttpResponse>(HttpRequest)>;

class HttpServer {
public:
  /// \throws boost::system::system_error if the endpoint can't be bound.
  HttpServer(boost::asio::any_io_executor Executor, const Endpoint &Where,
             HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void setLimits(HttpServerLimits Limits);
  /// From now on each answer asks its client to close the connection.
  void startDrain();
  /// Accepts no further connections and closes the idle ones.
  void stopAccepting();
  /// \returns how many requests are being read, handled or answered.
  std::size_t requestsInFlight() const;
  unsigned short port() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace sardinerill
