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
/// that it is one job whichever daemons take its repeats. Submissions that
/// arrive while a transaction is under way share the next one.

namespace sardinerill::site {

/// One change of a job that the holder has to know.
struct JobChange {
  JobId Job;
  bool Cancelled = false;
  std::optional<JobSpec> Spec;
  /// Of a job that has ended; its specification is not read again.
  std::optional<JobState> Ended;
  std::int64_t Version = 0;
};

/// \returns the text in which one daemon tells another of \p Change.
std::string encodeChange(const JobChange &Change);
Result<JobChange> decodeChange(const std::string &Text);

struct StoredJobs {
  std::vector<JobChange> Changes; ///< Jobs first, then cancellations.
  std::map<JobId, JobProgress> Progress;
  std::int64_t Version = 0; ///< Position for the next look at changes.
};

/// What the table says of one job.
struct StoredJob {
  JobSpec Spec;
  bool Cancelled = false;
  std::int64_t Version = 0;
  std::optional<JobProgress> Progress;
};

class JobTable {
public:
  JobTable(boost::asio::any_io_executor Executor, IStore &Store,
           const IClock &Clock, Metrics &Figures);
  ~JobTable();

  /// Accepts \p Spec. An error whose kind says that nothing ran is certain.
  /// \returns the version of its row; 0 if it was there already.
  Async<Result<std::int64_t>> accept(JobSpec Spec, Instant Until);
  /// \returns the job, or JobNotFound.
  Async<Result<StoredJob>> find(JobId Job, Instant Until);
  Async<Result<void>> cancel(StoredJob Job, Instant Until);

  Async<Result<StoredJobs>> loadAll();
  Async<Result<StoredJobs>> loadPartition(std::size_t Index,
                                          const StoredJobs &Known);
  Async<Result<std::vector<JobChange>>> changes(std::int64_t &Version,
                                                Duration Wait);
  /// Removes jobs that ended long ago.
  Async<void> remove(std::vector<JobId> Jobs);

  static RowKey progressKey(const JobId &Job);

private:
  struct Submission;
  struct Lane;
  std::shared_ptr<Lane> laneOf(const JobId &Job) const;
  Async<void> runLane(std::shared_ptr<Lane> Which);
  Async<void> commit(Lane &Which);

  boost::asio::any_io_executor Executor;
  IStore &Store;
  const IClock &Clock;
  Metrics &Figures;
  std::vector<std::shared_ptr<Lane>> Lanes;
};

} // namespace sardinerill::site
