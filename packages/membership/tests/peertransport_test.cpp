#include "sardinerill/membership/peertransport.h"

#include "websocketendpoint.h"

#include <doctest/doctest.h>
#include <thread>

using namespace sardinerill;

namespace {

/// One daemon's peer transport, on a port chosen by the system.
struct TestPeer {
  Membership Members;
  Metrics Stats;
  PeerTransport Transport;
  std::vector<PeerEnvelope> Received;

  TestPeer(boost::asio::io_context &Io, const std::string &Name,
           const std::string &Secret)
      : Members(DaemonId(Name + "#1"), PeerEndpoint{}, {}),
        Transport(Io, Members, PeerCodec(Secret), Stats) {
    REQUIRE(this->Transport.listen("127.0.0.1", 0) == "");
    this->Transport.setHandler(
        [this](const DaemonId &From, const PeerMessage &M) {
          this->Received.push_back({From, M});
        });
  }

  void addPeer(const TestPeer &Other) {
    this->Members.applyRoster(
        {{Other.Members.self(),
          PeerEndpoint{ZoneId("z"), "127.0.0.1", Other.Transport.port()}}},
        Instant(seconds(1)));
  }
};

template <typename Condition>
void runUntil(boost::asio::io_context &Io, Condition IsReached) {
  while (!IsReached()) {
    Io.restart();
    Io.poll();
    std::this_thread::yield();
  }
}

} // namespace

TEST_CASE("messages reach a peer and replies use the same link") {
  boost::asio::io_context Io;
  TestPeer A(Io, "a", "secret");
  TestPeer B(Io, "b", "secret");
  A.addPeer(B);
  A.Transport.send(B.Members.self(), VersionHint{7});
  A.Transport.send(B.Members.self(), VersionHint{8});
  runUntil(Io, [&] { return B.Received.size() == 2; });
  CHECK(B.Received[0] == PeerEnvelope{A.Members.self(), VersionHint{7}});
  // B does not know the address of A, so it must reuse the link.
  B.Transport.send(A.Members.self(), VersionAck{8});
  runUntil(Io, [&] { return A.Received.size() == 1; });
  CHECK(A.Received[0] == PeerEnvelope{B.Members.self(), VersionAck{8}});
  A.Transport.stop();
  B.Transport.stop();
}

TEST_CASE("a frame with a wrong secret is counted and not delivered") {
  boost::asio::io_context Io;
  TestPeer A(Io, "a", "secret");
  TestPeer PeerWithWrongSecret(Io, "c", "another secret");
  PeerWithWrongSecret.addPeer(A);
  PeerWithWrongSecret.Transport.send(A.Members.self(), VersionHint{9});
  runUntil(Io,
           [&] { return A.Stats.counter("peer_frames_rejected_total") == 1; });
  CHECK(A.Received.empty());
  A.Transport.stop();
  PeerWithWrongSecret.Transport.stop();
}

TEST_CASE("messages to an unreachable or unknown peer are dropped") {
  boost::asio::io_context Io;
  TestPeer A(Io, "a", "secret");
  TestPeer B(Io, "b", "secret");
  A.addPeer(B);
  B.Transport.stop();
  A.Transport.send(B.Members.self(), VersionHint{7});
  A.Transport.send(DaemonId("nobody#1"), VersionHint{7});
  for (int Iteration = 0; Iteration < 50; ++Iteration) {
    Io.restart();
    Io.poll();
  }
  CHECK(B.Received.empty());
  A.Transport.stop();
}

// A link that is forgotten but stays open keeps its buffer of 8 MB, and so does
// each further one.
TEST_CASE("a link whose send buffer is full is closed") {
  boost::asio::io_context Io;
  unsigned Closed = 0;
  unsigned Received = 0;
  LinkCallbacks Callbacks;
  Callbacks.Opened = [](LinkId) {};
  Callbacks.Closed = [&](LinkId) { ++Closed; };
  Callbacks.Received = [&](LinkId, const std::string &) { ++Received; };
  WebsocketEndpoint Peer(Io, std::move(Callbacks));
  REQUIRE(Peer.listen("127.0.0.1", 0) == "");
  TestPeer A(Io, "a", "secret");
  const DaemonId Name("peer#1");
  A.Members.applyRoster(
      {{Name, PeerEndpoint{ZoneId("z"), "127.0.0.1", Peer.port()}}},
      Instant(seconds(1)));
  A.Transport.send(Name, VersionHint{7});
  runUntil(Io, [&] { return Received == 1; });
  // Nothing is delivered meanwhile, as the event loop does not run.
  const FleetReply Large{1, nlohmann::json(std::string(1000000, 'x'))};
  for (int Number = 0; Number < 12; ++Number)
    A.Transport.send(Name, Large);
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  runUntil(Io, [&] {
    return Closed == 1 || std::chrono::steady_clock::now() >= Deadline;
  });
  CHECK(Closed == 1);
  // The link that replaced it is in use.
  const unsigned Before = Received;
  A.Transport.send(Name, VersionHint{8});
  runUntil(Io, [&] { return Received > Before; });
  CHECK(Closed == 1);
  A.Transport.stop();
  Peer.stop();
}
