#include "sardinerill/gateway/callerdoor.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/base/text.h"
#include "sardinerill/gateway/problem.h"
#include "sardinerill/platform/iplatform.h"

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
constexpr std::size_t FirstReadBytes = 2048;
constexpr milliseconds AnswerTimeout{30000};
constexpr milliseconds IdleWhileDraining{1000};
constexpr milliseconds BusyRetry{1000};

using Response = http::response<http::string_body>;

bool isPrintable(std::string_view Text) {
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
struct CallerDoor::Shared {
  asio::io_context &Io;
  CallerDoorOptions Options;
  IWorkService &Work;
  IJobService &Jobs;
  Ready IsReady;
  Metrics &Figures;
  tcp::acceptor Acceptor;
  std::set<Session *> Sessions;
  bool Draining = false;
  bool Open = true;

  Shared(asio::io_context &Io, CallerDoorOptions Options, IWorkService &Work,
         IJobService &Jobs, Ready IsReady, Metrics &Figures)
      : Io(Io), Options(std::move(Options)), Work(Work), Jobs(Jobs),
        IsReady(std::move(IsReady)), Figures(Figures), Acceptor(Io) {}
};

/// One connection; handles its requests one at a time.
class CallerDoor::Session
    : public std::enable_shared_from_this<CallerDoor::Session> {
public:
  Session(std::shared_ptr<Shared> Door, tcp::socket Socket)
      : Door(std::move(Door)), Stream(std::move(Socket)) {
    this->Door->Sessions.insert(this);
    error_code Ignored;
    this->Stream.socket().set_option(tcp::no_delay(true), Ignored);
  }
  ~Session() { this->Door->Sessions.erase(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void run() { this->awaitRequest(); }

  /// Responds that there are too many connections, then closes.
  void turnAway() {
    this->MustClose = true;
    this->respondError(
        Error{ErrorKind::QueueFull, "too many connections", BusyRetry});
  }

  /// Applies the shorter idle timeout for a shutdown; requests in flight are
  /// not interrupted.
  void drain() {
    if (this->Phase == Phase::Idle)
      this->Stream.expires_after(IdleWhileDraining);
  }

private:
  enum class Phase { Idle, Reading, Waiting, Answering };

  void awaitRequest() {
    this->Phase = Phase::Idle;
    ++this->Generation;
    this->Parser.emplace();
    this->Parser->header_limit(this->Door->Options.MaxHeaderBytes);
    this->Parser->body_limit(this->Door->Options.MaxBodyBytes);
    if (this->Buffer.size() > 0) {
      this->readHeader();
      return;
    }
    this->Stream.expires_after(this->Door->Draining
                                   ? IdleWhileDraining
                                   : this->Door->Options.IdleTimeout);
    this->Stream.async_read_some(
        this->Buffer.prepare(FirstReadBytes),
        [Self = this->shared_from_this()](error_code Failed, std::size_t Got) {
          if (Failed)
            return;
          Self->Buffer.commit(Got);
          Self->readHeader();
        });
  }

  void readHeader() {
    this->Phase = Phase::Reading;
    // One timeout for the whole request: a caller that sends single bytes
    // cannot extend it.
    this->Stream.expires_after(this->Door->Options.RequestTimeout);
    http::async_read_header(
        this->Stream, this->Buffer, *this->Parser,
        [Self = this->shared_from_this()](error_code Failed, std::size_t) {
          if (Failed)
            Self->failRead(Failed);
          else
            Self->readBody();
        });
  }

  void readBody() {
    if (toView(this->Parser->get()[http::field::expect]) == "100-continue") {
      this->sendContinue();
      return;
    }
    this->readRest();
  }

  void sendContinue() {
    auto Message = std::make_shared<http::response<http::empty_body>>(
        http::status::continue_, 11);
    http::async_write(this->Stream, *Message,
                      [Self = this->shared_from_this(),
                       Message](error_code Failed, std::size_t) {
                        if (!Failed)
                          Self->readRest();
                      });
  }

  void readRest() {
    http::async_read(
        this->Stream, this->Buffer, *this->Parser,
        [Self = this->shared_from_this()](error_code Failed, std::size_t) {
          if (Failed)
            Self->failRead(Failed);
          else
            Self->route();
        });
  }

  void failRead(error_code Failed) {
    this->MustClose = true;
    if (Failed == http::error::end_of_stream ||
        Failed == http::error::partial_message ||
        Failed == asio::error::connection_reset ||
        Failed == asio::error::operation_aborted)
      return;
    if (Failed == beast::error::timeout) {
      this->Door->Figures.count("callers_too_slow_total");
      return;
    }
    const bool TooLarge = Failed == http::error::body_limit;
    this->respondError(
        Error{TooLarge ? ErrorKind::BodyTooLarge : ErrorKind::BadRequest,
              TooLarge ? "the body is over " +
                             std::to_string(this->Door->Options.MaxBodyBytes) +
                             " bytes"
                       : Failed.message()});
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
      const bool Ready = this->Door->IsReady() && !this->Door->Draining;
      this->respondText(Ready ? http::status::ok
                              : http::status::service_unavailable,
                        Ready ? "ready\n" : "not ready\n");
      return;
    }
    if (Target.starts_with(JobsPrefix)) {
      this->callJobs(Target.substr(JobsPrefix.size()));
      return;
    }
    if (!Target.starts_with(WorkPrefix)) {
      this->refuse(Error{ErrorKind::NotFound, "no such path"});
      return;
    }
    if (Request.method() != http::verb::post) {
      this->refuse(Error{ErrorKind::BadRequest, "work is sent by POST"});
      return;
    }
    this->submit(Target.substr(WorkPrefix.size()));
  }

  /// \returns the key in the Authorization header; an empty one if the scheme
  /// is not Bearer.
  std::optional<std::string> keyOf() {
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
  Result<std::optional<std::string>> idempotencyKeyOf() {
    const std::string_view Given =
        toView(this->Parser->get()["Idempotency-Key"]);
    if (Given.size() > MaxIdempotencyKeyBytes || !isPrintable(Given))
      return makeError(ErrorKind::BadRequest,
                       "an Idempotency-Key has up to 200 printable letters");
    if (Given.empty())
      return std::optional<std::string>();
    return std::optional<std::string>(std::string(Given));
  }

  void submit(std::string_view Class) {
    auto &Request = this->Parser->get();
    Result<std::optional<std::string>> IdempotencyKey =
        this->idempotencyKeyOf();
    if (!isPlainName(Class)) {
      this->refuse(Error{ErrorKind::BadRequest, "not a name of a class"});
      return;
    }
    if (!IdempotencyKey) {
      this->refuse(IdempotencyKey.error());
      return;
    }
    WorkRequest Work;
    Work.Id = RequestId(makeWriteId());
    Work.Class = ClassId(std::string(Class));
    Work.Key = this->keyOf();
    Work.IdempotencyKey = *IdempotencyKey;
    Work.ContentType = std::string(Request[http::field::content_type]);
    Work.TraceParent = std::string(Request["traceparent"]);
    Work.Body = std::move(Request.body());
    this->Id = Work.Id;
    this->Phase = Phase::Waiting;
    this->Stream.expires_never();
    this->watchForHangUp();
    this->Door->Work.submit(std::move(Work), [Self = this->shared_from_this()](
                                                 Result<WorkAnswer> Outcome) {
      Self->answer(std::move(Outcome));
    });
  }

  /// \returns the requested job operation, from the method and the path suffix.
  Result<JobCall> jobCallOf(std::string_view Rest) {
    auto &Request = this->Parser->get();
    JobCall Call;
    const bool IsFetch = Rest.ends_with(ResultSuffix);
    if (IsFetch)
      Rest.remove_suffix(ResultSuffix.size());
    if (!isPlainName(Rest))
      return makeError(ErrorKind::BadRequest, "not a name of a class or job");
    Result<std::optional<std::string>> IdempotencyKey =
        this->idempotencyKeyOf();
    if (!IdempotencyKey)
      return tl::unexpected(IdempotencyKey.error());
    Call.Key = this->keyOf();
    Call.IdempotencyKey = *IdempotencyKey;
    Call.Id = JobId(std::string(Rest));
    using Verb = JobCall::Verb;
    if (Request.method() == http::verb::get) {
      Call.Wanted = IsFetch ? Verb::Fetch : Verb::Status;
      return Call;
    }
    if (Request.method() == http::verb::delete_ && !IsFetch) {
      Call.Wanted = Verb::Cancel;
      return Call;
    }
    if (Request.method() != http::verb::post || IsFetch)
      return makeError(ErrorKind::BadRequest, "jobs take POST, GET and DELETE");
    Call.Wanted = Verb::Submit;
    Call.Class = ClassId(std::string(Rest));
    Call.ContentType = std::string(Request[http::field::content_type]);
    Call.Body = std::move(Request.body());
    return Call;
  }

  void callJobs(std::string_view Rest) {
    Result<JobCall> Call = this->jobCallOf(Rest);
    if (!Call) {
      this->refuse(Call.error());
      return;
    }
    this->Phase = Phase::Waiting;
    this->Stream.expires_never();
    this->Door->Jobs.call(std::move(*Call), [Self = this->shared_from_this()](
                                                Result<JobAnswer> Outcome) {
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

  /// Cancels the request if the caller disconnects while it waits. Bytes of a
  /// pipelined request are left in the socket.
  void watchForHangUp() {
    this->Stream.socket().async_wait(
        tcp::socket::wait_read, [Self = this->shared_from_this(),
                                 Mine = this->Generation](error_code Failed) {
          if (Failed || Self->Generation != Mine ||
              Self->Phase != Phase::Waiting)
            return;
          if (Self->hasHungUp()) {
            Self->MustClose = true;
            Self->Gone = true;
            Self->Door->Figures.count("callers_hung_up_total");
            Self->Door->Work.cancel(Self->Id);
          }
        });
  }

  /// Peeks at the socket: an error or 0 bytes means that it was closed.
  bool hasHungUp() {
    error_code Failed;
    char Byte = 0;
    tcp::socket &Socket = this->Stream.socket();
    Socket.non_blocking(true, Failed);
    const std::size_t Got = Socket.receive(asio::buffer(&Byte, 1),
                                           tcp::socket::message_peek, Failed);
    return Failed != asio::error::would_block && (Failed || Got == 0);
  }

  void answer(Result<WorkAnswer> Outcome) {
    if (this->Gone)
      return;
    if (!Outcome) {
      this->respondError(Outcome.error());
      return;
    }
    Response Reply(static_cast<http::status>(Outcome->Status), 11);
    if (!Outcome->ContentType.empty())
      Reply.set(http::field::content_type, Outcome->ContentType);
    Reply.set("Sardinerill-Vm", Outcome->RanOn.str());
    Reply.body() = std::move(Outcome->Body);
    this->respond(std::move(Reply));
  }

  void respondText(http::status Status, const std::string &Text) {
    Response Reply(Status, 11);
    Reply.set(http::field::content_type, "text/plain");
    Reply.body() = Text;
    this->respond(std::move(Reply));
  }

  /// Refuses a request that did not reach the dispatcher. The dispatcher counts
  /// its own refusals.
  void refuse(const Error &Why) {
    this->Door->Figures.countRefusal(Why.Kind);
    this->respondError(Why);
  }

  void respondError(const Error &Why) {
    const ErrorAnswer &Answer = answerFor(Why.Kind);
    if (this->MustClose)
      this->Door->Figures.countRefusal(Why.Kind);
    if (!this->Id.empty())
      logEvent(LogLevel::Debug, "request.refused",
               {{"request", this->Id.str()},
                {"kind", std::string(Answer.Name)},
                {"ran", std::string(toString(Answer.Ran))}});
    Response Reply(static_cast<http::status>(Answer.HttpStatus), 11);
    Reply.set(http::field::content_type, ProblemContentType);
    if (Why.RetryAfter)
      Reply.set(http::field::retry_after, retryAfterSeconds(*Why.RetryAfter));
    if (Answer.HttpStatus == 401)
      Reply.set(http::field::www_authenticate, "Bearer");
    Reply.body() = renderProblem(Why, this->Id);
    this->respond(std::move(Reply));
  }

  void respond(Response Message) {
    this->Phase = Phase::Answering;
    this->Reply = std::move(Message);
    if (!this->Id.empty())
      this->Reply.set("Sardinerill-Request-Id", this->Id.str());
    const bool Known = this->Parser && this->Parser->is_header_done();
    const bool Keep = Known && this->Parser->get().keep_alive() &&
                      !this->MustClose && !this->Door->Draining;
    this->Reply.keep_alive(Keep);
    this->Reply.prepare_payload();
    this->Id = RequestId();
    this->Stream.expires_after(AnswerTimeout);
    http::async_write(this->Stream, this->Reply,
                      [Self = this->shared_from_this(), Keep](error_code Failed,
                                                              std::size_t) {
                        if (Failed)
                          return;
                        if (Keep)
                          Self->awaitRequest();
                        else
                          Self->close();
                      });
  }

  void close() {
    error_code Ignored;
    this->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    this->Phase = Phase::Idle;
    this->discardRest();
  }

  /// Reads and discards further input until the caller closes or the timeout
  /// expires. Closing a socket with unread input would reset the connection,
  /// and the caller might lose the response.
  void discardRest() {
    this->Stream.expires_after(IdleWhileDraining);
    this->Buffer.clear();
    this->Stream.async_read_some(
        this->Buffer.prepare(FirstReadBytes),
        [Self = this->shared_from_this()](error_code Failed, std::size_t) {
          if (!Failed)
            Self->discardRest();
        });
  }

  std::shared_ptr<Shared> Door;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  Response Reply;
  RequestId Id;
  Phase Phase = Phase::Idle;
  std::uint64_t Generation = 0;
  bool MustClose = false;
  bool Gone = false;
};

CallerDoor::CallerDoor(asio::io_context &Io, CallerDoorOptions Options,
                       IWorkService &Work, IJobService &Jobs, Ready IsReady,
                       Metrics &Figures)
    : Inner(std::make_shared<Shared>(Io, std::move(Options), Work, Jobs,
                                     std::move(IsReady), Figures)) {}

CallerDoor::~CallerDoor() { this->Inner->Open = false; }

std::string CallerDoor::open() {
  error_code Failed;
  const auto Ip = asio::ip::make_address(this->Inner->Options.Address, Failed);
  if (Failed)
    return Failed.message();
  const tcp::endpoint Where(Ip, this->Inner->Options.Port);
  tcp::acceptor &Acceptor = this->Inner->Acceptor;
  Acceptor.open(Where.protocol(), Failed);
  if (!Failed)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(Where, Failed);
  if (!Failed)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
  if (Failed)
    return Failed.message();
  this->accept();
  return "";
}

unsigned short CallerDoor::port() const {
  error_code Ignored;
  return this->Inner->Acceptor.local_endpoint(Ignored).port();
}

void CallerDoor::accept() {
  this->Inner->Acceptor.async_accept(
      [this, Door = this->Inner](error_code Failed, tcp::socket Socket) {
        if (!Door->Open || Failed == asio::error::operation_aborted)
          return;
        if (!Failed) {
          const bool Full =
              Door->Sessions.size() >= Door->Options.MaxConnections;
          auto Next = std::make_shared<Session>(Door, std::move(Socket));
          if (Full)
            Next->turnAway();
          else
            Next->run();
        }
        this->accept();
      });
}

void CallerDoor::beginDrain() {
  this->Inner->Draining = true;
  error_code Ignored;
  this->Inner->Acceptor.close(Ignored);
  for (Session *Each : this->Inner->Sessions)
    Each->drain();
}

bool CallerDoor::isEmpty() const { return this->Inner->Sessions.empty(); }

} // namespace sardinerill
