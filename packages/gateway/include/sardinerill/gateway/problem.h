#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <string>

/// \file
/// Error responses to callers and operators, as application/problem+json.

namespace sardinerill {

inline constexpr const char *ProblemContentType = "application/problem+json";

/// \returns the response body for \p Err: its kind, whether the request ran,
/// and the retry advice.
std::string renderProblem(const Error &Err, const RequestId &Id);

/// \returns the value of Retry-After for \p Wait: seconds, rounded up, at least
/// 1.
std::string retryAfterSeconds(milliseconds Wait);

} // namespace sardinerill
