#include "sardinerill/dispatch/httpupstreams.h"

#include <atomic>
#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace sardinerill;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A server that sends the given bytes as its reply to each request, and then
/// optionally closes the connection. An empty text stands for no reply.
struct ScriptedPeer {
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, {asio::ip::make_address("127.0.0.1"), 0}};
  std::thread ServerThread;
  std::vector<std::string> Replies;
  bool CloseAfterReply = true;
  std::atomic<unsigned> RequestsReceived{0};
  std::atomic<unsigned> Connections{0};

  VmEndpoint endpoint() const {
    return {VmId("w"), "127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

  /// Serves \p Count connections, one after the other.
  void serve(unsigned Count) {
    this->ServerThread = std::thread([this, Count] {
      std::size_t Next = 0;
      for (unsigned Number = 0; Number < Count; ++Number) {
        tcp::socket Socket = this->Acceptor.accept();
        ++this->Connections;
        this->serveConnection(Socket, Next);
      }
    });
  }

  /// Serves requests on one connection. The body of each request is "END",
  /// which marks the end of the request.
  void serveConnection(tcp::socket &Socket, std::size_t &Next) {
    std::string Input;
    while (Next < this->Replies.size()) {
      boost::system::error_code Ec;
      const std::size_t Length =
          asio::read_until(Socket, asio::dynamic_buffer(Input), "END", Ec);
      if (Ec)
        return;
      Input.erase(0, Length);
      ++this->RequestsReceived;
      asio::write(Socket, asio::buffer(this->Replies[Next++]), Ec);
      if (this->CloseAfterReply)
        return;
    }
  }

  ~ScriptedPeer() {
    if (this->ServerThread.joinable())
      this->ServerThread.join();
  }
};

std::string reply(const std::string &Id, const std::string &Body,
                  const std::string &ExtraHeaders = "") {
  return "HTTP/1.1 200 OK\r\nSardinerill-Request-Id: " + Id + "\r\n" +
         ExtraHeaders + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Sends one request and waits for its outcome.
UpstreamOutcome exchange(HttpUpstreams &Upstreams, asio::io_context &Io,
                         const VmEndpoint &Vm, const std::string &Id,
                         bool NewConnection = false) {
  std::optional<UpstreamOutcome> Outcome;
  UpstreamRequest Request{.Id = RequestId(Id),
                          .Vm = Vm,
                          .Class = ClassId("c"),
                          .Body = "END",
                          .RunLimit = milliseconds(300),
                          .RequireNewConnection = NewConnection};
  Upstreams.send(std::move(Request), [&](UpstreamOutcome Received) {
    Outcome = std::move(Received);
  });
  while (!Outcome) {
    Io.restart();
    Io.run_one();
  }
  return std::move(*Outcome);
}

/// \returns the outcome of request "a" when the server replies with \p Bytes.
UpstreamOutcome outcomeOf(const std::string &Bytes,
                          bool CloseAfterReply = true) {
  ScriptedPeer Peer;
  Peer.Replies = {Bytes};
  Peer.CloseAfterReply = CloseAfterReply;
  Peer.serve(1);
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  return exchange(Upstreams, Io, Peer.endpoint(), "a");
}

} // namespace

TEST_CASE("a complete reply with the request's own id is returned as the "
          "response") {
  auto Outcome = outcomeOf(reply("a", "hello"));
  REQUIRE(Outcome.has_value());
  CHECK(Outcome->Body == "hello");
}

TEST_CASE("a truncated reply is not returned as a response") {
  auto Outcome = outcomeOf(
      "HTTP/1.1 200 OK\r\nSardinerill-Request-Id: a\r\nContent-Length: "
      "10\r\n\r\npart");
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().mayHaveRun());
  CHECK_FALSE(Outcome.error().TaskIsNotRunning);
}

TEST_CASE("a reply with another request's id is not returned as a response") {
  auto Outcome = outcomeOf(reply("b", "not yours"));
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::UpstreamBadReply);
}

// The second reply arrives on a kept-alive connection and would be read as the
// reply to the next request if the connection were reused.
TEST_CASE("a second reply to a request is not returned to the next request") {
  ScriptedPeer Peer;
  Peer.Replies = {reply("a", "first") + reply("a", "again"),
                  reply("b", "second")};
  Peer.CloseAfterReply = false;
  Peer.serve(2);
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  CHECK(exchange(Upstreams, Io, Peer.endpoint(), "a")->Body == "first");
  CHECK(exchange(Upstreams, Io, Peer.endpoint(), "b")->Body == "second");
  CHECK(Peer.Connections == 2);
}

TEST_CASE("a connection is reused after a reply that echoes the request id and "
          "leaves no unread bytes") {
  ScriptedPeer Peer;
  Peer.Replies = {reply("a", "1"), reply("b", "2")};
  Peer.CloseAfterReply = false;
  Peer.serve(1);
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  CHECK(exchange(Upstreams, Io, Peer.endpoint(), "a").has_value());
  CHECK(exchange(Upstreams, Io, Peer.endpoint(), "b").has_value());
  CHECK(Peer.Connections == 1);
}

// The task could run twice if the client sent the request again by itself, as
// some HTTP clients do when the peer closes the connection without a reply.
TEST_CASE("a request is sent once if the peer closes the connection without a "
          "reply") {
  ScriptedPeer Peer;
  Peer.Replies = {""};
  Peer.serve(1);
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  auto Outcome = exchange(Upstreams, Io, Peer.endpoint(), "a", true);
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().mayHaveRun());
  CHECK(Peer.RequestsReceived == 1);
}

TEST_CASE(
    "a request without a reply within the run limit fails with a time-out, "
    "and its task is not regarded as ended") {
  ScriptedPeer Peer;
  Peer.Replies = {"", ""};
  Peer.CloseAfterReply = false;
  Peer.serve(1);
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  auto Outcome = exchange(Upstreams, Io, Peer.endpoint(), "a");
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::UpstreamTimeout);
  CHECK(Outcome.error().mayHaveRun());
  CHECK_FALSE(Outcome.error().TaskIsNotRunning);
}

// 0.0.0.0, which an unreadable address was taken for, is this machine: another
// server's task would run here.
TEST_CASE("a request to a VM whose address can't be read is sent nowhere") {
  ScriptedPeer Peer;
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  for (const char *Address : {"", "worker-7", "127.0.0.256"}) {
    VmEndpoint Vm = Peer.endpoint();
    Vm.Address = Address;
    auto Outcome = exchange(Upstreams, Io, Vm, "a");
    REQUIRE_FALSE(Outcome.has_value());
    CHECK(Outcome.error().Kind == ErrorKind::UpstreamUnreachable);
    CHECK_FALSE(Outcome.error().mayHaveRun());
    CHECK(Outcome.error().Detail.find("\"" + std::string(Address) + "\"") !=
          std::string::npos);
  }
  boost::system::error_code Ec;
  Peer.Acceptor.non_blocking(true);
  (void)Peer.Acceptor.accept(Ec);
  CHECK(Ec == asio::error::would_block);
}

TEST_CASE("a refused connection means that the request did not run") {
  ScriptedPeer Peer;
  const VmEndpoint Endpoint = Peer.endpoint();
  Peer.Acceptor.close();
  asio::io_context Io;
  HttpUpstreams Upstreams(Io);
  auto Outcome = exchange(Upstreams, Io, Endpoint, "a");
  REQUIRE_FALSE(Outcome.has_value());
  CHECK_FALSE(Outcome.error().mayHaveRun());
}

TEST_CASE("503 with Sardinerill-Ran: no means that the request did not run, "
          "status 500 that it may have run") {
  auto Busy = outcomeOf(
      "HTTP/1.1 503 Busy\r\nSardinerill-Request-Id: a\r\nSardinerill-Ran: "
      "no\r\nContent-Length: 0\r\n\r\n");
  REQUIRE_FALSE(Busy.has_value());
  CHECK_FALSE(Busy.error().mayHaveRun());
  auto ServerError = outcomeOf("HTTP/1.1 500 No\r\nSardinerill-Request-Id: "
                               "a\r\nContent-Length: 0\r\n\r\n");
  REQUIRE_FALSE(ServerError.has_value());
  CHECK(ServerError.error().mayHaveRun());
  CHECK(ServerError.error().TaskIsNotRunning);
}
