#include "unixtime.h"

#include <chrono>

namespace sardinerill::site {

std::int64_t unixMillis() {
  using std::chrono::system_clock;
  const BootClock Clock;
  static const Instant StartedAt = Clock.now();
  static const std::int64_t StartedMs =
      std::chrono::duration_cast<milliseconds>(
          system_clock::now().time_since_epoch())
          .count();
  return StartedMs +
         std::chrono::duration_cast<milliseconds>(Clock.now() - StartedAt)
             .count();
}

// Partitions: "o" for ownership, "p" for progress (as in the progress table, so
// that one transaction can write both).
RowKey epochKey() { return {"ownership", "o", "epoch"}; }

RowKey progressHeadKey() { return {"ownership", "p", "progress-head"}; }

RowKey runTimesKey() { return {"runtimes", "o", "summary"}; }

RowKey ownershipKey() { return {"ownership", "o", "site"}; }

} // namespace sardinerill::site
