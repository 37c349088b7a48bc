#pragma once

#include "async.h"

#include "sardinerill/base/metrics.h"
#include "sardinerill/scheduling/jobprogress.h"
#include "sardinerill/site/istore.h"

#include <deque>
#include <optional>

/// \file
/// Accepted jobs, cancellations and progress in the table.
///
/// A job is accepted by a transaction that expects its row to be absent, so
/// that repeated submissions create one job, whichever daemons receive them.
/// Submissions that arrive while a transaction is in flight share the next one.

namespace sardinerill::site {

/// A change of a job that the holder must apply.
struct JobChange {
  JobId Job;
  bool Cancelled = false;
  std::optional<JobSpec> Spec;
  /// State of a job that has ended. Its specification has no payload, and is
  /// missing if it can't be decoded.
  std::optional<JobState> FinalState;
  std::int64_t Version = 0;
};

/// Encodes \p Change for the notification from one daemon to another.
std::string encodeChange(const JobChange &Change);
Result<JobChange> decodeChange(const std::string &Text);

struct StoredJobs {
  std::vector<JobChange> Changes; ///< Jobs first, then cancellations.
  std::map<JobId, JobProgress> Progress;
  std::int64_t Version = 0; ///< Position from which to request further changes.
};

/// All rows of one job.
struct StoredJob {
  JobSpec Spec;
  bool Cancelled = false;
  std::int64_t Version = 0;
  std::optional<JobProgress> Progress;
};

class JobTable {
public:
  JobTable(boost::asio::any_io_executor Executor, IStore &Store,
           const IClock &Clock, Metrics &Stats);
  ~JobTable();

  /// Stores \p Spec as a new job. An error whose kind says that the job did not
  /// run guarantees that the job is not stored.
  /// \returns the version of the new row, or 0 if the job was already stored.
  Async<Result<std::int64_t>> accept(JobSpec Spec, Instant Deadline);
  /// \returns whether \p Job is certainly not stored, and no submission of it
  /// is under way in this daemon. Unlike find(), it is not answered from an old
  /// state of the table. False also if the table gives no answer.
  Async<bool> isCertainlyAbsent(JobId Job, Instant Deadline);
  /// \returns the job, or JobNotFound.
  Async<Result<StoredJob>> find(JobId Job, Instant Deadline);
  Async<Result<void>> cancel(StoredJob Job, Instant Deadline);

  /// Loads all jobs, cancellations and progress.
  /// \param AtLeast an error is returned if anything was read at an older
  /// version of the table than this. Reads are old after the table has lost its
  /// change history.
  Async<Result<StoredJobs>> loadAll(std::int64_t AtLeast = 0);
  /// Loads the jobs and cancellations of one partition, without the
  /// specifications of jobs that have ended according to \p Loaded.Progress.
  Async<Result<StoredJobs>> loadPartition(std::size_t Index,
                                          const StoredJobs &Loaded,
                                          std::int64_t AtLeast);
  /// Waits up to \p Wait for changes after \p Version and advances \p Version.
  Async<Result<std::vector<JobChange>>> waitForChanges(std::int64_t &Version,
                                                       Duration Wait);
  /// Removes the rows of jobs whose retention time has passed. Ends at the
  /// first transaction that fails.
  /// \returns the jobs that may have rows left.
  Async<std::vector<JobId>> remove(std::vector<JobId> Jobs);

  static RowKey progressKey(const JobId &Job);

private:
  /// Reads all pages of \p Range, none of them older than \p AtLeast.
  Async<Result<RowPage>> readFresh(RowRange Range, std::int64_t AtLeast);
  /// Deletes rows of one partition. \returns whether they are certainly gone.
  Async<bool> deleteRows(std::vector<RowKey> Keys);
  struct Submission;
  struct PartitionQueue;
  /// \returns the time limit of a call for a caller that leaves at \p Deadline.
  Duration callTimeout(Instant Deadline) const;
  std::shared_ptr<PartitionQueue> queueOf(const JobId &Job) const;
  Async<void> processQueue(std::shared_ptr<PartitionQueue> Queue);
  Async<void> commit(PartitionQueue &Queue);

  boost::asio::any_io_executor Executor;
  IStore &Store;
  const IClock &Clock;
  Metrics &Stats;
  std::vector<std::shared_ptr<PartitionQueue>> PartitionQueues;
  /// Jobs whose last submission had an unknown outcome, and until when the
  /// table may still carry it out.
  std::map<JobId, Instant> UncertainUntil;
};

} // namespace sardinerill::site
