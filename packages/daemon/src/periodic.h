#pragma once

#include "sardinerill/base/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

/// \file
/// Work done again and again on the deciding thread.

namespace sardinerill {

/// Calls a function at an interval until it is destroyed or stopped.
class Periodic {
public:
  Periodic(boost::asio::io_context &Loop, Duration Interval,
           std::function<void()> Work)
      : Timer(Loop), Interval(Interval), Work(std::move(Work)) {
    this->arm();
  }

  void stop() {
    this->Stopped = true;
    this->Timer.cancel();
  }

private:
  void arm() {
    this->Timer.expires_after(this->Interval);
    this->Timer.async_wait([this](const boost::system::error_code &Failed) {
      if (Failed || this->Stopped)
        return;
      this->Work();
      if (!this->Stopped)
        this->arm();
    });
  }

  boost::asio::steady_timer Timer;
  Duration Interval;
  std::function<void()> Work;
  bool Stopped = false;
};

} // namespace sardinerill
