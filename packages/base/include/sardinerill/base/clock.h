#pragma once

#include <chrono>
#include <ctime>

/// \file
/// Time as the decisions see it: always passed in, never read.

namespace sardinerill {

using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tag for the daemon's monotonic time line; instants of two processes are
/// never compared.
struct MonotonicClockTag {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
};

using Instant = std::chrono::time_point<MonotonicClockTag, Duration>;

/// Source of the current time.
class IClock {
public:
  virtual ~IClock() = default;
  /// \returns the time since an arbitrary start, never going back.
  virtual Instant now() const = 0;
};

/// Reads a clock that also counts the time for which a VM was suspended; leases
/// and proofs of freshness go by it.
class BootClock : public IClock {
public:
  using GetTimeFunction = int (*)(clockid_t, timespec *);

  /// \param Source reads a clock of the system by its id.
  explicit BootClock(GetTimeFunction GetTime = ::clock_gettime)
      : GetTime(GetTime) {}

  Instant now() const override {
    timespec Time{};
    this->GetTime(CLOCK_BOOTTIME, &Time);
    return Instant(seconds(Time.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(Time.tv_nsec)));
  }

private:
  GetTimeFunction GetTime;
};

/// A clock that tests move by hand.
class ManualClock : public IClock {
public:
  Instant now() const override { return this->Current; }
  void advance(Duration Step) { this->Current += Step; }

private:
  Instant Current{};
};

} // namespace sardinerill
