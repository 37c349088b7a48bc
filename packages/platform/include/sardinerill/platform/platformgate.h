#pragma once

#include "sardinerill/base/clock.h"

#include <random>

/// \file
/// Holds one daemon to its part of the platform's capacity.

namespace sardinerill {

/// What goes first when calls are short.
enum class CallPriority { Urgent, Normal, Background };

/// A token bucket with room kept for urgent calls, and a breaker that keeps a
/// platform which fails from being stormed when it comes back.
class PlatformGate {
public:
  PlatformGate(unsigned CallsPerSecond, std::uint64_t Seed)
      : Rate(CallsPerSecond), Tokens(CallsPerSecond), Random(Seed) {}

  /// \returns whether a call may be made now, and takes it from the budget.
  bool allow(CallPriority Priority, Instant Now);
  /// Notes the outcome of a call; failures open the breaker for a time that
  /// doubles, with jitter.
  void record(bool Succeeded, Instant Now);
  bool isOpen(Instant Now) const { return Now < this->OpenUntil; }

private:
  double Rate;
  double Tokens;
  Instant Refilled{};
  unsigned Failures = 0;
  Instant OpenUntil{};
  std::mt19937_64 Random;
};

} // namespace sardinerill
