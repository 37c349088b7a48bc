#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include <optional>
#include <variant>

/// \file
/// Calls from API clients and their replies, independent of the wire format.

namespace sardinerill::site {

enum class CallKind { Submit, State, Cancel, Pending, Unsupported };

struct CallerCall {
  CallKind Kind = CallKind::Unsupported;
  std::string Host;
  std::string Path;
  std::string ApiKey; ///< API key of an organisation; may be empty.
  std::optional<Duration> Timeout; ///< Timeout requested by the caller.
  std::string Body;
};

/// Reply to a successful call: no value, the state of a job, or a count of
/// jobs.
using CallerReply = std::variant<std::monostate, JobState, int>;

/// Decodes the body of a submission. The call handler sets the id, queue,
/// organisation and time of acceptance.
using JobDecoder = Result<JobSpec> (*)(const std::string &Body);

} // namespace sardinerill::site
