#pragma once

#include "sardinerill/admission/admission.h"
#include "sardinerill/base/ibackground.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/dispatch/iworkservice.h"
#include "sardinerill/jobs/ijobservice.h"
#include "sardinerill/jobs/jobstore.h"
#include "sardinerill/platform/platformgate.h"

#include <deque>
#include <map>
#include <set>

/// \file
/// Accepts jobs, runs those that this daemon owns, and takes over those of
/// daemons that are gone.

namespace sardinerill {

/// What the service asks of the rest of the daemon.
class IJobSurroundings {
public:
  virtual ~IJobSurroundings() = default;
  virtual Result<Admitted> admit(const AdmissionRequest &Request) = 0;
  /// \returns the team whose key this is; the open team without one.
  virtual Result<TeamId> identify(const std::optional<std::string> &Key) = 0;
  /// \returns whether work of the class may run twice; nothing if the class is
  /// gone.
  virtual std::optional<bool> isIdempotent(const ClassId &Class) = 0;
  /// \returns whether \p Owner certainly runs no more.
  virtual bool isGone(const DaemonId &Owner) = 0;
  virtual std::int64_t wallClockMs() = 0;
};

/// The parts that the service works with.
struct JobServiceParts {
  DaemonId Self;
  IPlatform &Platform;
  IBackground &Background;
  IWorkService &Work;
  IJobSurroundings &Environment;
  PlatformGate &Gate;
  const IClock &Clock;
  Metrics &Stats;
};

/// All calls are made on the deciding thread. A job is moved to Running in the
/// table before its first try, so that no two daemons run it.
class JobService : public IJobService {
public:
  explicit JobService(JobServiceParts Deps) : Deps(std::move(Deps)) {}

  void call(JobCall Call, Done OnDone) override;

  /// Starts queued jobs; called a few times a second.
  void tick();
  /// Looks for jobs whose owner is gone; called now and then.
  void adopt();
  /// Starts no more jobs and leaves those that wait to any other daemon.
  void beginStop();
  /// \returns whether no job is in hand.
  bool isIdle() const { return this->InFlight.empty(); }

private:
  using StoredOutcome = Result<StoredJob>;
  /// An outcome that the platform did not take yet.
  struct PendingWrite {
    StoredJob Job;
    JobRecord Changed;
    std::string ResultBody;
  };

  void submit(const JobCall &Call, Done OnDone);
  void status(const JobCall &Call, Done OnDone);
  void fetch(const JobCall &Call, Done OnDone);
  void cancelJob(const JobCall &Call, Done OnDone);
  /// Reads the job for \p Call's team and goes on with it.
  void withTeamJob(const JobCall &Call, Done OnDone,
                   std::function<void(StoredJob)> OnRead);
  void start(const JobId &Id);
  void run(StoredJob Job, std::string Payload);
  void finish(StoredJob Job, Result<WorkAnswer> Outcome);
  void writeBack(StoredJob Job, JobRecord Changed, std::string ResultBody);
  void takeOver(const StoredJob &Job);

  JobServiceParts Deps;
  std::deque<JobId> QueuedJobs;
  std::set<JobId> InFlight;
  /// Jobs whose move to Running may have been written.
  std::set<JobId> PossiblyStarted;
  std::deque<PendingWrite> PendingWrites;
  bool Adopting = false;
  bool Stopping = false;
};

} // namespace sardinerill
