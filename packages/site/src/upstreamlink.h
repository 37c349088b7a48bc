#pragma once

#include "async.h"
#include "upstreamlease.h"

#include "sardinerill/ownership/ownership.h"
#include "sardinerill/scheduling/scheduler.h"
#include "sardinerill/site/iupstreamclient.h"

/// \file
/// The way to one life of an upstream: its lease, its listing, its orders.

namespace sardinerill::site {

/// What a link needs of the holder it belongs to. Outlives all its links.
struct LinkContext {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  Scheduler &Plan;
  HeldOwnership &Ownership;
  Signal &Decide; ///< Notified when the scheduler has news.
  const SiteBounds &Bounds;
  /// When the last lease that earlier holders sent has run out.
  Instant InheritedUntil{};
  bool Stopped = false;
};

class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
public:
  UpstreamLink(std::shared_ptr<LinkContext> Context, UpstreamReport Report,
               std::unique_ptr<IUpstreamClient> Client);

  /// Holds the lease and takes in listings until the link is closed.
  void run();
  void close() { this->Closed = true; }
  bool closed() const { return this->Closed; }
  const UpstreamReport &report() const { return this->Report; }
  void send(StartOrder Order);
  void send(StopOrder Order);
  void send(PaceOrder Order);

private:
  Async<void> holdLoop();
  Async<void> waitUntilStored(std::int64_t Sequence);
  Async<void> startOne(StartOrder Order);
  Async<void> stopOne(StopOrder Order);
  Async<void> lookNow();
  Async<void> paceOne(PaceOrder Order);
  void take(const HoldAnswer &Answer, Instant SentAt);
  bool active() const;
  void lose(std::string_view Reason);

  std::shared_ptr<LinkContext> Context;
  UpstreamReport Report;
  std::unique_ptr<IUpstreamClient> Client;
  bool Closed = false;
  UpstreamLease Lease;
  Instant NewestListing{}; ///< When the question of the last listing went out.
  int Unanswered = 0;      ///< Questions in a row without an answer.
};

} // namespace sardinerill::site
