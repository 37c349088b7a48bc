#pragma once

#include "sardinerill/http/httptypes.h"

#include <cstdint>
#include <memory>

/// \file
/// Client for one peer over a few kept connections.

namespace sardinerill {

struct HttpClientOptions {
  Endpoint Peer;
  /// Idle connections that are kept.
  std::size_t KeptConnections = 2;
  /// Longest answer that is read, in bytes.
  std::size_t BodyLimit = 8 * 1024 * 1024;
};

/// Sends each request exactly once; what may be repeated is for the caller to
/// decide. Every call has a time limit, since a connection can go silent.
class HttpClient {
public:
  HttpClient(boost::asio::any_io_executor Executor, HttpClientOptions Options);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \param Limit time from now until the answer must be complete.
  Async<tl::expected<HttpResponse, HttpFault>> call(HttpRequest Request,
                                                    Duration Limit);
  const Endpoint &peer() const;
  /// Closes the idle connections.
  void dropIdle();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace sardinerill
