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
/// The worker's own limit comes first, so that a late reply is still heard.
constexpr milliseconds ReplyMargin{500};
constexpr milliseconds IdleLimit{5000};
constexpr milliseconds CancelTimeout{1000};
/// Many daemons share a worker's 64 connections.
constexpr std::size_t MaxIdlePerVm = 2;

using Stream = beast::tcp_stream;
using StreamPtr = std::unique_ptr<Stream>;

struct IdleStream {
  StreamPtr Connection;
  std::chrono::steady_clock::time_point Since;
};

/// \returns whether the peer has neither closed nor sent anything unasked.
bool isQuiet(Stream &Connection) {
  error_code Failed;
  tcp::socket &Socket = Connection.socket();
  Socket.non_blocking(true, Failed);
  if (Failed)
    return false;
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failed);
  return Failed == asio::error::would_block;
}

UpstreamFault faultOf(ErrorKind Kind, RetryReason Reason, bool HasEnded,
                      std::string Detail) {
  return UpstreamFault{Kind, Reason, HasEnded, std::move(Detail)};
}

} // namespace

/// Connections that wait for use.
struct HttpUpstreams::Shared {
  asio::io_context &Io;
  std::map<VmEndpoint, std::vector<IdleStream>> Idle;

  explicit Shared(asio::io_context &Io) : Io(Io) {}

  StreamPtr take(const VmEndpoint &Vm) {
    std::vector<IdleStream> &Waiting = this->Idle[Vm];
    const auto Now = std::chrono::steady_clock::now();
    while (!Waiting.empty()) {
      IdleStream Last = std::move(Waiting.back());
      Waiting.pop_back();
      if (Now - Last.Since < IdleLimit && isQuiet(*Last.Connection))
        return std::move(Last.Connection);
    }
    return nullptr;
  }

  void keep(const VmEndpoint &Vm, StreamPtr Connection) {
    std::vector<IdleStream> &Waiting = this->Idle[Vm];
    if (Waiting.size() < MaxIdlePerVm)
      Waiting.push_back(
          {std::move(Connection), std::chrono::steady_clock::now()});
  }
};

/// One request and its reply.
class HttpUpstreams::Exchange
    : public std::enable_shared_from_this<HttpUpstreams::Exchange> {
public:
  Exchange(std::shared_ptr<Shared> Owner, std::string Path,
           UpstreamRequest Wanted, Done Finished)
      : Owner(std::move(Owner)), Path(std::move(Path)),
        Wanted(std::move(Wanted)), Finished(std::move(Finished)) {
    this->Parser.body_limit(MaxReplyBytes);
    this->Parser.header_limit(MaxReplyHeaderBytes);
  }

  void run() {
    this->prepare();
    if (!this->Wanted.FreshConnection)
      this->Connection = this->Owner->take(this->Wanted.Vm);
    if (this->Connection) {
      this->write();
      return;
    }
    this->connect();
  }

private:
  void prepare() {
    this->Message.method(http::verb::post);
    this->Message.target(this->Path);
    this->Message.version(11);
    this->Message.set(http::field::host, this->Wanted.Vm.Address);
    this->Message.set("Sardinerill-Request-Id", this->Wanted.Id.str());
    this->Message.set("Sardinerill-Run-Limit-Ms",
                      std::to_string(this->Wanted.RunLimit.count()));
    if (!this->Wanted.ContentType.empty())
      this->Message.set(http::field::content_type, this->Wanted.ContentType);
    if (!this->Wanted.TraceParent.empty())
      this->Message.set("traceparent", this->Wanted.TraceParent);
    this->Message.body() = std::move(this->Wanted.Body);
    this->Message.prepare_payload();
  }

  void connect() {
    error_code BadAddress;
    const auto Ip = asio::ip::make_address(this->Wanted.Vm.Address, BadAddress);
    this->Connection = std::make_unique<Stream>(this->Owner->Io);
    this->Connection->expires_after(ConnectTimeout);
    this->Connection->async_connect(
        tcp::endpoint(Ip, this->Wanted.Vm.Port),
        [Self = this->shared_from_this()](error_code Failed) {
          if (Failed) {
            Self->fail(faultOf(ErrorKind::UpstreamUnreachable,
                               RetryReason::ConnectFailed, true,
                               "connect: " + Failed.message()));
            return;
          }
          error_code Ignored;
          Self->Connection->socket().set_option(tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

  void write() {
    this->Connection->expires_after(this->Wanted.RunLimit + ReplyMargin);
    http::async_write(*this->Connection, this->Message,
                      [Self = this->shared_from_this()](error_code Failed,
                                                        std::size_t Written) {
                        if (!Failed) {
                          Self->read();
                          return;
                        }
                        const bool Nothing = Written == 0;
                        Self->fail(
                            faultOf(Nothing ? ErrorKind::UpstreamUnreachable
                                            : ErrorKind::UpstreamFailed,
                                    Nothing ? RetryReason::SentNothing
                                            : RetryReason::UpstreamCutOff,
                                    Nothing, "send: " + Failed.message()));
                      });
  }

  void read() {
    http::async_read(
        *this->Connection, this->Buffer, this->Parser,
        [Self = this->shared_from_this()](error_code Failed, std::size_t) {
          if (Failed)
            Self->failRead(Failed);
          else
            Self->judge();
        });
  }

  void failRead(error_code Failed) {
    if (Failed == beast::error::timeout) {
      this->fail(faultOf(ErrorKind::UpstreamTimeout,
                         RetryReason::UpstreamCutOff, false,
                         "no answer within the run limit"));
      return;
    }
    this->fail(faultOf(ErrorKind::UpstreamBadReply, RetryReason::UpstreamCutOff,
                       false, "reply: " + Failed.message()));
  }

  /// A whole reply is here: is it ours, and what does it say?
  void judge() {
    const auto &Reply = this->Parser.get();
    const auto Echo = Reply["Sardinerill-Request-Id"];
    const bool Echoed = Echo == this->Wanted.Id.str();
    if (!Echo.empty() && !Echoed) {
      this->fail(faultOf(ErrorKind::UpstreamBadReply,
                         RetryReason::UpstreamCutOff, false,
                         "the reply belongs to another request"));
      return;
    }
    const bool Clean = this->Buffer.size() == 0 && Reply.keep_alive();
    if (Echoed && Clean) {
      this->Connection->expires_never();
      this->Owner->keep(this->Wanted.Vm, std::move(this->Connection));
    }
    if (Reply.result_int() == 503 && Reply["Sardinerill-Ran"] == "no") {
      this->fail(faultOf(ErrorKind::UpstreamUnreachable,
                         RetryReason::UpstreamBusy, true,
                         "the worker took no work"));
      return;
    }
    if (Reply.result_int() >= 500) {
      this->fail(
          faultOf(ErrorKind::UpstreamFailed, RetryReason::UpstreamError, true,
                  "the worker answered " + std::to_string(Reply.result_int())));
      return;
    }
    WorkAnswer Answer;
    Answer.Status = Reply.result_int();
    Answer.ContentType = std::string(Reply[http::field::content_type]);
    Answer.Body = std::move(this->Parser.get().body());
    this->Finished(std::move(Answer));
  }

  void fail(UpstreamFault Fault) {
    this->Finished(tl::unexpected(std::move(Fault)));
  }

  std::shared_ptr<Shared> Owner;
  std::string Path;
  UpstreamRequest Wanted;
  Done Finished;
  StreamPtr Connection;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Message;
  http::response_parser<http::string_body> Parser;
};

HttpUpstreams::HttpUpstreams(asio::io_context &Io)
    : Inner(std::make_shared<Shared>(Io)) {}

HttpUpstreams::~HttpUpstreams() = default;

void HttpUpstreams::post(std::string Path, UpstreamRequest Request,
                         Done Finished) {
  auto Next = std::make_shared<Exchange>(
      this->Inner, std::move(Path), std::move(Request), std::move(Finished));
  asio::post(this->Inner->Io, [Next] { Next->run(); });
}

void HttpUpstreams::send(UpstreamRequest Request, Done Finished) {
  std::string Path = "/run/" + Request.Class.str();
  this->post(std::move(Path), std::move(Request), std::move(Finished));
}

void HttpUpstreams::cancel(const VmEndpoint &Vm, const RequestId &Id) {
  UpstreamRequest Stop{
      .Id = Id, .Vm = Vm, .RunLimit = CancelTimeout, .FreshConnection = true};
  this->post("/cancel/" + Id.str(), std::move(Stop),
             [](const UpstreamOutcome &) {});
}

} // namespace sardinerill
