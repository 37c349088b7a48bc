#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/http/httptypes.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>

/// \file
/// Waiting on the one thread of a daemon.

namespace sardinerill::site {

/// Waits for \p Time.
inline Async<void> pauseFor(Duration Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Time);
  boost::system::error_code Ignored; // Nobody cancels it.
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

/// Lets one coroutine wait until another has news; news are never lost.
class Signal {
public:
  explicit Signal(boost::asio::any_io_executor Executor) : Timer(Executor) {}

  void notify() {
    this->Pending = true;
    this->Timer.cancel();
  }

  /// Waits for news, at most for \p Limit. \returns whether there were any.
  Async<bool> wait(Duration Limit) {
    if (!this->Pending) {
      this->Timer.expires_after(Limit);
      boost::system::error_code Ignored; // Cancelled by notify().
      co_await this->Timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
    }
    co_return std::exchange(this->Pending, false);
  }

private:
  boost::asio::steady_timer Timer;
  bool Pending = false;
};

/// Starts \p Work; an exception out of it ends the process with a log line.
void spawn(boost::asio::any_io_executor Executor, std::string_view Name,
           std::function<Async<void>()> Work);

} // namespace sardinerill::site
