#include "sardinerill/http/httpclient.h"

#include "sardinerill/base/clock.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <limits>
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

struct Connection {
  std::unique_ptr<beast::tcp_stream> Stream;
  ConnectionNumber Number = 0;
};

void setSocketOptions(tcp::socket &Socket) {
  error_code Ignored; // The connection also works without these options.
  Socket.set_option(tcp::no_delay(true), Ignored);
  // A call that is given up closes its connection. A normal close would leave
  // the request in the send buffer, to be delivered when a network partition
  // ends, seconds after the permission to send it has expired.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UserTimeoutMs), Ignored);
}

/// \returns whether an idle connection must not be reused, because the peer has
/// closed it or has sent bytes that belong to no request.
bool isStale(tcp::socket &Socket) {
  char Byte = 0;
  const ssize_t BytesRead = ::recv(Socket.native_handle(), &Byte, 1,
                                   MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return BytesRead >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
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

HttpResponse fromBeast(http::response<http::string_body> &Response,
                       ConnectionNumber Connection) {
  HttpResponse Out{.Status = static_cast<int>(Response.result_int()),
                   .Connection = Connection};
  for (const auto &Field : Response)
    Out.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Out.Body = std::move(Response.body());
  return Out;
}

} // namespace

struct HttpClient::State {
  asio::any_io_executor Executor;
  HttpClientOptions Options;
  std::deque<Connection> IdleConnections;
  ConnectionNumber LastNumber = 0;

  /// \returns the idle connection that was used last, of those with at most
  /// \p Newest as their number.
  std::optional<Connection> popIdleConnection(ConnectionNumber Newest) {
    for (auto Next = this->IdleConnections.end();
         Next != this->IdleConnections.begin();) {
      --Next;
      if (Next->Number > Newest)
        continue;
      Connection Candidate = std::move(*Next);
      Next = this->IdleConnections.erase(Next);
      if (!isStale(Candidate.Stream->socket()))
        return Candidate;
    }
    return std::nullopt;
  }

  void pushIdleConnection(Connection Idle) {
    Idle.Stream->expires_never();
    if (this->IdleConnections.size() < this->Options.MaxIdleConnections)
      this->IdleConnections.push_back(std::move(Idle));
  }

  Async<tl::expected<Connection, HttpCallError>> connect(Duration Timeout) {
    auto Stream = std::make_unique<beast::tcp_stream>(this->Executor);
    Stream->expires_after(Timeout);
    error_code EC;
    const auto Address = asio::ip::make_address(this->Options.Peer.Address, EC);
    if (EC)
      co_return tl::unexpected(HttpCallError::NotSent);
    co_await Stream->async_connect(
        tcp::endpoint(Address, this->Options.Peer.Port),
        asio::redirect_error(asio::use_awaitable, EC));
    if (EC == asio::error::connection_refused)
      co_return tl::unexpected(HttpCallError::ConnectionRefused);
    if (EC)
      co_return tl::unexpected(HttpCallError::NotSent);
    setSocketOptions(Stream->socket());
    co_return Connection{std::move(Stream), ++this->LastNumber};
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

void HttpClient::closeIdleConnections() {
  this->Shared->IdleConnections.clear();
}

Async<tl::expected<HttpResponse, HttpCallError>>
HttpClient::call(HttpRequest Request, Duration Timeout,
                 std::function<bool()> MaySend,
                 std::optional<ConnectionNumber> NewestConnection) {
  auto SharedState = this->Shared; // Outlives the client during the call.
  Request.Headers.push_back({"Host", SharedState->Options.Peer.str()});
  http::request<http::string_body> Message = toBeast(Request);
  const BootClock Clock;
  const Instant Deadline = Clock.now() + Timeout;
  std::optional<Connection> Used = SharedState->popIdleConnection(
      NewestConnection.value_or(std::numeric_limits<ConnectionNumber>::max()));
  if (!Used && NewestConnection)
    co_return tl::unexpected(HttpCallError::NoConnection);
  if (!Used) {
    auto Connected = co_await SharedState->connect(Timeout);
    if (!Connected)
      co_return tl::unexpected(Connected.error());
    Used = std::move(*Connected);
  }
  beast::tcp_stream &Stream = *Used->Stream;
  // Timers don't count the time for which the VM was suspended. If the deadline
  // passed meanwhile, the request is out of date and isn't sent.
  const bool Permitted = !MaySend || MaySend();
  const Duration Remaining = Deadline - Clock.now();
  if (!Permitted || Remaining <= Duration::zero()) {
    SharedState->pushIdleConnection(std::move(*Used));
    co_return tl::unexpected(HttpCallError::NotSent);
  }
  Stream.expires_after(Remaining);
  error_code EC;
  co_await http::async_write(Stream, Message,
                             asio::redirect_error(asio::use_awaitable, EC));
  if (EC)
    co_return tl::unexpected(HttpCallError::NoResponse);
  beast::flat_buffer Buffer;
  // The parser takes all bytes out of the buffer after each read, so that the
  // buffer does not grow by itself and would be read into 512 bytes at a time.
  Buffer.reserve(SharedState->Options.ReadBufferBytes);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(SharedState->Options.BodyLimit);
  const Duration Extra = SharedState->Options.ExtraReceiveTime;
  if (Extra == Duration::zero()) {
    co_await http::async_read(Stream, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, EC));
    if (EC)
      co_return tl::unexpected(HttpCallError::NoResponse);
  }
  const Instant LatestEnd = Deadline + Extra;
  while (!Parser.is_done()) {
    co_await http::async_read_some(
        Stream, Buffer, Parser, asio::redirect_error(asio::use_awaitable, EC));
    if (EC)
      co_return tl::unexpected(HttpCallError::NoResponse);
    const Instant Now = Clock.now();
    const Instant NextLimit =
        std::min(LatestEnd, Now + SharedState->Options.StallTimeout);
    if (NextLimit > Deadline)
      Stream.expires_after(std::max(NextLimit - Now, Duration::zero()));
  }
  const bool Reusable = Parser.get().keep_alive() && Buffer.size() == 0;
  HttpResponse Response = fromBeast(Parser.get(), Used->Number);
  if (Reusable)
    SharedState->pushIdleConnection(std::move(*Used));
  co_return Response;
}

} // namespace sardinerill
