#pragma once

#include "sardinerill/dispatch/iupstreams.h"

#include <boost/asio/io_context.hpp>
#include <memory>

/// \file
/// Upstream VMs over HTTP.

namespace sardinerill {

/// Speaks docs/UPSTREAM.md over Boost.Beast. A connection is used again only
/// after a reply that proved to be its own, with not a byte left over.
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
