#pragma once

#include <functional>
#include <memory>
#include <utility>

/// \file
/// Interface for running blocking calls outside of the event loop thread.

namespace sardinerill {

/// Runs blocking work on other threads and reports its completion to the event
/// loop thread.
class IBackgroundExecutor {
public:
  virtual ~IBackgroundExecutor() = default;
  /// Runs \p Work on another thread, then \p Done on the event loop thread.
  /// Work that has not started when the executor stops is dropped, and \p Done
  /// may then not be called.
  virtual void run(std::function<void()> Work, std::function<void()> Done) = 0;
};

/// Runs \p Work in \p Background and passes its result to \p Done on the event
/// loop thread.
template <typename Value>
void runInBackground(IBackgroundExecutor &Background,
                     std::function<Value()> Work,
                     std::function<void(Value)> Done) {
  // unique_ptr: Value need not be default-constructible. shared_ptr: the
  // callables in std::function must be copyable.
  auto Outcome = std::make_shared<std::unique_ptr<Value>>();
  Background.run(
      [Outcome, Work = std::move(Work)] {
        *Outcome = std::make_unique<Value>(Work());
      },
      [Outcome, Done = std::move(Done)] { Done(std::move(**Outcome)); });
}

} // namespace sardinerill
