#pragma once

#include "sardinerill/base/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

/// \file
/// Repeating timer for the event loop thread.

namespace sardinerill {

/// Calls a function repeatedly, each time \p Interval after the previous call
/// has returned, until the timer is stopped or destroyed.
class PeriodicTimer {
public:
  PeriodicTimer(boost::asio::io_context &Loop, Duration Interval,
                std::function<void()> Callback)
      : Timer(Loop), Interval(Interval), Callback(std::move(Callback)) {
    this->schedule();
  }

  void stop() {
    this->Stopped = true;
    this->Timer.cancel();
  }

private:
  void schedule() {
    this->Timer.expires_after(this->Interval);
    this->Timer.async_wait([this](const boost::system::error_code &ErrorCode) {
      if (ErrorCode || this->Stopped)
        return;
      this->Callback();
      if (!this->Stopped)
        this->schedule();
    });
  }

  boost::asio::steady_timer Timer;
  Duration Interval;
  std::function<void()> Callback;
  bool Stopped = false;
};

} // namespace sardinerill
