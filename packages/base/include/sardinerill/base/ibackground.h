#pragma once

#include <functional>
#include <memory>
#include <utility>

/// \file
/// Blocking calls are made off the thread that decides.

namespace sardinerill {

/// Runs blocking work elsewhere and hands its outcome back.
class IBackground {
public:
  virtual ~IBackground() = default;
  /// Runs \p Work on another thread, then \p Done on the deciding thread.
  virtual void run(std::function<void()> Work, std::function<void()> Done) = 0;
};

/// Runs \p Work elsewhere and passes its result to \p Done.
template <typename Value>
void runFor(IBackground &Background, std::function<Value()> Work,
            std::function<void(Value)> Done) {
  auto Outcome = std::make_shared<std::unique_ptr<Value>>();
  Background.run(
      [Outcome, Work = std::move(Work)] {
        *Outcome = std::make_unique<Value>(Work());
      },
      [Outcome, Done = std::move(Done)] { Done(std::move(**Outcome)); });
}

} // namespace sardinerill
