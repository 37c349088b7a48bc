#pragma once

#include "async.h"
#include "upstreamlease.h"

#include "sardinerill/ownership/ownership.h"
#include "sardinerill/scheduling/scheduler.h"
#include "sardinerill/site/iupstreamclient.h"

/// \file
/// Connection to one incarnation of an upstream: renews its lease, fetches its
/// listings of runs and sends commands.

namespace sardinerill::site {

/// State shared by the links of one holder. The references to members of the
/// holder are valid only until Stopped is set.
struct LinkContext {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  Scheduler &JobScheduler;
  OwnershipLease &Ownership;
  /// Notified when the scheduler's input has changed.
  AsyncEvent &SchedulingEvent;
  const SiteBounds &Bounds;
  /// When the last lease sent by previous holders expires.
  Instant InheritedLeasesExpireAt{};
  bool Stopped = false;
};

class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
public:
  UpstreamLink(std::shared_ptr<LinkContext> Context, UpstreamReport Report,
               std::unique_ptr<IUpstreamClient> Client);

  /// Starts a coroutine that renews the lease and applies listings until the
  /// link is closed.
  void run();
  void close() { this->Closed = true; }
  bool isClosed() const { return this->Closed; }
  const UpstreamReport &report() const { return this->Report; }
  /// Continues with the process that has started again under the same id and
  /// address, and asks it for a listing at once. The scheduler must know of it.
  void followRestart(std::int64_t IncarnationStartMs);
  void send(StartCommand Start);
  void send(StopCommand Stop);
  void send(PaceCommand Pace);

private:
  Async<void> pollLoop();
  Async<void> waitUntilStored(std::int64_t Sequence);
  Async<void> sendStart(StartCommand Start);
  Async<void> sendStop(StopCommand Stop);
  /// Sends \p Start on a connection to the process whose clock is known. If
  /// there is none, asks the upstream for a listing on a new one first.
  /// \returns Refused if nothing was sent.
  Async<StartReply> requestStart(StartCommand Start);
  /// \returns whether the upstream has answered with a listing.
  Async<bool> fetchListing();
  Async<bool> pollOnce(Duration Timeout);
  /// Polls at once, beside the poll under way.
  void pollNow();
  Async<void> sendPace(PaceCommand Pace);
  void adoptIncarnation(std::int64_t IncarnationStartMs);
  /// Continues without a known clock after an answer with \p ClockMs, which is
  /// not that of the known process. The next listing says which one answers.
  void expectRestart(std::int64_t ClockMs);
  /// Forgets the clock and the connections, and waits for leases that were
  /// computed from it, after another process has been started.
  void resetLease(Instant Now);
  /// \param Timeout of the poll.
  void applyAnswer(const PollResponse &Answer, Instant SentAt,
                   Duration Timeout);
  bool isActive() const;
  /// \returns whether \p Run may be started now, and is still to be.
  bool maySendStart(const RunId &Run) const;
  /// \returns whether all leases have expired that any process of the upstream
  /// may have been sent.
  bool haveLeasesExpired(Instant Now);
  void markLost(std::string_view Reason);
  /// As markLost(), for a process that has certainly ended.
  void markEnded(std::string_view Reason);

  std::shared_ptr<LinkContext> Context;
  UpstreamReport Report;
  std::unique_ptr<IUpstreamClient> Client;
  bool Closed = false;
  UpstreamLease Lease;
  /// When the poll for the newest listing was sent.
  Instant NewestListingSentAt{};
  /// The newest connection on which the known process has answered. What is
  /// computed from its clock or its numbers is sent on no newer one, which
  /// could lead to the next process under the same id.
  ConnectionNumber KnownConnection = 0;
  int Restarts = 0; ///< Incarnations that have ended since it was created.
  Instant RestartedAt{};
  int UnansweredPolls = 0; ///< Consecutive polls without an answer.
  /// When the leases expire that a process may have been sent which followed
  /// one that has ended, and has not answered yet.
  std::optional<Instant> NextProcessLeasesUntil;
};

} // namespace sardinerill::site
