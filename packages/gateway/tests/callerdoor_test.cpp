#include "sardinerill/gateway/callerdoor.h"

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
struct HeldWork : IWorkService {
  struct Held {
    WorkRequest Request;
    Done Finished;
  };
  std::vector<Held> Open;
  std::vector<RequestId> Cancelled;
  bool AnswerAtOnce = true;

  void submit(WorkRequest Request, Done Finished) override {
    if (this->AnswerAtOnce)
      Finished(WorkAnswer{200, "text/plain", "for " + Request.Body, VmId("w")});
    else
      this->Open.push_back({std::move(Request), std::move(Finished)});
  }
  void cancel(const RequestId &Id) override {
    this->Cancelled.push_back(Id);
    for (Held &Each : this->Open)
      if (Each.Request.Id == Id)
        Each.Finished(makeError(ErrorKind::CallerGone, "gone"));
  }
  void answerAll() {
    for (Held &Each : std::exchange(this->Open, {}))
      Each.Finished(
          WorkAnswer{200, "text/plain", "for " + Each.Request.Body, {}});
  }
};

/// Accepts every job call and records the last one.
struct EchoJobs : IJobService {
  JobCall Last;
  void call(JobCall Call, Done Finished) override {
    this->Last = Call;
    Finished(JobAnswer{202, "application/json", "{}"});
  }
};

/// A server and its callers on one thread: handlers run only in run().
struct Hall {
  asio::io_context Io;
  HeldWork Work;
  EchoJobs Jobs;
  Metrics Figures;
  CallerDoor Door;

  explicit Hall(CallerDoorOptions Options = {})
      : Door(
            Io, with(std::move(Options)), Work, Jobs, [] { return true; },
            Figures) {
    REQUIRE(this->Door.open() == "");
  }

  static CallerDoorOptions with(CallerDoorOptions Options) {
    Options.Address = "127.0.0.1";
    Options.Port = 0;
    return Options;
  }

  tcp::socket connect() {
    tcp::socket Socket(this->Io);
    Socket.connect({asio::ip::make_address("127.0.0.1"), this->Door.port()});
    return Socket;
  }

  void run() {
    // Loopback delivers immediately; a few iterations run the handlers that
    // depend on one another.
    for (int Turn = 0; Turn < 20; ++Turn) {
      this->Io.restart();
      this->Io.poll();
      std::this_thread::yield();
    }
  }

  /// Runs the server until \p Socket has received \p Until or was closed.
  /// \returns all text received.
  std::string readUntil(tcp::socket &Socket, const std::string &Until) {
    std::string Text;
    boost::system::error_code Failed;
    Socket.non_blocking(true);
    while (Text.find(Until) == std::string::npos || Until.empty()) {
      this->run();
      char Part[4096];
      const std::size_t Got = Socket.read_some(asio::buffer(Part), Failed);
      Text.append(Part, Got);
      if (Failed && Failed != asio::error::would_block)
        break;
    }
    return Text;
  }

  /// Runs the server until \p Holds returns true.
  template <typename Condition> void runUntil(Condition Holds) {
    while (!Holds())
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

TEST_CASE("a request gets the answer to itself, and the connection is kept") {
  Hall Site;
  tcp::socket Caller = Site.connect();
  send(Caller, post("/v1/work/pattern", "one"));
  CHECK(Site.readUntil(Caller, "for one").find("200 OK") != std::string::npos);
  send(Caller, post("/v1/work/pattern", "two"));
  CHECK(Site.readUntil(Caller, "for two").find("Sardinerill-Vm: w") !=
        std::string::npos);
}

TEST_CASE("pipelined requests are answered in their order") {
  Hall Site;
  tcp::socket Caller = Site.connect();
  send(Caller, post("/v1/work/a", "one") + post("/v1/work/a", "two") +
                   post("/v1/work/a", "three"));
  const std::string Text = Site.readUntil(Caller, "for three");
  CHECK(Text.find("for one") < Text.find("for two"));
  CHECK(Text.find("for two") < Text.find("for three"));
}

TEST_CASE("jobs are submitted, looked at, fetched and cancelled by path") {
  Hall Site;
  tcp::socket Caller = Site.connect();
  using Verb = JobCall::Verb;
  const std::vector<std::pair<std::string, Verb>> Calls{
      {post("/v1/jobs/nesting", "sheet"), Verb::Submit},
      {"GET /v1/jobs/abc HTTP/1.1\r\n\r\n", Verb::Status},
      {"GET /v1/jobs/abc/result HTTP/1.1\r\n\r\n", Verb::Fetch},
      {"DELETE /v1/jobs/abc HTTP/1.1\r\nAuthorization: Bearer k\r\n\r\n",
       Verb::Cancel}};
  for (const auto &[Text, Wanted] : Calls) {
    send(Caller, Text);
    CHECK(Site.readUntil(Caller, "{}").find("202") != std::string::npos);
    CHECK((Site.Jobs.Last.Wanted == Wanted));
  }
  CHECK(Site.Jobs.Last.Id == JobId("abc"));
  CHECK(Site.Jobs.Last.Key == "k");
  send(Caller, "PUT /v1/jobs/abc HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  CHECK(Site.readUntil(Caller, "bad_request").find("400") != std::string::npos);
}

TEST_CASE("a body over the limit is refused with a problem and a counter") {
  Hall Site(CallerDoorOptions{.MaxBodyBytes = 100});
  tcp::socket Caller = Site.connect();
  send(Caller, post("/v1/work/a", std::string(101, 'x')));
  const std::string Text = Site.readUntil(Caller, "body_too_large");
  CHECK(Text.find("413") != std::string::npos);
  CHECK(Text.find("application/problem+json") != std::string::npos);
  CHECK(Site.Figures.refusals(ErrorKind::BodyTooLarge) == 1);
  CHECK(Site.Work.Open.empty());
}

TEST_CASE("a chunked body over the limit is refused as well") {
  Hall Site(CallerDoorOptions{.MaxBodyBytes = 100});
  tcp::socket Caller = Site.connect();
  send(Caller, "POST /v1/work/a HTTP/1.1\r\nTransfer-Encoding: "
               "chunked\r\n\r\nff\r\n" +
                   std::string(255, 'x') + "\r\n0\r\n\r\n");
  CHECK(Site.readUntil(Caller, "body_too_large").find("413") !=
        std::string::npos);
}

TEST_CASE("broken requests are refused and the door goes on") {
  Hall Site;
  const std::vector<std::string> Broken{
      "GARBAGE\r\n\r\n",
      "POST /v1/work/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "POST /v1/work/a HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
      "POST /v1/work/a HTTP/1.1\r\nBad Header\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "POST /v1/work/a HTTP/1.1\r\nX: " + std::string(40000, 'y') + "\r\n\r\n"};
  for (const std::string &Text : Broken) {
    tcp::socket Caller = Site.connect();
    send(Caller, Text);
    CHECK(Site.readUntil(Caller, "bad_request").find("400") !=
          std::string::npos);
  }
  CHECK(Site.Figures.refusals(ErrorKind::BadRequest) == Broken.size());
  tcp::socket Caller = Site.connect();
  send(Caller, post("/v1/work/a", "fine"));
  CHECK(Site.readUntil(Caller, "for fine").find("200") != std::string::npos);
}

TEST_CASE("names that are not plain are refused") {
  Hall Site;
  const std::vector<std::string> Paths{"/v1/work/", "/v1/work/a%20b",
                                       "/v1/work/\xc3\x28",
                                       "/v1/work/" + std::string(101, 'a')};
  for (const std::string &Path : Paths) {
    tcp::socket Caller = Site.connect();
    send(Caller, post(Path, ""));
    CHECK(Site.readUntil(Caller, "bad_request").find("400") !=
          std::string::npos);
  }
  tcp::socket Caller = Site.connect();
  send(Caller, post("/v1/work/a", "",
                    "Idempotency-Key: " + std::string(201, 'k') + "\r\n"));
  CHECK(Site.readUntil(Caller, "bad_request").find("400") != std::string::npos);
}

TEST_CASE("any bytes leave the door open for the next caller") {
  Hall Site;
  CHECK(rc::check("hostile bytes", [&] {
    tcp::socket Caller = Site.connect();
    std::string Text = post("/v1/work/a", "body", "Idempotency-Key: k\r\n");
    const auto Places = *rc::gen::container<std::vector<std::size_t>>(
        3, rc::gen::inRange<std::size_t>(0, Text.size()));
    for (std::size_t Place : Places)
      Text[Place] = *rc::gen::arbitrary<char>();
    send(Caller, Text);
    Site.run();
    Caller.close();
    tcp::socket Next = Site.connect();
    send(Next, post("/v1/work/a", "fine"));
    RC_ASSERT(Site.readUntil(Next, "for fine").find("200") !=
              std::string::npos);
  }));
}

TEST_CASE("a sender of one byte at a time is cut at the request's limit") {
  Hall Site(CallerDoorOptions{.RequestTimeout = milliseconds(50)});
  tcp::socket Caller = Site.connect();
  const std::string Text = post("/v1/work/a", "body");
  boost::system::error_code Failed;
  std::size_t Sent = 0;
  while (Site.Figures.counter("callers_too_slow_total") == 0) {
    // The last byte is never sent, so the request stays incomplete.
    if (Sent + 1 < Text.size())
      asio::write(Caller, asio::buffer(&Text[Sent++], 1), Failed);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    Site.run();
  }
  CHECK(Site.Work.Open.empty());
}

TEST_CASE("connections over the limit are turned away with an answer") {
  Hall Site(CallerDoorOptions{.MaxConnections = 2});
  tcp::socket First = Site.connect();
  tcp::socket Second = Site.connect();
  Site.run();
  tcp::socket Third = Site.connect();
  CHECK(Site.readUntil(Third, "queue_full").find("429") != std::string::npos);
}

TEST_CASE("a caller that hangs up cancels its request") {
  Hall Site;
  Site.Work.AnswerAtOnce = false;
  tcp::socket Caller = Site.connect();
  send(Caller, post("/v1/work/a", "one"));
  Site.runUntil([&] { return Site.Work.Open.size() == 1; });
  Caller.close();
  Site.runUntil([&] { return !Site.Work.Cancelled.empty(); });
  CHECK(Site.Work.Cancelled[0] == Site.Work.Open[0].Request.Id);
  CHECK(Site.Figures.counter("callers_hung_up_total") == 1);
}

// Guards against a planned shutdown that interrupts requests in flight: those
// being handled, partly received, or sent on a connection that was idle.
TEST_CASE("a planned stop answers requests running, half read and pipelined") {
  Hall Site;
  Site.Work.AnswerAtOnce = false;
  tcp::socket Running = Site.connect();
  send(Running, post("/v1/work/a", "running"));
  Site.runUntil([&] { return Site.Work.Open.size() == 1; });
  tcp::socket Half = Site.connect();
  const std::string Text = post("/v1/work/a", "half read");
  send(Half, Text.substr(0, Text.size() / 2));
  tcp::socket Idle = Site.connect();
  Site.run();
  const unsigned short Port = Site.Door.port();
  Site.Door.beginDrain();
  send(Half, Text.substr(Text.size() / 2));
  send(Idle, post("/v1/work/a", "idle before"));
  Site.runUntil([&] { return Site.Work.Open.size() == 3; });
  Site.Work.answerAll();
  for (auto &[Socket, Body] :
       std::vector<std::pair<tcp::socket *, std::string>>{
           {&Running, "running"},
           {&Half, "half read"},
           {&Idle, "idle before"}}) {
    const std::string Answer = Site.readUntil(*Socket, "for " + Body);
    CHECK(Answer.find("200 OK") != std::string::npos);
    CHECK(Answer.find("Connection: close") != std::string::npos);
    Socket->close();
  }
  Site.runUntil([&] { return Site.Door.isEmpty(); });
  tcp::socket Late(Site.Io);
  boost::system::error_code Failed;
  Late.connect({asio::ip::make_address("127.0.0.1"), Port}, Failed);
  CHECK(Failed);
}

TEST_CASE("the balancer is told when the daemon stops") {
  Hall Site;
  tcp::socket Caller = Site.connect();
  send(Caller, "GET /readyz HTTP/1.1\r\n\r\n");
  CHECK(Site.readUntil(Caller, "ready\n").find("200") != std::string::npos);
  Site.Door.beginDrain();
  send(Caller, "GET /readyz HTTP/1.1\r\n\r\n");
  CHECK(Site.readUntil(Caller, "ready\n").find("503") != std::string::npos);
}
