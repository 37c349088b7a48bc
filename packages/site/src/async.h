#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/http/httptypes.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>

/// \file
/// Coroutine helpers. A daemon runs all of its coroutines on one thread.

namespace sardinerill::site {

inline Async<void> sleepFor(Duration Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Time);
  boost::system::error_code Ignored; // The timer is never cancelled.
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

/// Lets a coroutine wait until another one notifies it. A notification that
/// arrives while nobody waits is kept for the next wait. At most one coroutine
/// may wait at a time.
class AsyncEvent {
public:
  explicit AsyncEvent(boost::asio::any_io_executor Executor)
      : Timer(Executor) {}

  void notify() {
    this->Pending = true;
    this->Timer.cancel();
  }

  /// Waits for a notification for at most \p Timeout. \returns whether there
  /// was one.
  Async<bool> wait(Duration Timeout) {
    if (!this->Pending) {
      this->Timer.expires_after(Timeout);
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

/// Starts \p Work as a detached coroutine. If it throws, the exception is
/// logged and the process aborts.
void spawn(boost::asio::any_io_executor Executor, std::string_view Name,
           std::function<Async<void>()> Work);

} // namespace sardinerill::site
