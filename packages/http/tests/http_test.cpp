#include "sardinerill/http/httpclient.h"
#include "sardinerill/http/httpserver.h"

#include <array>
#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <stdexcept>

using namespace sardinerill;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Outcome = tl::expected<HttpResponse, HttpFault>;

HttpRequest post(std::string Body) {
  return {.Method = "POST", .Target = "/x", .Body = std::move(Body)};
}

/// Runs calls on one thread against a server on a port that the system picks.
struct Loopback {
  asio::io_context Context;

  std::unique_ptr<HttpServer> serve(HttpHandler Handler) {
    return std::make_unique<HttpServer>(
        Context.get_executor(), Endpoint{"127.0.0.1", 0}, std::move(Handler));
  }

  HttpClient client(unsigned short Port) {
    return HttpClient(Context.get_executor(),
                      {.Peer = {"127.0.0.1", Port}, .KeptConnections = 1});
  }

  Outcome call(HttpClient &Client, HttpRequest Request) {
    std::optional<Outcome> Result;
    asio::co_spawn(
        this->Context,
        [&]() -> Async<void> {
          Result = co_await Client.call(std::move(Request), seconds(5));
        },
        asio::detached);
    while (!Result)
      this->Context.run_one();
    return std::move(*Result);
  }
};

Async<HttpResponse> echo(HttpRequest Request) {
  co_return HttpResponse{.Status = 200, .Body = std::move(Request.Body)};
}

} // namespace

TEST_CASE("endpoints are read strictly") {
  CHECK(Endpoint::parse("10.0.0.1:80").str() == "10.0.0.1:80");
  for (const char *Bad :
       {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:99999"})
    CHECK_FALSE(Endpoint::parse(Bad).valid());
}

TEST_CASE("answers come back on a kept connection") {
  Loopback Site;
  const auto Server = Site.serve(echo);
  HttpClient Client = Site.client(Server->port());
  for (const char *Text : {"one", "two"}) {
    const Outcome Answer = Site.call(Client, post(Text));
    REQUIRE(Answer.has_value());
    CHECK(Answer->Body == Text);
  }
}

TEST_CASE("a body beyond the limit is refused, the server goes on") {
  Loopback Site;
  const auto Server = Site.serve(echo);
  Server->setLimits({.BodyBytes = 100});
  HttpClient Client = Site.client(Server->port());
  const Outcome Large = Site.call(Client, post(std::string(1000, 'x')));
  REQUIRE(Large.has_value());
  CHECK(Large->Status == 413);
  CHECK(Site.call(Client, post("small")).has_value());
}

TEST_CASE("a handler that throws costs its own request only") {
  Loopback Site;
  const auto Server =
      Site.serve([](HttpRequest Request) -> Async<HttpResponse> {
        if (Request.Body == "bad")
          throw std::runtime_error("test");
        co_return HttpResponse{.Status = 200};
      });
  HttpClient Client = Site.client(Server->port());
  CHECK(Site.call(Client, post("bad"))->Status == 500);
  CHECK(Site.call(Client, post("good"))->Status == 200);
  CHECK(Server->requestsInFlight() == 0);
}

TEST_CASE("a server that stops asks its clients to go and cuts off nothing") {
  Loopback Site;
  const auto Server = Site.serve(echo);
  HttpClient Client = Site.client(Server->port());
  REQUIRE(Site.call(Client, post("one")).has_value());
  Server->startDrain();
  const Outcome Last = Site.call(Client, post("two"));
  REQUIRE(Last.has_value());
  CHECK(Last->Body == "two");
}

TEST_CASE("nothing is sent where nobody listens") {
  Loopback Site;
  tcp::acceptor Probe(Site.Context, {asio::ip::make_address("127.0.0.1"), 0});
  const unsigned short Port = Probe.local_endpoint().port();
  Probe.close();
  HttpClient Client = Site.client(Port);
  const Outcome Answer = Site.call(Client, post("x"));
  REQUIRE_FALSE(Answer.has_value());
  CHECK((Answer.error() == HttpFault::Refused));
}

TEST_CASE("a request is sent once to a peer that reads it and hangs up") {
  Loopback Site;
  tcp::acceptor Peer(Site.Context, {asio::ip::make_address("127.0.0.1"), 0});
  int Deliveries = 0;
  asio::co_spawn(
      Site.Context,
      [&]() -> Async<void> {
        while (true) {
          tcp::socket Socket = co_await Peer.async_accept(asio::use_awaitable);
          std::array<char, 4096> Bytes{};
          co_await Socket.async_read_some(asio::buffer(Bytes),
                                          asio::use_awaitable);
          ++Deliveries;
        }
      },
      asio::detached);
  HttpClient Client = Site.client(Peer.local_endpoint().port());
  const Outcome Answer = Site.call(Client, post("x"));
  REQUIRE_FALSE(Answer.has_value());
  CHECK((Answer.error() == HttpFault::Unanswered));
  Site.Context.poll();
  CHECK(Deliveries == 1);
}
