#include "async.h"

#include "sardinerill/base/logging.h"

#include <cstdlib>
#include <exception>

namespace sardinerill::site {

void spawn(boost::asio::any_io_executor Executor, std::string_view Name,
           std::function<Async<void>()> Work) {
  // The function object holds what the coroutine captures: it is kept until
  // the coroutine has ended.
  auto Kept = std::make_shared<std::function<Async<void>()>>(std::move(Work));
  boost::asio::co_spawn(
      Executor, [Kept]() -> Async<void> { co_await (*Kept)(); },
      [Kept, Name = std::string(Name)](std::exception_ptr Fault) {
        if (!Fault)
          return;
        std::string Reason = "unknown";
        try {
          std::rethrow_exception(Fault);
        } catch (const std::exception &Thrown) {
          Reason = Thrown.what();
        } catch (...) { // Any other type carries no text.
        }
        logEvent(LogLevel::Error, "task.failed",
                 {{"task", Name}, {"reason", Reason}});
        std::abort(); // A restart is safer than a daemon without this task.
      });
}

} // namespace sardinerill::site
