#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// Data types of jobs. A job is a request that is stored when it is accepted,
/// and whose status and result can be queried by its id.

namespace sardinerill {

using JobId = StrongId<struct JobTag>;

/// State of a job. The last three are final.
enum class JobState { Queued, Running, Done, Failed, Cancelled };

/// \returns the name used in rows and responses.
std::string_view toString(JobState State);

/// A job as stored in its row. Payload and result are stored as objects.
struct JobRecord {
  JobId Id;
  TeamId Team;
  ClassId Class;
  JobState State = JobState::Queued;
  /// The daemon that is responsible for running it; empty if none is.
  DaemonId Owner;
  /// Wall-clock time by which the job must finish, in ms since the Unix epoch.
  std::int64_t DeadlineMs = 0;
  /// How often the job was set to Running. The dispatcher can make several
  /// attempts each time.
  unsigned Attempts = 0;
  std::string PayloadType;   ///< Content type of the payload.
  unsigned ResultStatus = 0; ///< HTTP status of the result.
  std::string ResultType;    ///< Content type of the result.
  std::string Detail; ///< Why the job was queued again, failed or cancelled.

  bool isFinal() const { return this->State >= JobState::Done; }
  friend bool operator==(const JobRecord &, const JobRecord &) = default;
};

/// A caller's operation on a job.
struct JobRequest {
  enum class Operation { Submit, Status, Fetch, Cancel };
  Operation Type = Operation::Submit;
  ClassId Class;                  ///< For Submit only.
  JobId Id;                       ///< For all operations except Submit.
  std::optional<std::string> Key; ///< The team's secret key.
  std::optional<std::string> IdempotencyKey;
  std::string ContentType;
  std::string Body;
};

struct JobResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

} // namespace sardinerill
