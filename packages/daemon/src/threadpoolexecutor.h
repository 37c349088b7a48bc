#pragma once

#include "sardinerill/base/ibackgroundexecutor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

/// \file
/// Thread pool for blocking calls.

namespace sardinerill {

/// Runs blocking calls on a thread pool and their completion callbacks on the
/// event loop thread.
class ThreadPoolExecutor : public IBackgroundExecutor {
public:
  explicit ThreadPoolExecutor(boost::asio::io_context &Loop)
      : Loop(Loop), Threads(ThreadCount) {}
  ~ThreadPoolExecutor() override { this->stop(); }

  void run(std::function<void()> Work, std::function<void()> Done) override {
    boost::asio::post(this->Threads, [this, Work = std::move(Work),
                                      Done = std::move(Done)]() mutable {
      Work();
      boost::asio::post(this->Loop, std::move(Done));
    });
  }

  /// Waits for running calls to finish; queued calls are not started.
  void stop() {
    this->Threads.stop();
    this->Threads.join();
  }

private:
  /// Bounds the number of concurrent blocking calls.
  static constexpr std::size_t ThreadCount = 8;
  boost::asio::io_context &Loop;
  boost::asio::thread_pool Threads;
};

} // namespace sardinerill
