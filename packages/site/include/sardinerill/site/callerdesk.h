#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include <optional>
#include <variant>

/// \file
/// Calls of callers and their answers, free of any wire.

namespace sardinerill::site {

enum class CallKind { Submit, State, Cancel, Pending, Unsupported };

struct CallerCall {
  CallKind Kind = CallKind::Unsupported;
  std::string Host;
  std::string Path;
  std::string Key;               ///< Of an organisation; may be empty.
  std::optional<Duration> Limit; ///< How long the caller waits.
  std::string Body;
};

/// What a caller is told; none for a bare success.
using CallerReply = std::variant<std::monostate, JobState, int>;

/// Reads the steps of a submitted job; queue and id are set by the desk.
using JobDecoder = Result<JobSpec> (*)(const std::string &Body);

} // namespace sardinerill::site
