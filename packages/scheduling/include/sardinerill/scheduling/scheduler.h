#pragma once

#include "sardinerill/scheduling/jobprogress.h"
#include "sardinerill/scheduling/orders.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

/// \file
/// Decides where and when each task of a site runs.

namespace sardinerill::site {

struct UpstreamRecord;
struct JobRecord;

struct SchedulerOptions {
  SiteBounds Bounds;
  /// Counts the holders so far; keeps run numbers of two holders apart.
  int Term = 0;
  /// Until then, runs of an earlier holder may go on unseen on upstreams that
  /// have not answered.
  Instant InheritedUntil{};
  /// Until then, tasks that last may be ending by orders of an earlier holder,
  /// although their upstreams list them as at work.
  Instant StopsPendingUntil{};
  /// Until then, jobs may be missing here that upstreams have run: what was
  /// read of the table may be seconds old.
  Instant UnknownJobsUntil{};
};

/// Progress of one job that has to be stored before it counts.
struct ProgressChange {
  JobId Job;
  std::int64_t Revision = 0;
  std::string Text;
};

struct UpstreamLoad {
  /// Whether it has answered this holder lately: the rest is certain.
  bool Heard = false;
  int Runs = 0;
  int LastingRuns = 0;
  Resources Used;
};

/// Why a task that lasts does not leave its upstream.
struct StayingTask {
  bool Stays = false; ///< Otherwise the rest is empty.
  TaskId Task;
  int OthersAway = 0; ///< Tasks of its step that are not at work.
  int Allowed = 0;    ///< How many may be away by our orders.
  bool HasOtherPlace = false;
};

/// One pool as the planner of VMs sees it.
struct PoolDemand {
  /// Processors that running and startable tasks ask for.
  std::int64_t CpuMilli = 0;
  /// The part of it that has to wait.
  std::int64_t WaitingCpuMilli = 0;
  /// The part of tasks that last.
  std::int64_t LastingCpuMilli = 0;
  /// What work that arrives at the present rate keeps busy.
  std::int64_t ArrivingCpuMilli = 0;
  /// VMs that the widest step of tasks that last is spread over.
  int SpreadVms = 0;

  /// \returns what the pool needs now or soon.
  std::int64_t expected() const {
    return std::max(this->CpuMilli,
                    this->LastingCpuMilli + this->ArrivingCpuMilli);
  }
};

/// \returns the name of a task for logs.
std::string describe(const TaskId &Id);

/// The scheduler of all pools that one holder orders. Has no clock and does no
/// I/O: every event carries its time, and orders are taken with takeOrders().
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  void configure(const SiteConfiguration &Configuration);

  /// Takes in an accepted job.
  /// \param Progress what an earlier holder stored about it, if anything.
  /// \param Inherited whether an earlier holder may have started it.
  void addJob(JobSpec Spec, const std::optional<JobProgress> &Progress,
              bool Inherited, Instant AcceptedAt, Instant Now);
  /// Takes in a job that ended under an earlier holder.
  void addEndedJob(const JobId &Job, JobState State, Instant Now);
  void cancelJob(const JobId &Job, Instant Now);
  bool knows(const JobId &Job) const;
  /// \returns the state that may be shown; none for an unknown job.
  std::optional<JobState> stateOf(const JobId &Job) const;
  int pendingJobs(const QueueId &Queue) const;

  /// Takes in what the registry says of an upstream.
  void reportUpstream(const UpstreamReport &Report, Instant Now);
  /// The registry has no entry for \p Id any more.
  void unlistUpstream(const UpstreamId &Id, Instant Now);
  /// Nothing of this life runs any more.
  void loseUpstream(const UpstreamId &Id, std::string_view Reason, Instant Now);
  /// The same, and later reports of this life are ignored: it was ended.
  void retireUpstream(const UpstreamId &Id, std::string_view Reason,
                      Instant Now);
  /// Takes in which upstreams the VMs run, reached or not. The registry alone
  /// does not show them all: it drops the entry of an upstream that is cut off
  /// while its tasks run on.
  void listHosted(const std::vector<VmRecord> &Vms);
  /// \returns upstreams reported before \p Before that have never answered.
  std::vector<UpstreamId> silentSince(Instant Before) const;
  UpstreamLoad loadOf(const UpstreamId &Id, Instant Now) const;
  /// Takes in what an upstream lists.
  /// \param SentAt when the question was sent.
  void listRuns(const UpstreamId &Id, const RunListing &Listing, Instant SentAt,
                Instant Now);
  /// Takes in the ends of an answer that was overtaken by a newer one: they may
  /// never be listed again.
  void listEnds(const UpstreamId &Id, const std::vector<EndedRun> &Ends,
                Instant Now);
  /// \returns the last end that may be forgotten by the upstream.
  std::int64_t acknowledged(const UpstreamId &Id) const;

  void startAnswered(const UpstreamId &Id, const RunId &Run,
                     StartOutcome Outcome, Instant Now);
  void stopAnswered(const UpstreamId &Id, const RunId &Run, StopOutcome Outcome,
                    Instant Now);
  void adviceAnswered(const AdviceOrder &Asked,
                      const std::map<UpstreamId, std::string> &Tickets,
                      Duration Validity, Instant Now);

  /// Takes in which upstreams will be taken down for maintenance; replaces what
  /// was said before.
  void expectMaintenance(const std::set<UpstreamId> &Due);
  /// \returns whether \p Id is worth a look sooner than usual: a task whose
  /// step has a budget is starting there, and others wait to be moved.
  bool wantsEarlyLook(const UpstreamId &Id, Instant Now) const;
  /// No new task is placed on a cordoned VM.
  void cordon(const UpstreamId &Id, bool Cordoned);

  /// Places what waits and looks after what runs.
  void decide(Instant Now, std::int64_t UnixMs);
  /// \returns the orders given since the last call.
  std::vector<Order> takeOrders();
  /// \returns changes of progress that are due to be stored.
  std::vector<ProgressChange> takeProgress();
  /// The changes up to \p Revision of \p Job are stored.
  void progressStored(const JobId &Job, std::int64_t Revision);
  /// \returns jobs that ended more than the retention time ago; forgets them.
  std::vector<JobId> takeExpired(Instant Now);

  const std::map<UpstreamId, std::unique_ptr<UpstreamRecord>> &
  upstreams() const;
  const std::map<JobId, std::unique_ptr<JobRecord>> &jobs() const;
  std::map<PoolId, PoolDemand> demand(Instant Now) const;
  /// Stops the tasks that last on \p Id whose budgets allow it, to be started
  /// elsewhere. \returns how many such tasks are left there.
  int evacuate(const UpstreamId &Id, Instant Now);
  /// \returns whether ending all that runs on \p Id breaks no budget.
  bool mayInterrupt(const UpstreamId &Id, Instant Now) const;
  /// An order that ends all that runs on \p Id was given, or, if not \p Ends,
  /// was certainly not carried out.
  void expectEnd(const UpstreamId &Id, bool Ends);
  /// \returns the first task on \p Id that has to stay there for now.
  StayingTask stayingTask(const UpstreamId &Id, Instant Now);

private:
  struct State;
  std::unique_ptr<State> Inner;
};

} // namespace sardinerill::site
