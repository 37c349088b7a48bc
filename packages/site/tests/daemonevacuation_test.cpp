#include "evacuationfakes.h"
#include "fakestore.h"
#include "jobtable.h"
#include "unixtime.h"

#include "sardinerill/http/httpserver.h"
#include "sardinerill/site/sitedaemon.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

/// A whole daemon, which becomes the holder, with one job and one upstream.
struct DaemonFixture {
  boost::asio::io_context Context;
  FakeStore *Store = new FakeStore;
  OneUpstreamSource *Source = new OneUpstreamSource;
  AcceptingUpstreams *Upstreams = new AcceptingUpstreams;
  BootClock Clock;
  Metrics Stats;
  JobTable Jobs{Context.get_executor(), *Store, Clock, Stats};
  SiteSettings Settings{.Name = "a",
                        .CallerEndpoint = {"127.0.0.1", 0},
                        .ReadinessEndpoint = {"127.0.0.1", 0},
                        .PeerEndpoint = {"127.0.0.1", 0}};
  SiteDaemon Daemon{
      Context, Settings,
      PlatformAdapters{.Store = std::unique_ptr<IStore>(Store),
                       .Source = std::unique_ptr<ISiteSource>(Source),
                       .Upstreams =
                           std::unique_ptr<IUpstreamClientFactory>(Upstreams),
                       .Vms = std::make_unique<NoVms>(),
                       .ReloadSettings = [this]() -> Result<SiteSettings> {
                         return this->Settings;
                       }},
      std::make_unique<Metrics>()};

  /// Runs the daemon while \p Script runs.
  void run(const std::function<Async<void>()> &Script) {
    spawn(this->Context.get_executor(), "test",
          [this, Script]() -> Async<void> {
            co_await this->submit();
            co_await Script();
            this->Context.stop();
          });
    this->Daemon.run();
  }
  Async<void> submit(const std::string &Id = "0123456789abcdef") {
    JobSpec Spec{.Id = JobId(Id), .AcceptedAtMs = unixMillis()};
    Spec.Queue = {.Id = QueueId("q"), .Pool = PoolId("pool")};
    Spec.Steps = {{.Count = 1,
                   .Requested = {1000, 100, 0},
                   .Estimate = milliseconds(500)}};
    REQUIRE(co_await this->Jobs.accept(Spec, this->Clock.now() + seconds(1)));
  }
  /// Waits up to \p Limit for the start of the task.
  Async<bool> waitForStart(Duration Limit) {
    const Instant Until = this->Clock.now() + Limit;
    while (this->Upstreams->Started.empty() && this->Clock.now() < Until)
      co_await sleepFor(milliseconds(10));
    co_return !this->Upstreams->Started.empty();
  }
};

} // namespace

TEST_CASE("a daemon without evacuations and peers starts tasks") {
  DaemonFixture Site;
  Site.run(
      [&]() -> Async<void> { CHECK(co_await Site.waitForStart(seconds(10))); });
}

TEST_CASE("a daemon that becomes the holder keeps to a request in its first "
          "read until the feed shows the removal") {
  DaemonFixture Site;
  Site.Source->FullRead.Evacuations = {{.Zone = Zone1, .Version = 30}};
  Site.run([&]() -> Async<void> {
    CHECK_FALSE(co_await Site.waitForStart(seconds(4)));
    Site.Source->Feed.push_back(
        {.Evacuations = {{.Zone = Zone1, .Version = 50, .Requested = false}},
         .Version = 50});
    CHECK(co_await Site.waitForStart(milliseconds(1000)));
  });
}

TEST_CASE("a daemon starts nothing before it has read the operators' rows") {
  DaemonFixture Site;
  Site.Source->ReadsFail = true;
  Site.run([&]() -> Async<void> {
    CHECK_FALSE(co_await Site.waitForStart(seconds(4)));
    Site.Source->ReadsFail = false;
    CHECK(co_await Site.waitForStart(milliseconds(1000)));
  });
}

TEST_CASE("a new process keeps to a request that only its peers know of") {
  // Its own read of the table is older than the request.
  DaemonFixture Site;
  HttpServer Peer(Site.Context.get_executor(), {"127.0.0.1", 0},
                  [](HttpRequest Request) -> Async<HttpResponse> {
                    if (Request.Target != "/evacuations")
                      co_return HttpResponse{.Status = 404};
                    co_return HttpResponse{
                        .Status = 200,
                        .Body = encodeEvacuations({{.Zone = Zone1,
                                                    .Requested = true,
                                                    .RequestVersion = 45,
                                                    .KnownAt = 45}})};
                  });
  const Endpoint PeerEndpoint{"127.0.0.1", Peer.port()};
  Site.Store->apply(
      {.Writes = {{{"daemons", "d", "b"}, PeerEndpoint.str() + " 1"}}});
  Site.run([&]() -> Async<void> {
    CHECK_FALSE(co_await Site.waitForStart(seconds(4)));
    Site.Source->Feed.push_back(
        {.Evacuations = {{.Zone = Zone1, .Version = 50, .Requested = false}},
         .Version = 50});
    CHECK(co_await Site.waitForStart(milliseconds(1000)));
  });
}

TEST_CASE("a registry that is read just after the time limit each time is "
          "heard") {
  // Guards against a holder that knows of no upstream, while the table works on
  // a read every 0.5 s and each of them is given up.
  DaemonFixture Site;
  Site.Source->RegistryAnswerTime = milliseconds(901);
  Site.run(
      [&]() -> Async<void> { CHECK(co_await Site.waitForStart(seconds(10))); });
}

TEST_CASE("progress that is stored just after the time limit each time counts "
          "as stored") {
  // Guards against one batch that is stored again and again, and nothing after
  // it: each answer arrives after the call was given up.
  DaemonFixture Site;
  int GivenUp = 0;
  std::string Head;
  Site.Store->AnswerTimeOf = [&](const Transaction &Change) -> Duration {
    for (const RowWrite &Write : Change.Writes)
      if (Write.Id == progressHeadKey() && Change.Writes.size() > 1) {
        Head = Write.Value;
        ++GivenUp;
        return milliseconds(901);
      }
    return {};
  };
  Site.run([&]() -> Async<void> {
    CHECK(co_await Site.waitForStart(seconds(10)));
    co_await Site.submit("0123456789abcde0");
    const Instant Until = Site.Clock.now() + seconds(20);
    for (const char *Id : {"0123456789abcdef", "0123456789abcde0"}) {
      auto Stored = co_await Site.Jobs.find(JobId(Id), Until);
      REQUIRE(Stored);
      REQUIRE(co_await Site.Jobs.cancel(std::move(*Stored), Until));
      const std::string Before = Head;
      while (Head == Before && Site.Clock.now() < Until)
        co_await sleepFor(milliseconds(10));
    }
  });
  CAPTURE(Head);
  CAPTURE(GivenUp);
  CHECK(Head.ends_with(":2"));
  CHECK(GivenUp <= 4);
}
