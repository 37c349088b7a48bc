#pragma once

#include "sardinerill/admission/admission.h"
#include "sardinerill/base/ibackgroundexecutor.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/dispatch/iworkservice.h"
#include "sardinerill/jobs/ijobservice.h"
#include "sardinerill/jobs/jobstore.h"
#include "sardinerill/platform/platformcalllimiter.h"

#include <deque>
#include <map>
#include <set>

/// \file
/// Accepts jobs, runs those that this daemon owns, and takes over the jobs of
/// daemons that are confirmed to have stopped.

namespace sardinerill {

/// Functions of the daemon that the job service depends on.
class IJobEnvironment {
public:
  virtual ~IJobEnvironment() = default;
  /// Checks that the caller may submit a job of the class.
  virtual Result<AdmittedRequest> admit(const AdmissionRequest &Request) = 0;
  /// \returns the team that \p Key belongs to, or the anonymous team if there
  /// is no key.
  virtual Result<TeamId> teamOfKey(const std::optional<std::string> &Key) = 0;
  /// \returns whether jobs of the class may run more than once, or std::nullopt
  /// if the class no longer exists.
  virtual std::optional<bool> isIdempotent(const ClassId &Class) = 0;
  /// \returns whether \p Owner is confirmed to have stopped, or is empty, which
  /// means that the job has no owner.
  virtual bool isGoneOrUnowned(const DaemonId &Owner) = 0;
  /// \returns the wall-clock time in ms since the Unix epoch.
  virtual std::int64_t wallClockMs() = 0;
};

/// Dependencies of the job service.
struct JobServiceDependencies {
  DaemonId Self;
  IPlatform &Platform;
  IBackgroundExecutor &Background;
  IWorkService &Work;
  IJobEnvironment &Environment;
  PlatformCallLimiter &Limiter;
  const IClock &Clock;
  Metrics &Stats;
};

/// Runs stored jobs through the dispatcher. A job's row is set to Running
/// before the job is submitted to the dispatcher, so that no two daemons run
/// it at the same time. Not thread-safe: all calls are made on the event loop
/// thread.
class JobService : public IJobService {
public:
  explicit JobService(JobServiceDependencies Deps) : Deps(std::move(Deps)) {}

  void call(JobRequest Request, Callback OnDone) override;

  /// Starts queued jobs and repeats failed writes; called a few times a second.
  void tick();
  /// Takes over jobs that have no owner or whose owner has stopped, and queues
  /// this daemon's own jobs that it no longer tracks; called periodically.
  void takeOverOrphanedJobs();
  /// Starts no more jobs, and tries to clear the owner of queued ones, so that
  /// any other daemon can take them over. A failed write is not repeated.
  void beginStop();
  /// \returns whether no job is in flight.
  bool isIdle() const { return this->InFlight.empty(); }

private:
  using StoredOutcome = Result<StoredJob>;
  /// A job update whose write failed or has an unknown outcome; tick() repeats
  /// it.
  struct PendingWrite {
    StoredJob Job;
    JobRecord Changed;
    std::string ResultBody;
  };

  void submit(const JobRequest &Request, Callback OnDone);
  void status(const JobRequest &Request, Callback OnDone);
  void fetch(const JobRequest &Request, Callback OnDone);
  void cancelJob(const JobRequest &Request, Callback OnDone);
  /// Reads the job of \p Request and passes it to \p OnRead if it belongs to
  /// the caller's team.
  void readTeamJob(const JobRequest &Request, Callback OnDone,
                   std::function<void(StoredJob)> OnRead);
  /// Sets the job's row to Running and then submits the job to the dispatcher.
  void startJob(const JobId &Id);
  void submitToDispatcher(StoredJob Job, std::string Payload);
  void handleOutcome(StoredJob Job, Result<WorkResponse> Outcome);
  void writeBack(StoredJob Job, JobRecord Changed, std::string ResultBody);
  void takeOver(const StoredJob &Job);

  JobServiceDependencies Deps;
  std::deque<JobId> QueuedJobs;
  std::set<JobId> InFlight;
  /// Jobs whose start failed and will be repeated. Their rows may already be
  /// set to Running, because the outcome of the write may be unknown.
  std::set<JobId> PossiblyStarted;
  std::deque<PendingWrite> PendingWrites;
  bool TakingOver = false;
  bool Stopping = false;
};

} // namespace sardinerill
