#include "sardinerill/dispatch/httpupstreams.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>

namespace sardinerill {

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t MaxReplyBytes = 16ULL * 1024 * 1024;
constexpr std::uint32_t MaxReplyHeaderBytes = 64U * 1024;
constexpr milliseconds ConnectTimeout{500};
/// Added to the run limit, so that the worker's own time-out expires first and
/// its reply can still be received.
constexpr milliseconds ReplyMargin{500};
constexpr milliseconds MaxIdleTime{5000};
constexpr milliseconds CancelTimeout{1000};
/// Kept small because all daemons share the 64 connections that a worker
/// accepts.
constexpr std::size_t MaxIdlePerVm = 2;

using Stream = beast::tcp_stream;
using StreamPtr = std::unique_ptr<Stream>;

struct IdleStream {
  StreamPtr Connection;
  std::chrono::steady_clock::time_point Since;
};

/// \returns whether an idle connection can be used for another request: the
/// peer has neither closed it nor sent unsolicited data.
bool isReusable(Stream &Connection) {
  error_code Ec;
  tcp::socket &Socket = Connection.socket();
  Socket.non_blocking(true, Ec);
  if (Ec)
    return false;
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Ec);
  return Ec == asio::error::would_block;
}

UpstreamFailure makeFailure(ErrorKind Kind, RetryReason Reason,
                            bool TaskIsNotRunning, std::string Detail) {
  return UpstreamFailure{Kind, Reason, TaskIsNotRunning, std::move(Detail)};
}

} // namespace

/// Idle connections to upstream VMs that can be reused.
struct HttpUpstreams::ConnectionPool {
  asio::io_context &Io;
  std::map<VmEndpoint, std::vector<IdleStream>> IdleByVm;

  explicit ConnectionPool(asio::io_context &Io) : Io(Io) {}

  StreamPtr acquire(const VmEndpoint &Vm) {
    std::vector<IdleStream> &Streams = this->IdleByVm[Vm];
    const auto Now = std::chrono::steady_clock::now();
    while (!Streams.empty()) {
      IdleStream Newest = std::move(Streams.back());
      Streams.pop_back();
      if (Now - Newest.Since < MaxIdleTime && isReusable(*Newest.Connection))
        return std::move(Newest.Connection);
    }
    return nullptr;
  }

  void release(const VmEndpoint &Vm, StreamPtr Connection) {
    std::vector<IdleStream> &Streams = this->IdleByVm[Vm];
    if (Streams.size() < MaxIdlePerVm)
      Streams.push_back(
          {std::move(Connection), std::chrono::steady_clock::now()});
  }
};

/// One HTTP request and its reply.
class HttpUpstreams::Exchange
    : public std::enable_shared_from_this<HttpUpstreams::Exchange> {
public:
  Exchange(std::shared_ptr<ConnectionPool> Pool, std::string Path,
           UpstreamRequest Request, Callback OnDone)
      : Pool(std::move(Pool)), Path(std::move(Path)),
        Request(std::move(Request)), OnDone(std::move(OnDone)) {
    this->Parser.body_limit(MaxReplyBytes);
    this->Parser.header_limit(MaxReplyHeaderBytes);
  }

  void run() {
    this->prepare();
    if (!this->Request.RequireNewConnection)
      this->Connection = this->Pool->acquire(this->Request.Vm);
    if (this->Connection) {
      this->write();
      return;
    }
    this->connect();
  }

private:
  void prepare() {
    this->HttpRequest.method(http::verb::post);
    this->HttpRequest.target(this->Path);
    this->HttpRequest.version(11);
    this->HttpRequest.set(http::field::host, this->Request.Vm.Address);
    this->HttpRequest.set("Sardinerill-Request-Id", this->Request.Id.str());
    this->HttpRequest.set("Sardinerill-Run-Limit-Ms",
                          std::to_string(this->Request.RunLimit.count()));
    if (!this->Request.ContentType.empty())
      this->HttpRequest.set(http::field::content_type,
                            this->Request.ContentType);
    if (!this->Request.TraceParent.empty())
      this->HttpRequest.set("traceparent", this->Request.TraceParent);
    this->HttpRequest.body() = std::move(this->Request.Body);
    this->HttpRequest.prepare_payload();
  }

  void connect() {
    error_code ParseError;
    const auto Ip =
        asio::ip::make_address(this->Request.Vm.Address, ParseError);
    if (ParseError) {
      this->fail(makeFailure(
          ErrorKind::UpstreamUnreachable, RetryReason::ConnectFailed, true,
          "\"" + this->Request.Vm.Address + "\" is not an IP address"));
      return;
    }
    this->Connection = std::make_unique<Stream>(this->Pool->Io);
    this->Connection->expires_after(ConnectTimeout);
    this->Connection->async_connect(
        tcp::endpoint(Ip, this->Request.Vm.Port),
        [Self = this->shared_from_this()](error_code Ec) {
          if (Ec) {
            Self->fail(makeFailure(ErrorKind::UpstreamUnreachable,
                                   RetryReason::ConnectFailed, true,
                                   "connect: " + Ec.message()));
            return;
          }
          error_code Ignored;
          Self->Connection->socket().set_option(tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

  void write() {
    this->Connection->expires_after(this->Request.RunLimit + ReplyMargin);
    http::async_write(
        *this->Connection, this->HttpRequest,
        [Self = this->shared_from_this()](error_code Ec,
                                          std::size_t BytesWritten) {
          if (!Ec) {
            Self->read();
            return;
          }
          const bool NothingSent = BytesWritten == 0;
          Self->fail(makeFailure(NothingSent ? ErrorKind::UpstreamUnreachable
                                             : ErrorKind::UpstreamFailed,
                                 NothingSent ? RetryReason::RequestNotSent
                                             : RetryReason::NoValidResponse,
                                 NothingSent, "send: " + Ec.message()));
        });
  }

  void read() {
    http::async_read(
        *this->Connection, this->Buffer, this->Parser,
        [Self = this->shared_from_this()](error_code Ec, std::size_t) {
          if (Ec)
            Self->failRead(Ec);
          else
            Self->handleReply();
        });
  }

  void failRead(error_code Ec) {
    if (Ec == beast::error::timeout) {
      this->fail(makeFailure(ErrorKind::UpstreamTimeout,
                             RetryReason::NoValidResponse, false,
                             "no answer within the run limit"));
      return;
    }
    this->fail(makeFailure(ErrorKind::UpstreamBadReply,
                           RetryReason::NoValidResponse, false,
                           "reply: " + Ec.message()));
  }

  /// Rejects a reply that carries another request's id, returns the connection
  /// to the pool if it can be reused, and reports the outcome. A reply without
  /// an id is accepted, but its connection is not reused.
  void handleReply() {
    const auto &Reply = this->Parser.get();
    const auto EchoedId = Reply["Sardinerill-Request-Id"];
    const bool HasMatchingId = EchoedId == this->Request.Id.str();
    if (!EchoedId.empty() && !HasMatchingId) {
      this->fail(makeFailure(ErrorKind::UpstreamBadReply,
                             RetryReason::NoValidResponse, false,
                             "the reply belongs to another request"));
      return;
    }
    const bool AllowsReuse = this->Buffer.size() == 0 && Reply.keep_alive();
    if (HasMatchingId && AllowsReuse) {
      this->Connection->expires_never();
      this->Pool->release(this->Request.Vm, std::move(this->Connection));
    }
    if (Reply.result_int() == 503 && Reply["Sardinerill-Ran"] == "no") {
      this->fail(makeFailure(ErrorKind::UpstreamUnreachable,
                             RetryReason::UpstreamBusy, true,
                             "the worker took no work"));
      return;
    }
    if (Reply.result_int() >= 500) {
      this->fail(makeFailure(
          ErrorKind::UpstreamFailed, RetryReason::UpstreamError, true,
          "the worker answered " + std::to_string(Reply.result_int())));
      return;
    }
    WorkResponse Answer;
    Answer.Status = Reply.result_int();
    Answer.ContentType = std::string(Reply[http::field::content_type]);
    Answer.Body = std::move(this->Parser.get().body());
    this->OnDone(std::move(Answer));
  }

  void fail(UpstreamFailure Failure) {
    this->OnDone(tl::unexpected(std::move(Failure)));
  }

  std::shared_ptr<ConnectionPool> Pool;
  std::string Path;
  UpstreamRequest Request;
  Callback OnDone;
  StreamPtr Connection;
  beast::flat_buffer Buffer;
  http::request<http::string_body> HttpRequest;
  http::response_parser<http::string_body> Parser;
};

HttpUpstreams::HttpUpstreams(asio::io_context &Io)
    : Connections(std::make_shared<ConnectionPool>(Io)) {}

HttpUpstreams::~HttpUpstreams() = default;

void HttpUpstreams::post(std::string Path, UpstreamRequest Request,
                         Callback OnDone) {
  auto NewExchange =
      std::make_shared<Exchange>(this->Connections, std::move(Path),
                                 std::move(Request), std::move(OnDone));
  asio::post(this->Connections->Io, [NewExchange] { NewExchange->run(); });
}

void HttpUpstreams::send(UpstreamRequest Request, Callback OnDone) {
  std::string Path = "/run/" + Request.Class.str();
  this->post(std::move(Path), std::move(Request), std::move(OnDone));
}

void HttpUpstreams::cancel(const VmEndpoint &Vm, const RequestId &Id) {
  UpstreamRequest CancelRequest{.Id = Id,
                                .Vm = Vm,
                                .RunLimit = CancelTimeout,
                                .RequireNewConnection = true};
  this->post("/cancel/" + Id.str(), std::move(CancelRequest),
             [](const UpstreamOutcome &) {});
}

} // namespace sardinerill
