#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <string>

/// \file
/// Errors as callers and operators get them: application/problem+json.

namespace sardinerill {

inline constexpr const char *ProblemContentType = "application/problem+json";

/// \returns the body for \p Why: its kind, whether the request ran, and what to
/// do next.
std::string renderProblem(const Error &Why, const RequestId &Id);

/// \returns whole seconds for Retry-After, at least 1.
std::string retryAfterSeconds(milliseconds Wait);

} // namespace sardinerill
