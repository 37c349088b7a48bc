#pragma once

#include "sardinerill/http/httptypes.h"

#include <functional>
#include <memory>

/// \file
/// HTTP/1.1 server with limits on message sizes and a graceful shutdown.

namespace sardinerill {

/// Limits that can be changed while the server runs.
struct HttpServerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 1024 * 1024;
  /// Time from the first bytes of a request until all of it has arrived,
  /// including the body.
  Duration RequestTimeout = seconds(3);
  /// Longest wait for the first bytes of a request on an open connection.
  Duration IdleTimeout = seconds(15);
};

/// Handles one request and returns its response.
using HttpHandler = std::function<Async<HttpResponse>(HttpRequest)>;

class HttpServer {
public:
  /// Starts to accept connections on \p ListenEndpoint.
  /// \throws boost::system::system_error if the endpoint can't be bound.
  HttpServer(boost::asio::any_io_executor Executor,
             const Endpoint &ListenEndpoint, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void setLimits(HttpServerLimits Limits);
  /// From now on closes each connection after its next response, which
  /// announces this with "Connection: close".
  void startDrain();
  /// Stops accepting connections and closes the idle ones. Requests in flight
  /// are still completed.
  void stopAccepting();
  /// \returns the number of requests that are being handled or whose response
  /// is being written.
  std::size_t requestsInFlight() const;
  unsigned short port() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace sardinerill
