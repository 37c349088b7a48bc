#pragma once

#include "async.h"

#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/iupstreamclient.h"
#include "sardinerill/site/ivmcontrol.h"

#include <deque>

/// \file
/// A site with one upstream, for the tests of evacuations.

namespace sardinerill::site::testing {

inline const ZoneId Zone1("z1");

/// Lists one upstream, which is in Zone1.
class OneUpstreamSource : public ISiteSource {
public:
  Async<Result<OperatorSnapshot>> readOperatorSnapshot(Duration) override {
    if (this->ReadsFail)
      co_return makeError(ErrorKind::PlatformUnavailable, "busy");
    co_return this->FullRead;
  }
  Async<Result<OperatorSnapshot>> waitForOperatorChanges(std::int64_t Version,
                                                         Duration) override {
    co_await sleepFor(milliseconds(5)); // Instead of the long poll.
    if (this->ReadsFail || this->FeedFails)
      co_return makeError(ErrorKind::PlatformUnavailable, "busy");
    if (this->Feed.empty())
      co_return OperatorSnapshot{.Version = Version};
    OperatorSnapshot Next = std::move(this->Feed.front());
    this->Feed.pop_front();
    co_return Next;
  }
  Async<Result<RegistrySnapshot>> readRegistry(Duration Timeout) override {
    if (Timeout < this->RegistryAnswerTime)
      co_return makeError(ErrorKind::PlatformOutcomeUnknown, "timed out");
    co_return RegistrySnapshot{.Upstreams = {{.Id = UpstreamId("u1"),
                                              .Pool = PoolId("pool"),
                                              .Address = "127.0.0.1:1",
                                              .Zone = Zone1,
                                              .Vm = VmId("vm-1"),
                                              .IncarnationStartMs = 1,
                                              .Capacity = {8000, 8000, 0}}}};
  }
  Async<Result<void>> publishWave(std::int64_t, bool, Duration) override {
    co_return Result<void>();
  }
  Async<Result<void>> publishEvacuation(ZoneId Zone,
                                        std::optional<EvacuationState> State,
                                        Duration) override {
    this->Published.emplace_back(Zone, State);
    co_return Result<void>();
  }
  Async<Result<std::map<ZoneId, EvacuationState>>>
  readPublishedEvacuations(Duration) override {
    co_return this->FromEarlierHolder;
  }

  OperatorSnapshot FullRead{.IsFullRead = true, .Version = 40};
  std::deque<OperatorSnapshot> Feed; ///< Answers of the change feed, in order.
  bool ReadsFail = false;            ///< Of the operators' rows.
  Duration RegistryAnswerTime{};
  bool FeedFails = false; ///< Waits for their changes alone.
  std::map<ZoneId, EvacuationState> FromEarlierHolder;
  std::vector<std::pair<ZoneId, std::optional<EvacuationState>>> Published;
};

/// Accepts starts and lists what was started as active.
class AcceptingUpstream : public IUpstreamClient {
public:
  explicit AcceptingUpstream(std::vector<RunId> &Started) : Started(Started) {}
  Async<PollResponse> poll(PollRequest Request, Duration) override {
    co_await sleepFor(std::min<Duration>(Request.Wait, milliseconds(20)));
    PollResponse Answer{.Outcome = PollOutcome::Answered,
                        .Listing = {.ClockMs = 1, .IncarnationStartMs = 1}};
    for (const RunId &Run : this->Started)
      Answer.Listing.Active.push_back({.Run = Run});
    co_return Answer;
  }
  Async<StartReply> start(StartRequest Request, Duration) override {
    this->Started.push_back(Request.Command.Run);
    co_return StartReply{StartOutcome::Accepted};
  }
  Async<StopOutcome> stop(StopCommand, std::int64_t, Duration) override {
    co_return StopOutcome::Acknowledged;
  }
  Async<bool> setPace(PaceCommand, std::int64_t, Duration) override {
    co_return true;
  }

private:
  std::vector<RunId> &Started;
};

class AcceptingUpstreams : public IUpstreamClientFactory {
public:
  std::unique_ptr<IUpstreamClient> connect(const UpstreamReport &) override {
    return std::make_unique<AcceptingUpstream>(this->Started);
  }
  std::vector<RunId> Started;
};

class NoVms : public ISiteVmControl {
public:
  Async<Result<std::vector<VmRecord>>> list(Duration) override {
    co_return std::vector<VmRecord>{};
  }
  Async<VmCommandOutcome> move(VmId, PoolId, VmCommandIssuer,
                               Duration) override {
    co_return VmCommandOutcome::Rejected;
  }
  Async<VmCommandOutcome> startMaintenance(VmId, std::int64_t, VmCommandIssuer,
                                           Duration) override {
    co_return VmCommandOutcome::Rejected;
  }
};

} // namespace sardinerill::site::testing
