#include "evacuationfakes.h"
#include "fakestore.h"

#include "sardinerill/configuration/configurationchanges.h"
#include "sardinerill/evacuation/zoneevacuations.h"
#include "sardinerill/http/httpserver.h"
#include "sardinerill/site/sitedaemon.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// A daemon that gets a newer configuration from a peer.

namespace {

/// A peer that uses version 8, and a daemon whose table does not return it.
struct BehindFixture {
  boost::asio::io_context Context;
  OneUpstreamSource *Source = new OneUpstreamSource;
  Metrics *Stats = new Metrics;
  int Asked = 0;
  /// Version 8 is named after this many questions for the version.
  int QuestionsBefore = 0;
  int Questions = 0;
  OperatorRowsUpdate Update{.Position = 60,
                            .Changes = {.From = 7, .To = 8},
                            .Evacuations = encodeEvacuations({})};
  HttpServer Peer{Context.get_executor(),
                  {"127.0.0.1", 0},
                  [this](HttpRequest Request) -> Async<HttpResponse> {
                    HttpResponse Answer{.Status = 404};
                    if (Request.Target == "/evacuations")
                      Answer = {.Status = 200, .Body = encodeEvacuations({})};
                    if (Request.Target == "/operator-rows") {
                      ++this->Asked;
                      CHECK(decodeDigest(Request.Body)->Version == 7);
                      Answer = {.Status = 200,
                                .Body = encodeUpdate(this->Update)};
                    }
                    if (Request.Target == "/configuration")
                      ++this->Questions;
                    Answer.Headers.push_back(
                        {"Configuration-Version",
                         this->Questions >= this->QuestionsBefore ? "8" : "7"});
                    co_return Answer;
                  }};
  SiteSettings Settings{.Name = "a",
                        .CallerEndpoint = {"127.0.0.1", 0},
                        .ReadinessEndpoint = {"127.0.0.1", 0},
                        .PeerEndpoint = {"127.0.0.1", 0}};

  /// Runs a daemon until it has used or rejected what the peer returned.
  /// \returns whether it has used it.
  bool run() {
    auto *const Store = new FakeStore;
    Store->apply(
        {.Writes = {{{"daemons", "d", "b"},
                     "127.0.0.1:" + std::to_string(Peer.port()) + " 1"}}});
    this->Source->FullRead.Configuration = SiteConfiguration{.Version = 7};
    SiteDaemon Daemon(
        this->Context, this->Settings,
        PlatformAdapters{.Store = std::unique_ptr<IStore>(Store),
                         .Source = std::unique_ptr<ISiteSource>(this->Source),
                         .Upstreams = std::make_unique<AcceptingUpstreams>(),
                         .Vms = std::make_unique<NoVms>(),
                         .ReloadSettings = [this]() -> Result<SiteSettings> {
                           return this->Settings;
                         }},
        std::unique_ptr<Metrics>(this->Stats));
    bool Applied = false;
    spawn(this->Context.get_executor(), "test", [&]() -> Async<void> {
      bool Rejected = false;
      const BootClock Clock;
      const Instant GiveUpAt = Clock.now() + seconds(30);
      while (!Applied && !Rejected && Clock.now() < GiveUpAt) {
        co_await sleepFor(milliseconds(10));
        Applied = this->Stats->counter("configuration_peer_reads_total") > 0;
        Rejected =
            this->Stats->counter("configuration_peer_reads_failed_total") > 0;
      }
      this->Context.stop();
    });
    Daemon.run();
    return Applied;
  }
};

} // namespace

TEST_CASE("a daemon gets a configuration that the table does not return from a "
          "peer that uses it") {
  // Guards against withdrawn keys that are accepted while the table turns a
  // daemon away, or sends it a large change over a narrow link.
  BehindFixture Site;
  CHECK(Site.run());
  CHECK(Site.Asked == 1);
}

TEST_CASE("a daemon asks peers for their version while the table is silent") {
  // Guards against a daemon that does not know that it is behind: no answer to
  // its relayed polls arrives, as the change is too large for them.
  BehindFixture Site;
  Site.Source->FeedFails = true;
  Site.QuestionsBefore = 2; // The first one is asked at the start.
  CHECK(Site.run());
  CHECK(Site.Asked == 1);
}

TEST_CASE("a peer's changes that don't lead on from the version in force are "
          "not used") {
  // Guards against a configuration that is put together of two others.
  BehindFixture Site;
  Site.Update.Changes.From = 8;
  Site.Update.Changes.To = 9;
  CHECK_FALSE(Site.run());
  CHECK(Site.Asked == 1);
}
