#include "upstreamlink.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

/// Counts the stop commands and acknowledges them; polls are not answered.
class FakeClient : public IUpstreamClient {
public:
  explicit FakeClient(int &Stops) : Stops(Stops) {}
  Async<PollResponse> poll(PollRequest, Duration) override {
    co_return PollResponse{};
  }
  Async<StartReply> start(StartRequest, Duration) override {
    co_return StartReply{StartOutcome::Refused};
  }
  Async<StopOutcome> stop(StopCommand, std::int64_t, Duration) override {
    ++this->Stops;
    co_return StopOutcome::Acknowledged;
  }
  Async<bool> setPace(PaceCommand, std::int64_t, Duration) override {
    co_return true;
  }

private:
  int &Stops;
};

} // namespace

TEST_CASE("a stop that fell into a lapse of the ownership is sent after it") {
  // The table is away for longer than the lease. A run with an unknown start
  // counted for ever if its stop was given up meanwhile, and its task never
  // ran.
  boost::asio::io_context Context;
  ManualClock Clock;
  Scheduler JobScheduler{SchedulerOptions{}};
  OwnershipLease Ownership{OwnershipTimings{}, 1, Clock.now()};
  const SiteBounds Bounds;
  AsyncEvent SchedulingEvent{Context.get_executor()};
  const auto Shared = std::make_shared<LinkContext>(
      LinkContext{.Executor = Context.get_executor(),
                  .Clock = Clock,
                  .JobScheduler = JobScheduler,
                  .Ownership = Ownership,
                  .SchedulingEvent = SchedulingEvent,
                  .Bounds = Bounds});
  int Stops = 0; // Outlives the client.
  const UpstreamId Id("u1");
  const auto Link = std::make_shared<UpstreamLink>(
      Shared, UpstreamReport{.Id = Id}, std::make_unique<FakeClient>(Stops));
  Clock.advance(seconds(10));
  REQUIRE_FALSE(Ownership.maySendCommands(Clock.now()));
  Link->send(StopCommand{Id, RunId{}});
  Context.run_for(milliseconds(20));
  CHECK(Stops == 0);
  Ownership.recordRenewal(Clock.now());
  Context.restart();
  Context.run_for(seconds(20)); // Ends when the command has been sent.
  CHECK(Stops == 1);
}
