#pragma once

#include "sardinerill/base/clock.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// \file
/// The complete list of error kinds, and the HTTP response for each kind.

namespace sardinerill {

/// Kinds of errors that are reported to callers and operators.
enum class ErrorKind {
  BadRequest,
  BodyTooLarge,
  KeyMissing,
  KeyUnknown,
  KeyWithdrawn,
  KeyCheckUnavailable, ///< The fleet configuration was not confirmed recently
                       ///< enough to check keys with it.
  NotPermitted,
  ClassUnknown,
  IdempotencyKeyMissing,
  DuplicateRequest,    ///< The Idempotency-Key was used before.
  QueueFull,           ///< Limit on queued requests or on buffered body bytes.
  TargetCannotBeMet,   ///< The latency target of the class.
  NoWorkerFits,        ///< The pool of the class has no VM in service.
  CeilingReached,      ///< The team's ceiling on running work.
  Draining,            ///< The entry VM is shutting down.
  PlatformUnavailable, ///< The call had no effect.
  PlatformOutcomeUnknown, ///< The call may have had an effect.
  PlatformHistoryGone, ///< The change log no longer contains the changes after
                       ///< the requested version; read everything again.
  JobNotFound,
  QueueUnknown,
  ConfigurationBehind, ///< Not known here, but a newer configuration than this
                       ///< daemon has read is in force.
  UpstreamUnreachable, ///< Not connected, nothing sent, or work not accepted.
  UpstreamFailed,      ///< Error response, or lost while sending the request.
  UpstreamTimeout,     ///< No complete response within the run limit.
  UpstreamBadReply,    ///< Incomplete, invalid or for another request.
  CallerGone,          ///< The caller closed the connection.
  VersionConflict,
  ConfigInvalid,
  BudgetExhausted,
  NotFound,
  Internal,
  Count
};

/// Whether the requested work may have been executed.
enum class ExecutionState { DidNotRun, MayHaveRun };

/// Whether and how the caller should retry.
enum class RetryAdvice {
  Never,
  Later,
  WithSameKey, ///< Retry with the same Idempotency-Key.
  AfterChange  ///< Retry only after correcting the request or its cause.
};

/// The response for one error kind.
struct ErrorResponse {
  ErrorKind Kind;
  std::string_view Name; ///< Used in response bodies and as counter label.
  int HttpStatus;
  ExecutionState Execution;
  RetryAdvice Advice;
  std::string_view Title; ///< Human-readable summary.
};

/// \returns the response for \p Kind; every kind has one.
const ErrorResponse &errorResponseFor(ErrorKind Kind);

/// \returns the name used in response bodies and logs.
std::string_view toString(ExecutionState Execution);
/// \returns the name used in response bodies.
std::string_view toString(RetryAdvice Advice);

/// One occurrence of an error.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
  /// Suggested wait before a retry, if known.
  std::optional<milliseconds> RetryAfter = std::nullopt;

  friend bool operator==(const Error &, const Error &) = default;
};

template <typename T> using Result = tl::expected<T, Error>;

/// \returns an unexpected value that converts to any Result<T>.
inline tl::unexpected<Error>
makeError(ErrorKind Kind, std::string Detail,
          std::optional<milliseconds> RetryAfter = std::nullopt) {
  return tl::unexpected<Error>(Error{Kind, std::move(Detail), RetryAfter});
}

} // namespace sardinerill
