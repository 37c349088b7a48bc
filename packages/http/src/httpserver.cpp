#include "sardinerill/http/httpserver.h"

#include "sardinerill/base/logging.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace sardinerill {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Delay after a failed accept, for example for lack of file descriptors.
constexpr milliseconds AcceptRetryDelay{50};
/// Buffer space for the first bytes of a request; grows with the request.
constexpr std::size_t InitialReadBytes = 2048;
/// Time within which a response must be written.
constexpr seconds WriteTimeout{10};

HttpRequest fromBeast(http::request<http::string_body> &Message) {
  HttpRequest Out{.Method = std::string(Message.method_string()),
                  .Target = std::string(Message.target())};
  for (const auto &Field : Message)
    Out.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Out.Body = std::move(Message.body());
  return Out;
}

http::response<http::string_body> toBeast(HttpResponse &Response,
                                          bool KeepAlive) {
  http::response<http::string_body> Out;
  Out.version(11);
  Out.result(static_cast<unsigned>(Response.Status));
  for (const HttpHeader &Header : Response.Headers)
    Out.set(Header.Name, Header.Value);
  Out.body() = std::move(Response.Body);
  Out.keep_alive(KeepAlive);
  Out.prepare_payload();
  return Out;
}

/// \returns the status to send for a request that could not be read; 0 if none
/// is sent, because the connection was closed, timed out or failed.
int statusForReadError(const error_code &EC) {
  if (EC == http::error::body_limit)
    return 413;
  if (EC == http::error::header_limit)
    return 431;
  const bool Malformed =
      EC.category() == make_error_code(http::error::bad_method).category();
  const bool ClosedByClient =
      EC == http::error::end_of_stream || EC == http::error::partial_message;
  return Malformed && !ClosedByClient ? 400 : 0;
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::any_io_executor Executor, const Endpoint &ListenEndpoint,
        HttpHandler Handler)
      : Executor(Executor), Acceptor(Executor), Handler(std::move(Handler)) {
    const tcp::endpoint Local(asio::ip::make_address(ListenEndpoint.Address),
                              ListenEndpoint.Port);
    this->Acceptor.open(Local.protocol());
    this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->Acceptor.bind(Local);
    this->Acceptor.listen(asio::socket_base::max_listen_connections);
  }

  Async<void> acceptLoop() {
    auto Self = this->shared_from_this();
    while (this->Acceptor.is_open()) {
      error_code EC;
      tcp::socket Socket = co_await this->Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, EC));
      if (!this->Acceptor.is_open())
        co_return;
      if (EC) {
        logEvent(LogLevel::Warning, "http.accept_failed",
                 {{"reason", EC.message()}});
        asio::steady_timer RetryTimer(this->Executor, AcceptRetryDelay);
        co_await RetryTimer.async_wait(
            asio::redirect_error(asio::use_awaitable, EC));
        continue;
      }
      Socket.set_option(tcp::no_delay(true), EC);
      asio::co_spawn(
          this->Executor,
          this->serveConnection(beast::tcp_stream(std::move(Socket))),
          asio::detached);
    }
  }

  /// Reads one request, with separate size limits for its header and its body.
  Async<error_code>
  readRequest(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
              http::request_parser<http::string_body> &Parser) {
    Parser.header_limit(this->Limits.HeaderBytes);
    Parser.body_limit(this->Limits.BodyBytes);
    error_code EC;
    this->IdleStreams.insert(&Stream);
    Stream.expires_after(this->Limits.IdleTimeout);
    if (Buffer.size() == 0) {
      const std::size_t BytesRead = co_await Stream.async_read_some(
          Buffer.prepare(InitialReadBytes),
          asio::redirect_error(asio::use_awaitable, EC));
      Buffer.commit(BytesRead);
    }
    this->IdleStreams.erase(&Stream);
    if (EC)
      co_return EC;
    Stream.expires_after(this->Limits.RequestTimeout);
    co_await http::async_read(Stream, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, EC));
    co_return EC;
  }

  Async<bool> writeResponse(beast::tcp_stream &Stream, HttpResponse Response,
                            bool KeepAlive) {
    auto Message = toBeast(Response, KeepAlive);
    error_code EC;
    Stream.expires_after(WriteTimeout);
    co_await http::async_write(Stream, Message,
                               asio::redirect_error(asio::use_awaitable, EC));
    co_return !EC;
  }

  /// An exception thrown by the handler fails this request only, with 500.
  Async<HttpResponse> handleRequest(HttpRequest Request) {
    const std::string Target = Request.Target;
    std::string Reason;
    try {
      co_return co_await this->Handler(std::move(Request));
    } catch (const std::exception &Exception) {
      Reason = Exception.what();
    }
    logEvent(LogLevel::Error, "http.handler_failed",
             {{"target", Target}, {"reason", Reason}});
    co_return HttpResponse{.Status = 500};
  }

  Async<void> serveConnection(beast::tcp_stream Stream) {
    auto Self = this->shared_from_this();
    beast::flat_buffer Buffer;
    bool KeepAlive = true;
    while (KeepAlive) {
      http::request_parser<http::string_body> Parser;
      const error_code EC = co_await this->readRequest(Stream, Buffer, Parser);
      if (EC) {
        if (const int Status = statusForReadError(EC))
          co_await this->writeResponse(Stream, {.Status = Status}, false);
        break;
      }
      ++this->InFlight;
      const bool ClientKeepsAlive = Parser.get().keep_alive();
      HttpResponse Response =
          co_await this->handleRequest(fromBeast(Parser.get()));
      KeepAlive = ClientKeepsAlive && !this->Draining;
      const bool Written =
          co_await this->writeResponse(Stream, std::move(Response), KeepAlive);
      --this->InFlight;
      KeepAlive = KeepAlive && Written;
    }
    error_code Ignored; // The client may have closed the connection already.
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  }

  void closeIdleStreams() {
    for (beast::tcp_stream *Stream : this->IdleStreams)
      Stream->cancel();
  }

  asio::any_io_executor Executor;
  tcp::acceptor Acceptor;
  HttpHandler Handler;
  HttpServerLimits Limits;
  std::set<beast::tcp_stream *> IdleStreams;
  std::size_t InFlight = 0;
  bool Draining = false;
};

HttpServer::HttpServer(asio::any_io_executor Executor,
                       const Endpoint &ListenEndpoint, HttpHandler Handler)
    : Shared(std::make_shared<State>(Executor, ListenEndpoint,
                                     std::move(Handler))) {
  asio::co_spawn(Executor, this->Shared->acceptLoop(), asio::detached);
}

HttpServer::~HttpServer() { this->stopAccepting(); }

void HttpServer::setLimits(HttpServerLimits Limits) {
  this->Shared->Limits = Limits;
}

void HttpServer::startDrain() { this->Shared->Draining = true; }

void HttpServer::stopAccepting() {
  error_code Ignored; // The acceptor may be closed already.
  this->Shared->Acceptor.close(Ignored);
  this->Shared->closeIdleStreams();
}

std::size_t HttpServer::requestsInFlight() const {
  return this->Shared->InFlight;
}

unsigned short HttpServer::port() const {
  return this->Shared->Acceptor.local_endpoint().port();
}

} // namespace sardinerill
