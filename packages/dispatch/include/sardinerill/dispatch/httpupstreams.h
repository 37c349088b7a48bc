#pragma once

#include "sardinerill/dispatch/iupstreams.h"

#include <boost/asio/io_context.hpp>
#include <memory>

/// \file
/// HTTP client for upstream VMs.

namespace sardinerill {

/// HTTP client for the protocol of docs/UPSTREAM.md. A connection is reused
/// only after a reply that echoed the request id and left no unread bytes
/// behind. Not thread-safe: all calls are made on the thread that runs the
/// io_context.
class HttpUpstreams : public IUpstreams {
public:
  explicit HttpUpstreams(boost::asio::io_context &Io);
  ~HttpUpstreams() override;

  void send(UpstreamRequest Request, Callback OnDone) override;
  void cancel(const VmEndpoint &Vm, const RequestId &Id) override;

private:
  struct ConnectionPool;
  class Exchange;

  void post(std::string Path, UpstreamRequest Request, Callback OnDone);

  std::shared_ptr<ConnectionPool> Connections;
};

} // namespace sardinerill
