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
  std::optional<std::string> Key; ///< The team's secret key.
  std::optional<std::string> IdempotencyKey;
  std::string ContentType;
  std::string TraceParent;
  std::string Body;
  /// Team of a request that was already admitted, such as a job. If set, the
  /// key is not checked and no claim is created.
  std::optional<TeamId> AdmittedTeam;
  /// Time left to finish. If set, the latest start is computed from it instead
  /// of from the target of the class.
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

/// What is sent to an upstream VM for one attempt to run a request.
struct UpstreamRequest {
  RequestId Id;
  VmEndpoint Vm;
  ClassId Class;
  std::string ContentType;
  std::string TraceParent;
  std::string Body;
  /// Time after which the worker, the server process on the VM, stops the
  /// task. Also the basis of the time-out for its reply.
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
  /// The task is certain not to be running: it was not started, or the VM sent
  /// a complete response.
  bool TaskIsNotRunning = false;
  std::string Detail;

  bool mayHaveRun() const {
    return errorResponseFor(this->Kind).Execution == ExecutionState::MayHaveRun;
  }
};

using UpstreamOutcome = tl::expected<WorkResponse, UpstreamFailure>;

} // namespace sardinerill
