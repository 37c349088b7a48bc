#pragma once

#include "sardinerill/jobs/jobtypes.h"
#include "sardinerill/platform/iplatform.h"

#include <vector>

/// \file
/// Stores jobs as rows of the platform's table, and their payloads and results
/// in its object store.

namespace sardinerill {

/// A job record and the row revision at which it was read.
struct StoredJob {
  JobRecord Record;
  Revision Rev = 0;
};

/// Reads and updates job rows. All calls block.
class JobStore {
public:
  explicit JobStore(IPlatform &Platform) : Platform(Platform) {}

  /// Stores a new job: first its payload, then its row.
  /// \returns the job stored under this id. If the id was used before, that is
  /// the earlier job with its own payload; only if both are stored at the same
  /// time can \p Payload replace it.
  Result<StoredJob> create(const JobRecord &NewJob, const std::string &Payload);
  /// Fails with NotFound if there is no such job.
  Result<StoredJob> read(const JobId &Id);
  /// Reads all jobs. Rows that can't be decoded are logged and
  /// skipped.
  Result<std::vector<StoredJob>> readAll();
  /// Writes \p Changed if the row is still at the revision of \p Expected.
  /// Fails with VersionConflict if it was changed in the meantime.
  Result<StoredJob> update(const StoredJob &Expected, const JobRecord &Changed);
  Result<std::string> payload(const JobId &Id);
  Result<std::string> resultOf(const JobId &Id);
  Result<void> putResult(const JobId &Id, const std::string &Body);

private:
  IPlatform &Platform;
};

std::string encodeJob(const JobRecord &Record);
Result<JobRecord> decodeJob(const std::string &Text);

} // namespace sardinerill
