#include "sardinerill/gateway/callerserver.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/base/text.h"
#include "sardinerill/gateway/problem.h"
#include "sardinerill/platform/iplatform.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace sardinerill {

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view WorkPrefix = "/v1/work/";
constexpr std::string_view JobsPrefix = "/v1/jobs/";
constexpr std::string_view ResultSuffix = "/result";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxIdempotencyKeyBytes = 200;
constexpr std::size_t ReadChunkBytes = 2048;
/// Maximum time for sending a response.
constexpr milliseconds ResponseTimeout{30000};
constexpr milliseconds DrainIdleTimeout{1000};
/// Retry-After sent when there are too many connections.
constexpr milliseconds OverloadRetryAfter{1000};

using Response = http::response<http::string_body>;

bool isVisibleAscii(std::string_view Text) {
  for (unsigned char Byte : Text)
    if (Byte < 0x21 || Byte > 0x7e)
      return false;
  return true;
}

std::string_view toView(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

/// State shared by the server and all its sessions.
struct CallerServer::SharedState {
  asio::io_context &Io;
  CallerServerOptions Options;
  IWorkService &Work;
  IJobService &Jobs;
  ReadinessCheck IsReady;
  Metrics &Stats;
  tcp::acceptor Acceptor;
  std::set<Session *> Sessions;
  bool Draining = false;
  bool ServerExists = true;

  SharedState(asio::io_context &Io, CallerServerOptions Options,
              IWorkService &Work, IJobService &Jobs, ReadinessCheck IsReady,
              Metrics &Stats)
      : Io(Io), Options(std::move(Options)), Work(Work), Jobs(Jobs),
        IsReady(std::move(IsReady)), Stats(Stats), Acceptor(Io) {}
};

/// One connection; handles its requests one at a time.
class CallerServer::Session
    : public std::enable_shared_from_this<CallerServer::Session> {
public:
  Session(std::shared_ptr<SharedState> State, tcp::socket Socket)
      : State(std::move(State)), Stream(std::move(Socket)) {
    this->State->Sessions.insert(this);
    error_code Ignored;
    this->Stream.socket().set_option(tcp::no_delay(true), Ignored);
  }
  ~Session() { this->State->Sessions.erase(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void run() { this->awaitRequest(); }

  /// Responds that there are too many connections, then closes.
  void rejectConnection() {
    this->CloseAfterResponse = true;
    this->respondError(Error{
        ErrorKind::QueueFull,
        "the limit of " + std::to_string(this->State->Options.MaxConnections) +
            " connections is reached",
        OverloadRetryAfter});
  }

  /// Applies the shorter idle timeout for a shutdown; requests in flight are
  /// not interrupted.
  void drain() {
    if (this->Phase == Phase::Idle)
      this->Stream.expires_after(DrainIdleTimeout);
  }

private:
  enum class Phase { Idle, Reading, Processing, Responding };

  void awaitRequest() {
    this->Phase = Phase::Idle;
    ++this->RequestNumber;
    this->Parser.emplace();
    this->Parser->header_limit(this->State->Options.MaxHeaderBytes);
    this->Parser->body_limit(this->State->Options.MaxBodyBytes);
    if (this->Buffer.size() > 0) {
      this->readHeader();
      return;
    }
    this->Stream.expires_after(this->State->Draining
                                   ? DrainIdleTimeout
                                   : this->State->Options.IdleTimeout);
    this->Stream.async_read_some(this->Buffer.prepare(ReadChunkBytes),
                                 [Self = this->shared_from_this()](
                                     error_code Ec, std::size_t BytesRead) {
                                   if (Ec)
                                     return;
                                   Self->Buffer.commit(BytesRead);
                                   Self->readHeader();
                                 });
  }

  void readHeader() {
    this->Phase = Phase::Reading;
    // One timeout for the whole request: a caller that sends single bytes
    // cannot extend it.
    this->Stream.expires_after(this->State->Options.RequestTimeout);
    http::async_read_header(
        this->Stream, this->Buffer, *this->Parser,
        [Self = this->shared_from_this()](error_code Ec, std::size_t) {
          if (Ec)
            Self->handleReadError(Ec);
          else
            Self->handleHeader();
        });
  }

  void handleHeader() {
    if (toView(this->Parser->get()[http::field::expect]) == "100-continue") {
      this->sendContinue();
      return;
    }
    this->readRemainingBody();
  }

  void sendContinue() {
    auto Message = std::make_shared<http::response<http::empty_body>>(
        http::status::continue_, 11);
    http::async_write(
        this->Stream, *Message,
        [Self = this->shared_from_this(), Message](error_code Ec, std::size_t) {
          if (!Ec)
            Self->readRemainingBody();
        });
  }

  void readRemainingBody() {
    http::async_read(
        this->Stream, this->Buffer, *this->Parser,
        [Self = this->shared_from_this()](error_code Ec, std::size_t) {
          if (Ec)
            Self->handleReadError(Ec);
          else
            Self->route();
        });
  }

  void handleReadError(error_code Ec) {
    this->CloseAfterResponse = true;
    if (Ec == http::error::end_of_stream ||
        Ec == http::error::partial_message ||
        Ec == asio::error::connection_reset ||
        Ec == asio::error::operation_aborted)
      return;
    if (Ec == beast::error::timeout) {
      this->State->Stats.count("callers_too_slow_total");
      return;
    }
    const bool TooLarge = Ec == http::error::body_limit;
    this->respondError(
        Error{TooLarge ? ErrorKind::BodyTooLarge : ErrorKind::BadRequest,
              TooLarge ? "the request body exceeds the limit of " +
                             std::to_string(this->State->Options.MaxBodyBytes) +
                             " bytes"
                       : Ec.message()});
  }

  void route() {
    const auto &Request = this->Parser->get();
    const std::string_view Target = toView(Request.target());
    const bool IsGet = Request.method() == http::verb::get;
    if (IsGet && Target == "/healthz") {
      this->respondText(http::status::ok, "ok\n");
      return;
    }
    if (IsGet && Target == "/readyz") {
      const bool Ready = this->State->IsReady() && !this->State->Draining;
      this->respondText(Ready ? http::status::ok
                              : http::status::service_unavailable,
                        Ready ? "ready\n" : "not ready\n");
      return;
    }
    if (Target.starts_with(JobsPrefix)) {
      this->handleJobRequest(Target.substr(JobsPrefix.size()));
      return;
    }
    if (!Target.starts_with(WorkPrefix)) {
      this->refuse(Error{ErrorKind::NotFound, "the path is unknown"});
      return;
    }
    if (Request.method() != http::verb::post) {
      this->refuse(
          Error{ErrorKind::BadRequest, "this path supports only POST"});
      return;
    }
    this->submitWork(Target.substr(WorkPrefix.size()));
  }

  /// \returns the key in the Authorization header; an empty one, which belongs
  /// to no team, if the scheme is not Bearer.
  std::optional<std::string> bearerKey() {
    const std::string_view Credentials =
        toView(this->Parser->get()[http::field::authorization]);
    if (Credentials.empty())
      return std::nullopt;
    if (!Credentials.starts_with(BearerPrefix))
      return std::string();
    return std::string(Credentials.substr(BearerPrefix.size()));
  }

  /// \returns the Idempotency-Key header, if present; BadRequest if it is
  /// invalid.
  Result<std::optional<std::string>> parseIdempotencyKey() {
    const std::string_view Value =
        toView(this->Parser->get()["Idempotency-Key"]);
    if (Value.size() > MaxIdempotencyKeyBytes || !isVisibleAscii(Value))
      return makeError(ErrorKind::BadRequest,
                       "Idempotency-Key must be at most " +
                           std::to_string(MaxIdempotencyKeyBytes) +
                           " printable ASCII characters without spaces");
    if (Value.empty())
      return std::optional<std::string>();
    return std::optional<std::string>(std::string(Value));
  }

  void submitWork(std::string_view Class) {
    auto &Request = this->Parser->get();
    Result<std::optional<std::string>> IdempotencyKey =
        this->parseIdempotencyKey();
    if (!isValidName(Class)) {
      this->refuse(Error{ErrorKind::BadRequest,
                         "the class name in the path is not valid"});
      return;
    }
    if (!IdempotencyKey) {
      this->refuse(IdempotencyKey.error());
      return;
    }
    WorkRequest Work;
    Work.Id = RequestId(makeWriteId());
    Work.Class = ClassId(std::string(Class));
    Work.Key = this->bearerKey();
    Work.IdempotencyKey = *IdempotencyKey;
    Work.ContentType = std::string(Request[http::field::content_type]);
    Work.TraceParent = std::string(Request["traceparent"]);
    Work.Body = std::move(Request.body());
    this->Id = Work.Id;
    this->Phase = Phase::Processing;
    this->Stream.expires_never();
    this->watchForDisconnect();
    this->State->Work.submit(
        std::move(Work),
        [Self = this->shared_from_this()](Result<WorkResponse> Outcome) {
          Self->respondWork(std::move(Outcome));
        });
  }

  /// \returns the requested job operation, from the method and the path suffix.
  Result<JobRequest> parseJobRequest(std::string_view PathSuffix) {
    auto &Request = this->Parser->get();
    JobRequest Call;
    const bool IsFetch = PathSuffix.ends_with(ResultSuffix);
    if (IsFetch)
      PathSuffix.remove_suffix(ResultSuffix.size());
    if (!isValidName(PathSuffix))
      return makeError(ErrorKind::BadRequest,
                       "the class name or job id in the path is not valid");
    Result<std::optional<std::string>> IdempotencyKey =
        this->parseIdempotencyKey();
    if (!IdempotencyKey)
      return tl::unexpected(IdempotencyKey.error());
    Call.Key = this->bearerKey();
    Call.IdempotencyKey = *IdempotencyKey;
    Call.Id = JobId(std::string(PathSuffix));
    using Operation = JobRequest::Operation;
    if (Request.method() == http::verb::get) {
      Call.Type = IsFetch ? Operation::Fetch : Operation::Status;
      return Call;
    }
    if (Request.method() == http::verb::delete_ && !IsFetch) {
      Call.Type = Operation::Cancel;
      return Call;
    }
    if (Request.method() != http::verb::post || IsFetch)
      return makeError(
          ErrorKind::BadRequest,
          "jobs support POST, GET and DELETE, and results only GET");
    Call.Type = Operation::Submit;
    Call.Class = ClassId(std::string(PathSuffix));
    Call.ContentType = std::string(Request[http::field::content_type]);
    Call.Body = std::move(Request.body());
    return Call;
  }

  void handleJobRequest(std::string_view PathSuffix) {
    Result<JobRequest> Call = this->parseJobRequest(PathSuffix);
    if (!Call) {
      this->refuse(Call.error());
      return;
    }
    this->Phase = Phase::Processing;
    this->Stream.expires_never();
    this->State->Jobs.call(std::move(*Call), [Self = this->shared_from_this()](
                                                 Result<JobResponse> Outcome) {
      if (!Outcome) {
        Self->refuse(Outcome.error());
        return;
      }
      Response Reply(static_cast<http::status>(Outcome->Status), 11);
      Reply.set(http::field::content_type, Outcome->ContentType);
      Reply.body() = std::move(Outcome->Body);
      Self->respond(std::move(Reply));
    });
  }

  /// Cancels the request if the caller disconnects before the response. Bytes
  /// of a pipelined request are left in the socket; after them, a disconnection
  /// is no longer detected.
  void watchForDisconnect() {
    this->Stream.socket().async_wait(
        tcp::socket::wait_read,
        [Self = this->shared_from_this(),
         WatchedNumber = this->RequestNumber](error_code Ec) {
          if (Ec || Self->RequestNumber != WatchedNumber ||
              Self->Phase != Phase::Processing)
            return;
          if (Self->hasDisconnected()) {
            Self->CloseAfterResponse = true;
            Self->Disconnected = true;
            Self->State->Stats.count("callers_hung_up_total");
            Self->State->Work.cancel(Self->Id);
          }
        });
  }

  /// Peeks at the socket: an error or 0 bytes means that it was closed.
  bool hasDisconnected() {
    error_code Ec;
    char Byte = 0;
    tcp::socket &Socket = this->Stream.socket();
    Socket.non_blocking(true, Ec);
    const std::size_t BytesRead =
        Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Ec);
    return Ec != asio::error::would_block && (Ec || BytesRead == 0);
  }

  void respondWork(Result<WorkResponse> Outcome) {
    if (this->Disconnected)
      return;
    if (!Outcome) {
      this->respondError(Outcome.error());
      return;
    }
    Response Reply(static_cast<http::status>(Outcome->Status), 11);
    if (!Outcome->ContentType.empty())
      Reply.set(http::field::content_type, Outcome->ContentType);
    Reply.set("Sardinerill-Vm", Outcome->Vm.str());
    Reply.body() = std::move(Outcome->Body);
    this->respond(std::move(Reply));
  }

  void respondText(http::status Status, const std::string &Text) {
    Response Reply(Status, 11);
    Reply.set(http::field::content_type, "text/plain");
    Reply.body() = Text;
    this->respond(std::move(Reply));
  }

  /// Counts the refusal and responds with \p Err. Not for errors of the
  /// dispatcher, which counts its own refusals.
  void refuse(const Error &Err) {
    this->State->Stats.countRefusal(Err.Kind);
    this->respondError(Err);
  }

  void respondError(const Error &Err) {
    const ErrorResponse &Answer = errorResponseFor(Err.Kind);
    // Errors found before route() set CloseAfterResponse and are passed here
    // directly, so they are not counted yet.
    if (this->CloseAfterResponse)
      this->State->Stats.countRefusal(Err.Kind);
    if (!this->Id.empty())
      logEvent(LogLevel::Debug, "request.refused",
               {{"request", this->Id.str()},
                {"kind", std::string(Answer.Name)},
                {"ran", std::string(toString(Answer.Execution))}});
    Response Reply(static_cast<http::status>(Answer.HttpStatus), 11);
    Reply.set(http::field::content_type, ProblemContentType);
    if (Err.RetryAfter)
      Reply.set(http::field::retry_after, retryAfterSeconds(*Err.RetryAfter));
    if (Answer.HttpStatus == 401)
      Reply.set(http::field::www_authenticate, "Bearer");
    Reply.body() = renderProblem(Err, this->Id);
    this->respond(std::move(Reply));
  }

  void respond(Response Message) {
    this->Phase = Phase::Responding;
    this->Reply = std::move(Message);
    if (!this->Id.empty())
      this->Reply.set("Sardinerill-Request-Id", this->Id.str());
    const bool HasHeader = this->Parser && this->Parser->is_header_done();
    const bool KeepAlive = HasHeader && this->Parser->get().keep_alive() &&
                           !this->CloseAfterResponse && !this->State->Draining;
    this->Reply.keep_alive(KeepAlive);
    this->Reply.prepare_payload();
    this->Id = RequestId();
    this->Stream.expires_after(ResponseTimeout);
    http::async_write(this->Stream, this->Reply,
                      [Self = this->shared_from_this(),
                       KeepAlive](error_code Ec, std::size_t) {
                        if (Ec)
                          return;
                        if (KeepAlive)
                          Self->awaitRequest();
                        else
                          Self->close();
                      });
  }

  void close() {
    error_code Ignored;
    this->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    this->Phase = Phase::Idle;
    this->DiscardUntil =
        std::chrono::steady_clock::now() + this->State->Options.RequestTimeout;
    this->discardInput();
  }

  /// Reads and discards further input until the caller closes or has sent
  /// nothing for DrainIdleTimeout, but not after DiscardUntil. Closing a socket
  /// with unread input would reset the connection, and the caller might lose
  /// the response.
  void discardInput() {
    this->Stream.expires_at(
        std::min(std::chrono::steady_clock::now() + DrainIdleTimeout,
                 this->DiscardUntil));
    this->Buffer.clear();
    this->Stream.async_read_some(
        this->Buffer.prepare(ReadChunkBytes),
        [Self = this->shared_from_this()](error_code Ec, std::size_t) {
          if (!Ec)
            Self->discardInput();
        });
  }

  std::shared_ptr<SharedState> State;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  Response Reply;
  RequestId Id;
  Phase Phase = Phase::Idle;
  std::uint64_t RequestNumber = 0;
  /// Latest time at which a connection that is being closed is read.
  std::chrono::steady_clock::time_point DiscardUntil;
  bool CloseAfterResponse = false;
  bool Disconnected = false;
};

CallerServer::CallerServer(asio::io_context &Io, CallerServerOptions Options,
                           IWorkService &Work, IJobService &Jobs,
                           ReadinessCheck IsReady, Metrics &Stats)
    : State(std::make_shared<SharedState>(Io, std::move(Options), Work, Jobs,
                                          std::move(IsReady), Stats)) {}

CallerServer::~CallerServer() { this->State->ServerExists = false; }

std::string CallerServer::start() {
  error_code Ec;
  const auto Ip = asio::ip::make_address(this->State->Options.Address, Ec);
  if (Ec)
    return Ec.message();
  const tcp::endpoint Endpoint(Ip, this->State->Options.Port);
  tcp::acceptor &Acceptor = this->State->Acceptor;
  Acceptor.open(Endpoint.protocol(), Ec);
  if (!Ec)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    Acceptor.bind(Endpoint, Ec);
  if (!Ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return Ec.message();
  this->accept();
  return "";
}

unsigned short CallerServer::port() const {
  error_code Ignored;
  return this->State->Acceptor.local_endpoint(Ignored).port();
}

void CallerServer::accept() {
  this->State->Acceptor.async_accept(
      [this, State = this->State](error_code Ec, tcp::socket Socket) {
        if (!State->ServerExists || Ec == asio::error::operation_aborted)
          return;
        if (!Ec) {
          const bool AtLimit =
              State->Sessions.size() >= State->Options.MaxConnections;
          auto NewSession = std::make_shared<Session>(State, std::move(Socket));
          if (AtLimit)
            NewSession->rejectConnection();
          else
            NewSession->run();
        }
        this->accept();
      });
}

void CallerServer::beginDrain() {
  this->State->Draining = true;
  error_code Ignored;
  this->State->Acceptor.close(Ignored);
  for (Session *Each : this->State->Sessions)
    Each->drain();
}

bool CallerServer::isDrained() const { return this->State->Sessions.empty(); }

} // namespace sardinerill
