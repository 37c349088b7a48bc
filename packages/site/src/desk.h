#pragma once

#include "jobtable.h"
#include "peerdoor.h"

#include "sardinerill/site/callerdesk.h"

#include <set>

/// \file
/// Handles calls from API clients: submissions, state queries, cancellations
/// and counts of pending jobs.

namespace sardinerill::site {

struct DeskParts {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  JobTable &Jobs;
  Metrics &Figures;
  JobDecoder DecodeJob;
  /// \returns the current configuration, or null before the first one was read.
  std::function<const SiteConfiguration *()> Configuration;
  /// \returns the state if this daemon is the active holder and has the job.
  std::function<std::optional<JobState>(const JobId &)> OwnState;
  std::function<std::optional<int>(const QueueId &)> OwnPending;
  /// Passes a change to the holder in this daemon. \returns whether there is
  /// one.
  std::function<bool(const JobChange &)> TellOwn;
  /// \returns the peer endpoint of the holder; not valid if it is unknown or is
  /// this daemon.
  std::function<Endpoint()> HolderDoor;
};

class Desk {
public:
  explicit Desk(DeskParts Parts) : Parts(std::move(Parts)) {}

  Async<Result<CallerReply>> handle(CallerCall Call);

private:
  struct Admitted {
    QueueSettings Queue;
    OrganisationId Organisation;
    JobId Job;
    Instant Until{};
  };
  Result<Admitted> admit(const CallerCall &Call) const;
  Async<Result<CallerReply>> submit(Admitted Of, std::string Body);
  Async<Result<CallerReply>> stateOf(Admitted Of);
  Async<Result<CallerReply>> cancel(Admitted Of);
  Async<Result<CallerReply>> pending(Admitted Of);
  HolderClient *holder();
  /// Notifies the holder of \p Change, so that it need not wait for the table's
  /// list of changes.
  void tellHolder(JobChange Change);

  DeskParts Parts;
  std::shared_ptr<HolderClient> Holder;
};

} // namespace sardinerill::site
