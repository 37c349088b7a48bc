#pragma once

#include "sardinerill/base/clock.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// \file
/// The closed list of error kinds and the table from kind to answer.

namespace sardinerill {

/// Everything that can go wrong in a way that a caller or operator sees.
enum class ErrorKind {
  BadRequest,
  BodyTooLarge,
  KeyMissing,
  KeyUnknown,
  KeyWithdrawn,
  KeyNotFresh,
  NotPermitted,
  ClassUnknown,
  IdempotencyKeyMissing,
  DuplicateRequest,
  QueueFull,
  TargetUnreachable,
  NoWorkerFits,
  CeilingReached,
  Draining,
  PlatformUnavailable,
  PlatformOutcomeUnknown,
  PlatformHistoryGone,
  JobNotFound,
  QueueUnknown,
  UpstreamUnreachable,
  UpstreamFailed,
  UpstreamTimeout,
  UpstreamBadReply,
  CallerGone,
  VersionConflict,
  ConfigInvalid,
  BudgetExhausted,
  NotFound,
  Internal,
  Count
};

/// What is known about whether the work ran.
enum class RanState { DidNotRun, MayHaveRun };

/// What the caller is advised to do next.
enum class RetryAdvice { Never, Later, WithSameKey, AfterChange };

/// One row of the table from kind to answer.
struct ErrorAnswer {
  ErrorKind Kind;
  std::string_view Name; ///< Also the counter label.
  int HttpStatus;
  RanState Ran;
  RetryAdvice Advice;
  std::string_view Title; ///< For people.
};

/// \returns the answer for \p Kind; every kind has one.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// \returns the name used in bodies and counters.
std::string_view toString(RanState Ran);
/// \returns the name used in bodies.
std::string_view toString(RetryAdvice Advice);

/// An error with what is particular to this occurrence.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
  /// When it makes sense to come back, if known.
  std::optional<milliseconds> RetryAfter = std::nullopt;

  friend bool operator==(const Error &, const Error &) = default;
};

template <typename T> using Result = tl::expected<T, Error>;

/// \returns an unexpected value ready to be returned from a function.
inline tl::unexpected<Error>
makeError(ErrorKind Kind, std::string Detail,
          std::optional<milliseconds> RetryAfter = std::nullopt) {
  return tl::unexpected<Error>(Error{Kind, std::move(Detail), RetryAfter});
}

} // namespace sardinerill
