#pragma once

#include "sardinerill/http/httptypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

/// \file
/// HTTP/1.1 client for one peer that reuses connections.

namespace sardinerill {

struct HttpClientOptions {
  Endpoint Peer;
  /// Maximum number of idle connections kept for reuse.
  std::size_t MaxIdleConnections = 2;
  /// Bytes read in one turn of the event loop. Allocated for each call while it
  /// waits for its response.
  std::size_t ReadBufferBytes = 2 * 1024;
  /// How much longer than its time limit a call may last while parts of its
  /// response arrive, each within StallTimeout of the one before. A response
  /// that is given up and requested again never arrives on a slow link.
  Duration ExtraReceiveTime{};
  Duration StallTimeout = milliseconds(700);
  /// Maximum size of a response body, in bytes.
  std::size_t BodyLimit = 8 * 1024 * 1024;
};

/// Never resends a request: the caller decides whether a retry is safe. Every
/// call has a time limit, since a connection can stop delivering data without
/// being closed.
class HttpClient {
public:
  HttpClient(boost::asio::any_io_executor Executor, HttpClientOptions Options);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \param Timeout time from now within which the response must be complete,
  /// but for HttpClientOptions::ExtraReceiveTime.
  /// \param MaySend checked immediately before the request is written, since
  /// connecting takes time; if it returns false, the call fails with NotSent.
  /// \param NewestConnection if set, the request is sent only on an idle
  /// connection with at most this number; without one the call fails with
  /// NoConnection.
  Async<tl::expected<HttpResponse, HttpCallError>>
  call(HttpRequest Request, Duration Timeout,
       std::function<bool()> MaySend = nullptr,
       std::optional<ConnectionNumber> NewestConnection = std::nullopt);
  const Endpoint &peer() const;
  /// Closes the idle connections.
  void closeIdleConnections();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace sardinerill
