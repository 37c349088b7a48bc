#pragma once

#include "sardinerill/base/metrics.h"
#include "sardinerill/dispatch/iworkservice.h"
#include "sardinerill/jobs/ijobservice.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

/// \file
/// HTTP server of the callers' API (docs/openapi.yaml).

namespace sardinerill {

/// Listening address, and resource limits per connection and in total.
struct CallerServerOptions {
  std::string Address;
  unsigned short Port = 0;
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024 * 1024;
  std::size_t MaxConnections = 2500;
  /// Limit for receiving one complete request.
  milliseconds RequestTimeout{10000};
  /// Limit for an idle connection between requests.
  milliseconds IdleTimeout{60000};
};

/// Serves callers on the thread of the io_context, which also makes the
/// scheduling decisions. Uses Boost.Beast, which allows it to detect that a
/// caller disconnects while its request is processed, and to complete the
/// requests in flight before a planned shutdown.
class CallerServer {
public:
  /// \returns whether the daemon accepts work; shown to load balancers at
  /// /readyz.
  using ReadinessCheck = std::function<bool()>;

  CallerServer(boost::asio::io_context &Io, CallerServerOptions Options,
               IWorkService &Work, IJobService &Jobs, ReadinessCheck IsReady,
               Metrics &Stats);
  ~CallerServer();

  /// Starts to listen and accept connections.
  /// \returns an empty string, or the reason why listening failed.
  std::string start();
  /// \returns the port listened on.
  unsigned short port() const;
  /// Stops accepting connections and closes each existing one after its next
  /// response. Idle connections are closed after 1 s.
  void beginDrain();
  /// \returns whether all connections are closed.
  bool isDrained() const;

private:
  struct SharedState;
  class Session;

  void accept();

  std::shared_ptr<SharedState> State;
};

} // namespace sardinerill
