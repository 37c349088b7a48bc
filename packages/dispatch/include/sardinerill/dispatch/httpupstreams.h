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

  void send(UpstreamRequest Request, Done Finished) override;
  void cancel(const VmEndpoint &Vm, const RequestId &Id) override;

private:
  struct Shared;
  class Exchange;

  void post(std::string Path, UpstreamRequest Request, Done Finished);

  std::shared_ptr<Shared> Inner;
};

} // namespace sardinerill
