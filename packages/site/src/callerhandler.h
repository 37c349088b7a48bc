#pragma once

#include "jobtable.h"
#include "peerapi.h"

#include "sardinerill/overload/admission.h"
#include "sardinerill/site/callercalls.h"

#include <set>

/// \file
/// Handles calls from API clients: submissions, state queries, cancellations
/// and counts of pending jobs.

namespace sardinerill::site {

struct CallerHandlerDeps {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  JobTable &Jobs;
  Metrics &Stats;
  JobDecoder DecodeJob;
  /// \returns the current configuration, or null before the first one was read.
  std::function<const SiteConfiguration *()> Configuration;
  /// \returns the version that is in force elsewhere, if it is newer than that
  /// of the current configuration.
  std::function<std::optional<std::int64_t>()> NewerVersion;
  /// \returns whether the current configuration has been replaced elsewhere for
  /// too long to allow anything by it.
  std::function<bool()> IsOutdated;
  /// \returns when the last reply must be sent, because the process exits.
  std::function<Instant()> LatestReply;
  /// \returns the state if this daemon is the holder, has loaded all jobs, may
  /// send commands and has the job.
  std::function<std::optional<JobState>(const JobId &)> LocalState;
  std::function<std::optional<int>(const QueueId &)> LocalPendingJobs;
  /// Passes a change to the holder in this daemon. \returns whether there is
  /// one.
  std::function<bool(const JobChange &)> NotifyLocalHolder;
  /// \returns the load summary of the holder in this daemon, if there is one.
  std::function<std::shared_ptr<const overload::LoadSummary>()> LocalLoad;
  bool RefuseUnservable = false; ///< SchedulingPolicy::RefuseUnservable.
  /// \returns the peer endpoint of the holder; not valid if it is unknown or is
  /// this daemon.
  std::function<Endpoint()> HolderEndpoint;
  PeerAnswerObserver OnHolderAnswer = nullptr; ///< May be empty.
};

/// The newest load summary of a holder in another daemon.
class HolderLoad {
public:
  /// Takes in the answer to a notice sent at \p SentAt.
  /// \returns false if \p Text is not empty and can't be decoded.
  bool update(const std::string &Text, Instant SentAt);
  /// \returns the summary if it is recent at \p Now.
  std::shared_ptr<const overload::LoadSummary> at(Instant Now) const;

private:
  std::shared_ptr<const overload::LoadSummary> Summary;
  Instant ComputedAt{};
};

class CallerHandler {
public:
  explicit CallerHandler(CallerHandlerDeps Deps) : Deps(std::move(Deps)) {}

  Async<Result<CallerReply>> handle(CallerCall Call);

private:
  struct AdmittedCall {
    QueueSettings Queue;
    OrganisationId Organisation;
    JobId Job;
    Instant Deadline{};
  };
  Result<AdmittedCall> admit(const CallerCall &Call) const;
  /// \returns the error for a call that the current configuration refuses with
  /// \p ByOlder while \p Newer is in force elsewhere.
  Async<Error> errorWhileBehind(const CallerCall &Call, Error ByOlder,
                                std::int64_t Newer);
  Async<Result<CallerReply>> submit(AdmittedCall Admitted, std::string Body);
  Async<Result<CallerReply>> stateOf(AdmittedCall Admitted);
  Async<Result<CallerReply>> cancel(AdmittedCall Admitted);
  Async<Result<CallerReply>> pending(AdmittedCall Admitted);
  /// \returns the holder's load; none if none is known that is recent.
  std::shared_ptr<const overload::LoadSummary> knownLoad();
  /// \returns why \p Spec is refused if it has not been accepted before.
  std::optional<Error> refusalOf(const JobSpec &Spec);
  /// \returns the client of the holder in another daemon; null if there is
  /// none. A call on it may outlast HolderConnection, so its caller keeps it.
  std::shared_ptr<HolderClient> holderClient();
  /// Notifies the holder of \p Change, so that it need not wait for the table's
  /// list of changes.
  void notifyHolder(JobChange Change);

  CallerHandlerDeps Deps;
  std::shared_ptr<HolderClient> HolderConnection;
  /// What the holder at HolderConnection has answered.
  std::shared_ptr<HolderLoad> RemoteLoad;
};

} // namespace sardinerill::site
