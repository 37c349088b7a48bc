#pragma once

#include "sardinerill/base/ibackground.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

/// \file
/// Blocking calls on a few threads of their own.

namespace sardinerill {

/// Runs work on a pool and hands outcomes back to the deciding thread.
class ThreadPoolExecutor : public IBackground {
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

  /// Waits for what runs; starts nothing more.
  void stop() {
    this->Threads.stop();
    this->Threads.join();
  }

private:
  static constexpr std::size_t ThreadCount = 8;
  boost::asio::io_context &Loop;
  boost::asio::thread_pool Threads;
};

} // namespace sardinerill
