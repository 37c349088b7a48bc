#pragma once

#include "sardinerill/base/metrics.h"
#include "sardinerill/dispatch/iworkservice.h"
#include "sardinerill/jobs/ijobservice.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

/// \file
/// The callers' HTTP door (docs/openapi.yaml).

namespace sardinerill {

/// Limits that keep one caller from harming others.
struct CallerDoorOptions {
  std::string Address;
  unsigned short Port = 0;
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024 * 1024;
  std::size_t MaxConnections = 2500;
  milliseconds RequestTimeout{10000};
  milliseconds IdleTimeout{60000};
};

/// Serves callers on the deciding thread. Built on Boost.Beast: a caller that
/// hangs up while it waits is seen, and a planned stop cuts off no request
/// (docs/DECISIONS.md, "Callers' door").
class CallerDoor {
public:
  /// \returns whether the daemon can take work, for the balancer.
  using Ready = std::function<bool()>;

  CallerDoor(boost::asio::io_context &Io, CallerDoorOptions Options,
             IWorkService &Work, IJobService &Jobs, Ready IsReady,
             Metrics &Figures);
  ~CallerDoor();

  /// \returns an empty text, or why the door can't be opened.
  std::string open();
  unsigned short port() const;
  /// Accepts nobody new and closes each connection after its next answer; idle
  /// ones are closed after a short time.
  void beginDrain();
  /// \returns whether no connection is left.
  bool isEmpty() const;

private:
  struct Shared;
  class Session;

  void accept();

  std::shared_ptr<Shared> Inner;
};

} // namespace sardinerill
