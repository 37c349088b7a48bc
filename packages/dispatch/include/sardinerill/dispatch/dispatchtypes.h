#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/base/metrics.h"

#include <optional>
#include <string>

/// \file
/// Data types of requests, attempts and responses between callers and upstream
/// VMs.

namespace sardinerill {

/// One request as submitted by a caller.
struct WorkRequest {
  RequestId Id;
  ClassId Class;
  std::optional<std::string> Key;
  std::optional<std::string> IdempotencyKey;
  std::string ContentType;
  std::string TraceParent;
  std::string Body;
  /// Set for a request that was admitted before, as a job is. Neither the key
  /// is checked nor a claim created.
  std::optional<TeamId> AdmittedTeam;
  /// Time left to finish; overrides the target of the class.
  std::optional<milliseconds> RemainingTime;
};

/// A complete response from an upstream VM.
struct WorkResponse {
  unsigned Status = 200;
  std::string ContentType;
  std::string Body;
  VmId Vm;
  friend bool operator==(const WorkResponse &, const WorkResponse &) = default;
};

/// Network address on which an upstream VM accepts requests.
struct VmEndpoint {
  VmId Id;
  std::string Address;
  unsigned short Port = 0;
  friend auto operator<=>(const VmEndpoint &, const VmEndpoint &) = default;
};

/// One attempt to run a request on an upstream VM.
struct UpstreamRequest {
  RequestId Id;
  VmEndpoint Vm;
  ClassId Class;
  std::string ContentType;
  std::string TraceParent;
  std::string Body;
  /// The worker stops the task after this time.
  milliseconds RunLimit{0};
  /// Send over a new connection instead of a reused one. Set for requests that
  /// must not run twice.
  bool RequireNewConnection = false;
};

/// Why an attempt failed, and whether the task may have run or still be
/// running.
struct UpstreamFailure {
  ErrorKind Kind = ErrorKind::UpstreamFailed;
  RetryReason Reason = RetryReason::UpstreamError;
  /// The task is certain not to be running any more, for example after a
  /// complete response.
  bool TaskHasEnded = false;
  std::string Detail;

  bool mayHaveRun() const {
    return errorResponseFor(this->Kind).Execution == ExecutionState::MayHaveRun;
  }
};

using UpstreamOutcome = tl::expected<WorkResponse, UpstreamFailure>;

} // namespace sardinerill
