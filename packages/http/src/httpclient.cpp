#include "sardinerill/http/httpclient.h"

#include "sardinerill/base/clock.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <netinet/tcp.h>

namespace sardinerill {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Time after which TCP closes a connection with unacknowledged data, in
/// milliseconds. Below the shortest time without contact that the platform
/// allows (3 s).
constexpr int UserTimeoutMs = 2000;

using Connection = std::unique_ptr<beast::tcp_stream>;

void setSocketOptions(tcp::socket &Socket) {
  error_code Ignored; // The connection also works without these options.
  Socket.set_option(tcp::no_delay(true), Ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UserTimeoutMs), Ignored);
}

/// \returns whether an idle connection must not be reused, because the peer has
/// closed it or has sent bytes that belong to no request.
bool isSpoiled(tcp::socket &Socket) {
  char Byte = 0;
  const ssize_t Read = ::recv(Socket.native_handle(), &Byte, 1,
                              MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return Read >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

http::request<http::string_body> toBeast(HttpRequest &Request) {
  http::request<http::string_body> Out;
  Out.version(11);
  Out.method_string(Request.Method);
  Out.target(Request.Target);
  for (const HttpHeader &Header : Request.Headers)
    Out.set(Header.Name, Header.Value);
  Out.body() = std::move(Request.Body);
  Out.prepare_payload();
  return Out;
}

HttpResponse fromBeast(http::response<http::string_body> &Answer) {
  HttpResponse Out{.Status = static_cast<int>(Answer.result_int())};
  for (const auto &Field : Answer)
    Out.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Out.Body = std::move(Answer.body());
  return Out;
}

} // namespace

struct HttpClient::State {
  asio::any_io_executor Executor;
  HttpClientOptions Options;
  std::deque<Connection> Idle;

  Connection takeIdle() {
    while (!this->Idle.empty()) {
      Connection Taken = std::move(this->Idle.back());
      this->Idle.pop_back();
      if (!isSpoiled(Taken->socket()))
        return Taken;
    }
    return nullptr;
  }

  void keep(Connection Used) {
    Used->expires_never();
    if (this->Idle.size() < this->Options.KeptConnections)
      this->Idle.push_back(std::move(Used));
  }

  Async<tl::expected<Connection, HttpFault>> open(Duration Limit) {
    auto Stream = std::make_unique<beast::tcp_stream>(this->Executor);
    Stream->expires_after(Limit);
    error_code Fault;
    const auto Address =
        asio::ip::make_address(this->Options.Peer.Address, Fault);
    if (Fault)
      co_return tl::unexpected(HttpFault::NotSent);
    co_await Stream->async_connect(
        tcp::endpoint(Address, this->Options.Peer.Port),
        asio::redirect_error(asio::use_awaitable, Fault));
    if (Fault == asio::error::connection_refused)
      co_return tl::unexpected(HttpFault::Refused);
    if (Fault)
      co_return tl::unexpected(HttpFault::NotSent);
    setSocketOptions(Stream->socket());
    co_return Stream;
  }
};

HttpClient::HttpClient(asio::any_io_executor Executor,
                       HttpClientOptions Options)
    : Shared(std::make_shared<State>()) {
  this->Shared->Executor = std::move(Executor);
  this->Shared->Options = std::move(Options);
}

HttpClient::~HttpClient() = default;

const Endpoint &HttpClient::peer() const { return this->Shared->Options.Peer; }

void HttpClient::dropIdle() { this->Shared->Idle.clear(); }

Async<tl::expected<HttpResponse, HttpFault>>
HttpClient::call(HttpRequest Request, Duration Limit) {
  auto Held = this->Shared; // Keeps the state alive if the client is destroyed.
  Request.Headers.push_back({"Host", Held->Options.Peer.str()});
  http::request<http::string_body> Message = toBeast(Request);
  const BootClock Clock;
  const Instant Until = Clock.now() + Limit;
  Connection Stream = Held->takeIdle();
  if (!Stream) {
    auto Opened = co_await Held->open(Limit);
    if (!Opened)
      co_return tl::unexpected(Opened.error());
    Stream = std::move(*Opened);
    // Timers don't count the time for which the VM was suspended. If the
    // deadline passed meanwhile, the request is out of date and isn't sent.
    if (Clock.now() >= Until)
      co_return tl::unexpected(HttpFault::NotSent);
  }
  Stream->expires_after(Limit);
  error_code Fault;
  co_await http::async_write(*Stream, Message,
                             asio::redirect_error(asio::use_awaitable, Fault));
  if (Fault)
    co_return tl::unexpected(HttpFault::Unanswered);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(Held->Options.BodyLimit);
  co_await http::async_read(*Stream, Buffer, Parser,
                            asio::redirect_error(asio::use_awaitable, Fault));
  if (Fault)
    co_return tl::unexpected(HttpFault::Unanswered);
  const bool Reusable = Parser.get().keep_alive() && Buffer.size() == 0;
  HttpResponse Answer = fromBeast(Parser.get());
  if (Reusable)
    Held->keep(std::move(Stream));
  co_return Answer;
}

} // namespace sardinerill
