#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/base/metrics.h"

#include <optional>
#include <string>

/// \file
/// Plain types of work on its way from a caller to an upstream VM.

namespace sardinerill {

/// One piece of work as a caller submits it.
struct WorkRequest {
  RequestId Id;
  ClassId Class;
  std::optional<std::string> Key;
  std::optional<std::string> IdempotencyKey;
  std::string ContentType;
  std::string TraceParent;
  std::string Body;
  /// Set for work that was admitted before, as a job: no key is asked for and
  /// no claim made.
  std::optional<TeamId> AdmittedTeam;
  /// Time left to finish, in place of the class's target.
  std::optional<milliseconds> RemainingTime;
};

/// The upstream's whole answer.
struct WorkAnswer {
  unsigned Status = 200;
  std::string ContentType;
  std::string Body;
  VmId RanOn;
  friend bool operator==(const WorkAnswer &, const WorkAnswer &) = default;
};

/// Where an upstream VM takes work.
struct VmEndpoint {
  VmId Id;
  std::string Address;
  unsigned short Port = 0;
  friend auto operator<=>(const VmEndpoint &, const VmEndpoint &) = default;
};

/// One try of one piece of work.
struct UpstreamRequest {
  RequestId Id;
  VmEndpoint Vm;
  ClassId Class;
  std::string ContentType;
  std::string TraceParent;
  std::string Body;
  /// The worker stops the task after this long.
  milliseconds RunLimit{0};
  /// Work that must not run twice goes over a connection of its own.
  bool RequireNewConnection = false;
};

/// Why a try failed and what is known about it.
struct UpstreamFailure {
  ErrorKind Kind = ErrorKind::UpstreamFailed;
  RetryReason Reason = RetryReason::UpstreamError;
  /// Nothing of the task runs any more, as after a whole answer.
  bool TaskHasEnded = false;
  std::string Detail;

  bool mayHaveRun() const {
    return answerFor(this->Kind).Ran == RanState::MayHaveRun;
  }
};

using UpstreamOutcome = tl::expected<WorkAnswer, UpstreamFailure>;

} // namespace sardinerill
