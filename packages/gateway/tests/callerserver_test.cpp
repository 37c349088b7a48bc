#include "sardinerill/gateway/callerserver.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace sardinerill;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Answers immediately, or holds the requests until answerAll().
struct StubWorkService : IWorkService {
  struct PendingWork {
    WorkRequest Request;
    Callback Finished;
  };
  std::vector<PendingWork> Pending;
  std::vector<RequestId> Cancelled;
  bool AnswerImmediately = true;

  void submit(WorkRequest Request, Callback Finished) override {
    if (this->AnswerImmediately)
      Finished(
          WorkResponse{200, "text/plain", "for " + Request.Body, VmId("w")});
    else
      this->Pending.push_back({std::move(Request), std::move(Finished)});
  }
  void cancel(const RequestId &Id) override {
    this->Cancelled.push_back(Id);
    for (PendingWork &Each : this->Pending)
      if (Each.Request.Id == Id)
        Each.Finished(makeError(ErrorKind::CallerGone, "gone"));
  }
  void answerAll() {
    for (PendingWork &Each : std::exchange(this->Pending, {}))
      Each.Finished(
          WorkResponse{200, "text/plain", "for " + Each.Request.Body, {}});
  }
};

/// Accepts every job call and records the last one.
struct RecordingJobService : IJobService {
  JobRequest LastCall;
  void call(JobRequest Call, Callback Finished) override {
    this->LastCall = Call;
    Finished(JobResponse{202, "application/json", "{}"});
  }
};

/// A server and its callers on one thread: handlers run only in run().
struct ServerFixture {
  asio::io_context Io;
  StubWorkService Work;
  RecordingJobService Jobs;
  Metrics Stats;
  CallerServer Server;

  explicit ServerFixture(CallerServerOptions Options = {})
      : Server(
            Io, withLoopback(std::move(Options)), Work, Jobs,
            [] { return true; }, Stats) {
    REQUIRE(this->Server.start() == "");
  }

  static CallerServerOptions withLoopback(CallerServerOptions Options) {
    Options.Address = "127.0.0.1";
    Options.Port = 0;
    return Options;
  }

  tcp::socket connect() {
    tcp::socket Socket(this->Io);
    Socket.connect({asio::ip::make_address("127.0.0.1"), this->Server.port()});
    return Socket;
  }

  void run() {
    // Loopback delivers immediately; a few iterations run the handlers that
    // depend on one another.
    for (int Iteration = 0; Iteration < 20; ++Iteration) {
      this->Io.restart();
      this->Io.poll();
      std::this_thread::yield();
    }
  }

  /// Runs the server until \p Socket has received \p Expected or was closed.
  /// \returns all text received.
  std::string readUntil(tcp::socket &Socket, const std::string &Expected) {
    std::string Text;
    boost::system::error_code Ec;
    Socket.non_blocking(true);
    while (Text.find(Expected) == std::string::npos || Expected.empty()) {
      this->run();
      char Chunk[4096];
      const std::size_t BytesRead = Socket.read_some(asio::buffer(Chunk), Ec);
      Text.append(Chunk, BytesRead);
      if (Ec && Ec != asio::error::would_block)
        break;
    }
    return Text;
  }

  /// Runs the server until \p IsReached returns true.
  template <typename Condition> void runUntil(Condition IsReached) {
    while (!IsReached())
      this->run();
  }
};

std::string post(const std::string &Path, const std::string &Body,
                 const std::string &Headers = "") {
  return "POST " + Path + " HTTP/1.1\r\nHost: x\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

void send(tcp::socket &Socket, const std::string &Text) {
  Socket.non_blocking(false);
  asio::write(Socket, asio::buffer(Text));
}

} // namespace

TEST_CASE("each request gets its own response and the connection stays open") {
  ServerFixture Fixture;
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/pattern", "one"));
  CHECK(Fixture.readUntil(Caller, "for one").find("200 OK") !=
        std::string::npos);
  send(Caller, post("/v1/work/pattern", "two"));
  CHECK(Fixture.readUntil(Caller, "for two").find("Sardinerill-Vm: w") !=
        std::string::npos);
}

TEST_CASE("pipelined requests are answered in order") {
  ServerFixture Fixture;
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/a", "one") + post("/v1/work/a", "two") +
                   post("/v1/work/a", "three"));
  const std::string Text = Fixture.readUntil(Caller, "for three");
  CHECK(Text.find("for one") < Text.find("for two"));
  CHECK(Text.find("for two") < Text.find("for three"));
}

TEST_CASE("method and path select submit, status, fetch or cancel of a job") {
  ServerFixture Fixture;
  tcp::socket Caller = Fixture.connect();
  using Operation = JobRequest::Operation;
  const std::vector<std::pair<std::string, Operation>> Calls{
      {post("/v1/jobs/nesting", "sheet"), Operation::Submit},
      {"GET /v1/jobs/abc HTTP/1.1\r\n\r\n", Operation::Status},
      {"GET /v1/jobs/abc/result HTTP/1.1\r\n\r\n", Operation::Fetch},
      {"DELETE /v1/jobs/abc HTTP/1.1\r\nAuthorization: Bearer k\r\n\r\n",
       Operation::Cancel}};
  for (const auto &[Text, Wanted] : Calls) {
    send(Caller, Text);
    CHECK(Fixture.readUntil(Caller, "{}").find("202") != std::string::npos);
    CHECK((Fixture.Jobs.LastCall.Type == Wanted));
  }
  CHECK(Fixture.Jobs.LastCall.Id == JobId("abc"));
  CHECK(Fixture.Jobs.LastCall.Key == "k");
  send(Caller, "PUT /v1/jobs/abc HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  CHECK(Fixture.readUntil(Caller, "bad_request").find("400") !=
        std::string::npos);
}

TEST_CASE(
    "a body over the limit is refused with a problem document and counted") {
  ServerFixture Fixture(CallerServerOptions{.MaxBodyBytes = 100});
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/a", std::string(101, 'x')));
  const std::string Text = Fixture.readUntil(Caller, "body_too_large");
  CHECK(Text.find("413") != std::string::npos);
  CHECK(Text.find("application/problem+json") != std::string::npos);
  CHECK(Fixture.Stats.refusals(ErrorKind::BodyTooLarge) == 1);
  CHECK(Fixture.Work.Pending.empty());
}

TEST_CASE("a chunked body over the limit is refused") {
  ServerFixture Fixture(CallerServerOptions{.MaxBodyBytes = 100});
  tcp::socket Caller = Fixture.connect();
  send(Caller, "POST /v1/work/a HTTP/1.1\r\nTransfer-Encoding: "
               "chunked\r\n\r\nff\r\n" +
                   std::string(255, 'x') + "\r\n0\r\n\r\n");
  CHECK(Fixture.readUntil(Caller, "body_too_large").find("413") !=
        std::string::npos);
}

TEST_CASE("malformed requests are refused and later ones still served") {
  ServerFixture Fixture;
  const std::vector<std::string> MalformedRequests{
      "GARBAGE\r\n\r\n",
      "POST /v1/work/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "POST /v1/work/a HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
      "POST /v1/work/a HTTP/1.1\r\nBad Header\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "POST /v1/work/a HTTP/1.1\r\nX: " + std::string(40000, 'y') + "\r\n\r\n"};
  for (const std::string &Text : MalformedRequests) {
    tcp::socket Caller = Fixture.connect();
    send(Caller, Text);
    CHECK(Fixture.readUntil(Caller, "bad_request").find("400") !=
          std::string::npos);
  }
  CHECK(Fixture.Stats.refusals(ErrorKind::BadRequest) ==
        MalformedRequests.size());
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/a", "fine"));
  CHECK(Fixture.readUntil(Caller, "for fine").find("200") != std::string::npos);
}

TEST_CASE("invalid class names and idempotency keys are refused") {
  ServerFixture Fixture;
  const std::vector<std::string> Paths{"/v1/work/", "/v1/work/a%20b",
                                       "/v1/work/\xc3\x28",
                                       "/v1/work/" + std::string(101, 'a')};
  for (const std::string &Path : Paths) {
    tcp::socket Caller = Fixture.connect();
    send(Caller, post(Path, ""));
    CHECK(Fixture.readUntil(Caller, "bad_request").find("400") !=
          std::string::npos);
  }
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/a", "",
                    "Idempotency-Key: " + std::string(201, 'k') + "\r\n"));
  CHECK(Fixture.readUntil(Caller, "bad_request").find("400") !=
        std::string::npos);
}

TEST_CASE("after a corrupted request the next caller is still served") {
  ServerFixture Fixture;
  CHECK(rc::check("requests with up to three bytes overwritten", [&] {
    tcp::socket Caller = Fixture.connect();
    std::string Text = post("/v1/work/a", "body", "Idempotency-Key: k\r\n");
    const auto Positions = *rc::gen::container<std::vector<std::size_t>>(
        3, rc::gen::inRange<std::size_t>(0, Text.size()));
    for (std::size_t Position : Positions)
      Text[Position] = *rc::gen::arbitrary<char>();
    send(Caller, Text);
    Fixture.run();
    Caller.close();
    tcp::socket Next = Fixture.connect();
    send(Next, post("/v1/work/a", "fine"));
    RC_ASSERT(Fixture.readUntil(Next, "for fine").find("200") !=
              std::string::npos);
  }));
}

TEST_CASE("a connection that sends a request byte by byte is closed at the "
          "request timeout") {
  ServerFixture Fixture(
      CallerServerOptions{.RequestTimeout = milliseconds(50)});
  tcp::socket Caller = Fixture.connect();
  const std::string Text = post("/v1/work/a", "body");
  boost::system::error_code Ec;
  std::size_t Sent = 0;
  while (Fixture.Stats.counter("callers_too_slow_total") == 0) {
    // The last byte is never sent, so the request stays incomplete.
    if (Sent + 1 < Text.size())
      asio::write(Caller, asio::buffer(&Text[Sent++], 1), Ec);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    Fixture.run();
  }
  CHECK(Fixture.Work.Pending.empty());
}

// Such a caller would hold a connection, and a planned shutdown, for as long as
// it likes.
TEST_CASE("a refused caller that keeps sending is disconnected at the request "
          "timeout") {
  ServerFixture Fixture(CallerServerOptions{
      .MaxBodyBytes = 10, .RequestTimeout = milliseconds(300)});
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/a", std::string(11, 'x')));
  CHECK(Fixture.readUntil(Caller, "body_too_large").find("413") !=
        std::string::npos);
  const auto Start = std::chrono::steady_clock::now();
  boost::system::error_code Ec;
  while (!Fixture.Server.isDrained() &&
         std::chrono::steady_clock::now() < Start + std::chrono::seconds(3)) {
    Caller.write_some(asio::buffer("x", 1), Ec);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Fixture.run();
  }
  CHECK(Fixture.Server.isDrained());
}

TEST_CASE("connections over the limit are refused with 429") {
  ServerFixture Fixture(CallerServerOptions{.MaxConnections = 2});
  tcp::socket First = Fixture.connect();
  tcp::socket Second = Fixture.connect();
  Fixture.run();
  tcp::socket Third = Fixture.connect();
  CHECK(Fixture.readUntil(Third, "queue_full").find("429") !=
        std::string::npos);
}

TEST_CASE("a caller that disconnects cancels its request") {
  ServerFixture Fixture;
  Fixture.Work.AnswerImmediately = false;
  tcp::socket Caller = Fixture.connect();
  send(Caller, post("/v1/work/a", "one"));
  Fixture.runUntil([&] { return Fixture.Work.Pending.size() == 1; });
  Caller.close();
  Fixture.runUntil([&] { return !Fixture.Work.Cancelled.empty(); });
  CHECK(Fixture.Work.Cancelled[0] == Fixture.Work.Pending[0].Request.Id);
  CHECK(Fixture.Stats.counter("callers_hung_up_total") == 1);
}

// Guards against a planned shutdown that interrupts requests in flight: those
// being handled, partly received, or sent on a connection that was idle.
TEST_CASE("a planned shutdown completes requests that are running, partly "
          "received, or sent on idle connections") {
  ServerFixture Fixture;
  Fixture.Work.AnswerImmediately = false;
  tcp::socket Running = Fixture.connect();
  send(Running, post("/v1/work/a", "running"));
  Fixture.runUntil([&] { return Fixture.Work.Pending.size() == 1; });
  tcp::socket PartlySent = Fixture.connect();
  const std::string Text = post("/v1/work/a", "half read");
  send(PartlySent, Text.substr(0, Text.size() / 2));
  tcp::socket Idle = Fixture.connect();
  Fixture.run();
  const unsigned short Port = Fixture.Server.port();
  Fixture.Server.beginDrain();
  send(PartlySent, Text.substr(Text.size() / 2));
  send(Idle, post("/v1/work/a", "idle before"));
  Fixture.runUntil([&] { return Fixture.Work.Pending.size() == 3; });
  Fixture.Work.answerAll();
  for (auto &[Socket, Body] :
       std::vector<std::pair<tcp::socket *, std::string>>{
           {&Running, "running"},
           {&PartlySent, "half read"},
           {&Idle, "idle before"}}) {
    const std::string Answer = Fixture.readUntil(*Socket, "for " + Body);
    CHECK(Answer.find("200 OK") != std::string::npos);
    CHECK(Answer.find("Connection: close") != std::string::npos);
    Socket->close();
  }
  Fixture.runUntil([&] { return Fixture.Server.isDrained(); });
  tcp::socket Late(Fixture.Io);
  boost::system::error_code Ec;
  Late.connect({asio::ip::make_address("127.0.0.1"), Port}, Ec);
  CHECK(Ec);
}

TEST_CASE("readiness turns to 503 when the drain begins") {
  ServerFixture Fixture;
  tcp::socket Caller = Fixture.connect();
  send(Caller, "GET /readyz HTTP/1.1\r\n\r\n");
  CHECK(Fixture.readUntil(Caller, "ready\n").find("200") != std::string::npos);
  Fixture.Server.beginDrain();
  send(Caller, "GET /readyz HTTP/1.1\r\n\r\n");
  CHECK(Fixture.readUntil(Caller, "ready\n").find("503") != std::string::npos);
}
