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
constexpr milliseconds AcceptPause{50};
/// Buffer space for the first bytes of a request; grows with the request.
constexpr std::size_t FirstReadBytes = 2048;
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

http::response<http::string_body> toBeast(HttpResponse &Answer,
                                          bool KeepAlive) {
  http::response<http::string_body> Out;
  Out.version(11);
  Out.result(static_cast<unsigned>(Answer.Status));
  for (const HttpHeader &Header : Answer.Headers)
    Out.set(Header.Name, Header.Value);
  Out.body() = std::move(Answer.Body);
  Out.keep_alive(KeepAlive);
  Out.prepare_payload();
  return Out;
}

/// \returns the status to send for a request that could not be read; 0 if none
/// is sent, because the connection was closed, timed out or failed.
int statusForReadFault(const error_code &Fault) {
  if (Fault == http::error::body_limit)
    return 413;
  if (Fault == http::error::header_limit)
    return 431;
  const bool Malformed =
      Fault.category() == make_error_code(http::error::bad_method).category();
  const bool Ended = Fault == http::error::end_of_stream ||
                     Fault == http::error::partial_message;
  return Malformed && !Ended ? 400 : 0;
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::any_io_executor Executor, const Endpoint &Where,
        HttpHandler Handler)
      : Executor(Executor), Acceptor(Executor), Handler(std::move(Handler)) {
    const tcp::endpoint Local(asio::ip::make_address(Where.Address),
                              Where.Port);
    this->Acceptor.open(Local.protocol());
    this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->Acceptor.bind(Local);
    this->Acceptor.listen(asio::socket_base::max_listen_connections);
  }

  Async<void> acceptLoop() {
    auto Self = this->shared_from_this();
    while (this->Acceptor.is_open()) {
      error_code Fault;
      tcp::socket Socket = co_await this->Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, Fault));
      if (!this->Acceptor.is_open())
        co_return;
      if (Fault) {
        logEvent(LogLevel::Warning, "http.accept_failed",
                 {{"reason", Fault.message()}});
        asio::steady_timer Pause(this->Executor, AcceptPause);
        co_await Pause.async_wait(
            asio::redirect_error(asio::use_awaitable, Fault));
        continue;
      }
      Socket.set_option(tcp::no_delay(true), Fault);
      asio::co_spawn(this->Executor,
                     this->serve(beast::tcp_stream(std::move(Socket))),
                     asio::detached);
    }
  }

  /// Reads one request, with separate size limits for its header and its body.
  Async<error_code> read(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                         http::request_parser<http::string_body> &Parser) {
    Parser.header_limit(this->Limits.HeaderBytes);
    Parser.body_limit(this->Limits.BodyBytes);
    error_code Fault;
    this->Idle.insert(&Stream);
    Stream.expires_after(this->Limits.IdleTimeout);
    if (Buffer.size() == 0) {
      const std::size_t Read = co_await Stream.async_read_some(
          Buffer.prepare(FirstReadBytes),
          asio::redirect_error(asio::use_awaitable, Fault));
      Buffer.commit(Read);
    }
    this->Idle.erase(&Stream);
    if (Fault)
      co_return Fault;
    Stream.expires_after(this->Limits.HeaderTimeout);
    co_await http::async_read(Stream, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Fault));
    co_return Fault;
  }

  Async<bool> write(beast::tcp_stream &Stream, HttpResponse Answer,
                    bool KeepAlive) {
    auto Message = toBeast(Answer, KeepAlive);
    error_code Fault;
    Stream.expires_after(WriteTimeout);
    co_await http::async_write(
        Stream, Message, asio::redirect_error(asio::use_awaitable, Fault));
    co_return !Fault;
  }

  /// An exception thrown by the handler fails this request only, with 500.
  Async<HttpResponse> answer(HttpRequest Request) {
    const std::string Target = Request.Target;
    std::string Reason;
    try {
      co_return co_await this->Handler(std::move(Request));
    } catch (const std::exception &Thrown) {
      Reason = Thrown.what();
    }
    logEvent(LogLevel::Error, "http.handler_failed",
             {{"target", Target}, {"reason", Reason}});
    co_return HttpResponse{.Status = 500};
  }

  Async<void> serve(beast::tcp_stream Stream) {
    auto Self = this->shared_from_this();
    beast::flat_buffer Buffer;
    bool KeepAlive = true;
    while (KeepAlive) {
      http::request_parser<http::string_body> Parser;
      const error_code Fault = co_await this->read(Stream, Buffer, Parser);
      if (Fault) {
        if (const int Status = statusForReadFault(Fault))
          co_await this->write(Stream, {.Status = Status}, false);
        break;
      }
      ++this->InFlight;
      const bool Wanted = Parser.get().keep_alive();
      HttpResponse Answer = co_await this->answer(fromBeast(Parser.get()));
      KeepAlive = Wanted && !this->Draining;
      const bool Written =
          co_await this->write(Stream, std::move(Answer), KeepAlive);
      --this->InFlight;
      KeepAlive = KeepAlive && Written;
    }
    error_code Ignored; // The client may have closed the connection already.
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  }

  void closeIdle() {
    for (beast::tcp_stream *Stream : this->Idle)
      Stream->cancel();
  }

  asio::any_io_executor Executor;
  tcp::acceptor Acceptor;
  HttpHandler Handler;
  HttpServerLimits Limits;
  std::set<beast::tcp_stream *> Idle;
  std::size_t InFlight = 0;
  bool Draining = false;
};

HttpServer::HttpServer(asio::any_io_executor Executor, const Endpoint &Where,
                       HttpHandler Handler)
    : Shared(std::make_shared<State>(Executor, Where, std::move(Handler))) {
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
  this->Shared->closeIdle();
}

std::size_t HttpServer::requestsInFlight() const {
  return this->Shared->InFlight;
}

unsigned short HttpServer::port() const {
  return this->Shared->Acceptor.local_endpoint().port();
}

} // namespace sardinerill
