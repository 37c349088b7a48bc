#pragma once

#include "jobtable.h"
#include "peerdoor.h"

#include "sardinerill/site/callerdesk.h"

#include <set>

/// \file
/// Decides what becomes of a caller's call.

namespace sardinerill::site {

struct DeskParts {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  JobTable &Jobs;
  Metrics &Figures;
  JobDecoder DecodeJob;
  /// The configuration in force; none before the first.
  std::function<const SiteConfiguration *()> Configuration;
  /// \returns the state if this daemon gives the orders and knows the job.
  std::function<std::optional<JobState>(const JobId &)> OwnState;
  std::function<std::optional<int>(const QueueId &)> OwnPending;
  /// Tells this daemon's own holder of a change; \returns whether it has one.
  std::function<bool(const JobChange &)> TellOwn;
  /// \returns where the daemon is reached that gives the orders.
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
  /// Tells the holder of \p Change, ahead of the table's list of changes.
  void tellHolder(JobChange Change);

  DeskParts Parts;
  std::shared_ptr<HolderClient> Holder;
};

} // namespace sardinerill::site
