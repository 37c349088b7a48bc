#pragma once

#include <chrono>
#include <ctime>

/// \file
/// Time types and clocks. Code that depends on time gets it as an argument or
/// from an IClock, so that tests can control it.

namespace sardinerill {

using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock type of Instant, so that Instant does not convert to time points of
/// other clocks. Has no now(); see IClock. Time points of different processes
/// must not be compared.
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
  /// \returns the time since an arbitrary epoch; never decreases.
  virtual Instant now() const = 0;
};

/// Clock based on CLOCK_BOOTTIME, which includes the time for which a VM was
/// suspended. Leases and the freshness of the configuration are measured with
/// it, because they must also expire while a VM is suspended.
class BootClock : public IClock {
public:
  using GetTimeFunction = int (*)(clockid_t, timespec *);

  /// \param GetTime reads the system clock with the given id; replaced in
  /// tests.
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

/// Clock for tests that only changes through advance().
class ManualClock : public IClock {
public:
  Instant now() const override { return this->Current; }
  void advance(Duration Step) { this->Current += Step; }

private:
  Instant Current{};
};

} // namespace sardinerill
