#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// Plain types of jobs: work that is accepted, kept, and followed by its id.

namespace sardinerill {

using JobId = StrongId<struct JobTag>;

/// Where a job stands. The last three are final.
enum class JobState { Queued, Running, Done, Failed, Cancelled };

/// \returns the name used in rows and answers.
std::string_view toString(JobState State);

/// A job as its row has it; payload and result are objects.
struct JobRecord {
  JobId Id;
  TeamId Team;
  ClassId Class;
  JobState State = JobState::Queued;
  /// The daemon that runs it or will.
  DaemonId Owner;
  /// Wall-clock time by which it must finish, in ms since 1970.
  std::int64_t DeadlineMs = 0;
  unsigned Attempts = 0;
  std::string PayloadType;
  unsigned ResultStatus = 0;
  std::string ResultType;
  std::string Detail;

  bool isFinal() const { return this->State >= JobState::Done; }
  friend bool operator==(const JobRecord &, const JobRecord &) = default;
};

/// What a caller wants of a job.
struct JobCall {
  enum class Verb { Submit, Status, Fetch, Cancel };
  Verb Wanted = Verb::Submit;
  ClassId Class; ///< Of a submission.
  JobId Id;      ///< Of all else.
  std::optional<std::string> Key;
  std::optional<std::string> IdempotencyKey;
  std::string ContentType;
  std::string Body;
};

struct JobAnswer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

} // namespace sardinerill
