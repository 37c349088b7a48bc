#pragma once

#include "sardinerill/jobs/jobtypes.h"
#include "sardinerill/platform/iplatform.h"

#include <vector>

/// \file
/// Jobs in the platform's table, payloads and results in its object store.

namespace sardinerill {

/// A record and the revision that it was read at.
struct StoredJob {
  JobRecord Record;
  Revision Rev = 0;
};

/// Reads and moves on jobs. Calls block.
class JobStore {
public:
  explicit JobStore(IPlatform &Platform) : Platform(Platform) {}

  /// Keeps a new job: first its payload, then its row.
  /// \returns the job that is kept under this id, which may be an earlier one.
  Result<StoredJob> create(const JobRecord &NewJob, const std::string &Payload);
  /// \returns NotFound if there is none.
  Result<StoredJob> read(const JobId &Id);
  Result<std::vector<StoredJob>> readAll();
  /// Writes \p Changed if the job is still as \p Read.
  /// \returns VersionConflict if someone else has moved it on.
  Result<StoredJob> update(const StoredJob &Read, const JobRecord &Changed);
  Result<std::string> payload(const JobId &Id);
  Result<std::string> resultOf(const JobId &Id);
  Result<void> putResult(const JobId &Id, const std::string &Body);

private:
  IPlatform &Platform;
};

std::string encodeJob(const JobRecord &Record);
Result<JobRecord> decodeJob(const std::string &Text);

} // namespace sardinerill
