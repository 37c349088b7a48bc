#pragma once

#include <memory>
#include <string>

/// \file
/// HTTP server of the operators' API, based on the cxxtools HTTP server.

namespace sardinerill {

/// A request of an operator.
struct OperatorRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Key; ///< From "Authorization: Bearer"; empty if absent.
  std::string Body;
};

/// The response to an operator's request.
struct OperatorResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Handles operators' requests. Called on the server's threads; may block.
class IOperatorHandler {
public:
  virtual ~IOperatorHandler() = default;
  virtual OperatorResponse handle(const OperatorRequest &Call) = 0;
};

/// Listening address and limits.
struct OperatorServerOptions {
  std::string Address;
  unsigned short Port = 0;
  std::size_t MaxBodyBytes = 4 * 1024 * 1024;
  unsigned MaxThreads = 16;
};

/// Serves operators on a port and threads of its own, so that load from callers
/// cannot block operators.
class OperatorServer {
public:
  OperatorServer(OperatorServerOptions Options, IOperatorHandler &Handler);
  ~OperatorServer();

  /// Starts to listen and serve on a new thread.
  /// \returns an empty string, or the reason why listening failed.
  std::string start();
  /// Ends the event loop, waits for its thread, and destroys the server.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace sardinerill
