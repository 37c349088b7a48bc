#include "fakestore.h"
#include "peerapi.h"

#include "sardinerill/evacuation/zoneevacuations.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

TEST_CASE("a daemon that has not read the operators' rows tells peers nothing "
          "of evacuations") {
  // Its empty state would permit a new holder to start tasks anywhere.
  FakeStore Store;
  ZoneEvacuations Known;
  bool Informed = false;
  const PeerApiDeps Deps{
      .Store = Store,
      .ConfigurationVersion = [] { return 0; },
      .Evacuations = [&]() -> std::optional<std::string> {
        return Informed ? std::optional(encodeEvacuations(Known.known()))
                        : std::nullopt;
      }};
  const auto Ask = [&] {
    boost::asio::io_context Context;
    return runToEnd<HttpResponse>(Context, [&]() -> Async<HttpResponse> {
      return handlePeerRequest(Deps, evacuationsRequest());
    });
  };
  CHECK(Ask().Status == 503);
  Informed = true;
  const EvacuationRow Request{.Zone = ZoneId("z1"), .Version = 5};
  Known.applyChanges({&Request, 1}, Instant{});
  const HttpResponse Answer = Ask();
  CHECK(Answer.Status == 200);
  const auto States = decodeEvacuations(Answer.Body);
  REQUIRE(States.has_value());
  REQUIRE(States->size() == 1);
  CHECK(States->front().Zone == ZoneId("z1"));
  CHECK(States->front().Requested);
}
