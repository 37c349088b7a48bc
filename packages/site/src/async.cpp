#include "async.h"

#include "sardinerill/base/logging.h"

#include <cstdlib>
#include <exception>

namespace sardinerill::site {

void spawn(boost::asio::any_io_executor Executor, std::string_view Name,
           std::function<Async<void>()> Work) {
  // The captures of a coroutine lambda live in the function object, so it must
  // stay alive until the coroutine has ended.
  auto SharedWork =
      std::make_shared<std::function<Async<void>()>>(std::move(Work));
  boost::asio::co_spawn(
      Executor, [SharedWork]() -> Async<void> { co_await (*SharedWork)(); },
      [SharedWork, Name = std::string(Name)](std::exception_ptr Error) {
        if (!Error)
          return;
        std::string Reason = "unknown";
        try {
          std::rethrow_exception(Error);
        } catch (const std::exception &Thrown) {
          Reason = Thrown.what();
        } catch (...) { // Not a std::exception: there is no message to log.
        }
        logEvent(LogLevel::Error, "task.failed",
                 {{"task", Name}, {"reason", Reason}});
        // Abort, so that the daemon is restarted instead of running without
        // this task.
        std::abort();
      });
}

} // namespace sardinerill::site
