/// \file
/// Stand-in for an upstream VM: serves the protocol of docs/UPSTREAM.md. A run
/// takes as long as its request body says; faults are injected on request.

#include <utility>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <tclap/CmdLine.h>
#include <thread>

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

namespace {

/// Runs beyond this number are executed but not recorded, which bounds memory.
constexpr std::size_t MaxRecordedRuns = 200000;

/// Record of one run.
struct RunRecord {
  std::string RequestId;
  std::string Team;
  std::int64_t StartUs = 0;
  std::int64_t EndUs = 0;
};

std::int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

/// \returns the value of \p Name in a body of "name=value" fields separated by
/// spaces; empty if the field is missing.
std::string bodyField(const std::string &Body, const std::string &Name) {
  const std::size_t Start = Body.find(Name + "=");
  if (Start == std::string::npos)
    return "";
  const std::size_t ValueStart = Start + Name.size() + 1;
  return Body.substr(ValueStart, Body.find(' ', ValueStart) - ValueStart);
}

/// State of the upstream VM, shared by the threads of its connections.
struct UpstreamState {
  unsigned Slots = 8;
  std::mutex Mutex;
  std::condition_variable StateChanged;
  /// Set by /control/mode: "normal"; "fail" (error responses); "busy" (refuses
  /// runs); "crossed" (responds with the previous response and a wrong id);
  /// "hangup" (closes instead of responding); "short" (truncated responses);
  /// "twice" (sends each response twice).
  std::string Mode = "normal";
  std::set<std::string> CancelledIds;
  std::vector<RunRecord> Runs;
  std::set<tcp::socket *> Sockets;
  unsigned Running = 0;
  unsigned MaxRunning = 0;
  unsigned OpenConnections = 0;
  unsigned MaxConnections = 0;
  unsigned InterruptedRuns = 0;
  std::uint64_t BootCount = 0;
  Clock::time_point DownUntil{};
  std::string LastResponseBody = "nothing yet";

  bool isDown() {
    std::scoped_lock Lock(this->Mutex);
    return Clock::now() < this->DownUntil;
  }
};

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

HttpResponse makeResponse(const HttpRequest &Request, http::status Status,
                          std::string Body) {
  HttpResponse Response(Status, 11);
  Response.set("Sardinerill-Request-Id", Request["Sardinerill-Request-Id"]);
  Response.set(http::field::content_type, "text/plain");
  Response.keep_alive(Request.keep_alive());
  Response.body() = std::move(Body);
  Response.prepare_payload();
  return Response;
}

json encodeStats(UpstreamState &State) {
  std::scoped_lock Lock(State.Mutex);
  json Runs = json::array();
  for (const RunRecord &Record : State.Runs)
    Runs.push_back(
        {Record.RequestId, Record.Team, Record.StartUs, Record.EndUs});
  return json{{"maxRunning", State.MaxRunning},
              {"maxConnections", State.MaxConnections},
              {"cutOff", State.InterruptedRuns},
              {"runs", Runs}};
}

void reboot(UpstreamState &State, unsigned DurationMs) {
  std::scoped_lock Lock(State.Mutex);
  State.InterruptedRuns += State.Running;
  State.DownUntil = Clock::now() + std::chrono::milliseconds(DurationMs);
  ++State.BootCount;
  for (tcp::socket *Socket : State.Sockets) {
    error_code Ignored;
    Socket->shutdown(tcp::socket::shutdown_both, Ignored);
  }
  State.StateChanged.notify_all();
}

HttpResponse handleControl(UpstreamState &State, const HttpRequest &Request) {
  const std::string Path(Request.target());
  if (Path == "/control/mode") {
    std::scoped_lock Lock(State.Mutex);
    State.Mode = Request.body();
  }
  if (Path == "/control/reboot")
    reboot(State, static_cast<unsigned>(std::stoul(Request.body())));
  if (Path == "/control/stats")
    return makeResponse(Request, http::status::ok, encodeStats(State).dump());
  if (Path.starts_with("/cancel/")) {
    std::scoped_lock Lock(State.Mutex);
    State.CancelledIds.insert(Path.substr(8));
    State.StateChanged.notify_all();
  }
  return makeResponse(Request, http::status::ok, "done");
}

/// Executes a run. \returns the response, or nothing if the VM was rebooted
/// during the run.
std::optional<HttpResponse> handleRun(UpstreamState &State,
                                      const HttpRequest &Request) {
  const std::string Id(Request["Sardinerill-Request-Id"]);
  const std::string RequestedMs = bodyField(Request.body(), "run");
  const std::string LimitMs(Request["Sardinerill-Run-Limit-Ms"]);
  std::unique_lock Lock(State.Mutex);
  if (State.Mode == "fail")
    return makeResponse(Request, http::status::internal_server_error, "failed");
  if (State.Running >= State.Slots || State.Mode == "busy") {
    HttpResponse Busy =
        makeResponse(Request, http::status::service_unavailable, "busy");
    Busy.set("Sardinerill-Ran", "no");
    return Busy;
  }
  const std::uint64_t BootAtStart = State.BootCount;
  State.MaxRunning = std::max(State.MaxRunning, ++State.Running);
  const std::size_t Index = State.Runs.size();
  if (Index < MaxRecordedRuns)
    State.Runs.push_back({bodyField(Request.body(), "id"),
                          bodyField(Request.body(), "team"), nowUs(), 0});
  long DurationMs = RequestedMs.empty() ? 0 : std::stol(RequestedMs);
  const bool OverLimit = !LimitMs.empty() && DurationMs > std::stol(LimitMs);
  if (OverLimit)
    DurationMs = std::stol(LimitMs);
  State.StateChanged.wait_for(Lock, std::chrono::milliseconds(DurationMs), [&] {
    return State.CancelledIds.contains(Id) || State.BootCount != BootAtStart;
  });
  if (Index < MaxRecordedRuns)
    State.Runs[Index].EndUs = nowUs();
  --State.Running;
  if (State.BootCount != BootAtStart)
    return std::nullopt;
  if (State.CancelledIds.erase(Id) > 0)
    return makeResponse(Request, http::status::gone, "cancelled");
  if (OverLimit)
    return makeResponse(Request, http::status::internal_server_error,
                        "run limit");
  const std::string Body = "answer " + bodyField(Request.body(), "id");
  const std::string PreviousBody = std::exchange(State.LastResponseBody, Body);
  if (State.Mode == "crossed") {
    HttpResponse Crossed =
        makeResponse(Request, http::status::ok, PreviousBody);
    Crossed.set("Sardinerill-Request-Id", "another-request");
    return Crossed;
  }
  return makeResponse(Request, http::status::ok, Body);
}

/// Sends \p Response, altered as the mode requires. \returns false if the
/// connection is to be closed.
bool sendResponse(UpstreamState &State, tcp::socket &Socket,
                  const HttpResponse &Response) {
  std::string Mode;
  {
    std::scoped_lock Lock(State.Mutex);
    Mode = State.Mode;
  }
  error_code Error;
  if (Mode == "hangup")
    return false;
  if (Mode == "short") {
    std::ostringstream Text;
    Text << Response;
    const std::string Truncated = Text.str().substr(0, Text.str().size() - 3);
    boost::asio::write(Socket, boost::asio::buffer(Truncated), Error);
    return false;
  }
  http::write(Socket, Response, Error);
  if (Mode == "twice")
    http::write(Socket, Response, Error);
  return !Error && Response.keep_alive();
}

void serveConnection(UpstreamState &State, tcp::socket &Socket) {
  boost::beast::flat_buffer Buffer;
  for (;;) {
    HttpRequest Request;
    error_code Error;
    http::read(Socket, Buffer, Request, Error);
    if (Error)
      return;
    const bool IsRun = Request.target().starts_with("/run/");
    std::optional<HttpResponse> Response =
        IsRun ? handleRun(State, Request) : handleControl(State, Request);
    if (!Response || !sendResponse(State, Socket, *Response))
      return;
  }
}

void connectionThread(UpstreamState &State, tcp::socket Socket) {
  {
    std::scoped_lock Lock(State.Mutex);
    State.Sockets.insert(&Socket);
    State.MaxConnections =
        std::max(State.MaxConnections, ++State.OpenConnections);
  }
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  serveConnection(State, Socket);
  std::scoped_lock Lock(State.Mutex);
  State.Sockets.erase(&Socket);
  --State.OpenConnections;
}

} // namespace

int main(int ArgCount, char **Args) {
  TCLAP::CmdLine CommandLine("upstream stand-in", ' ', "0.1.0");
  TCLAP::ValueArg<unsigned short> Port("p", "port", "port on 127.0.0.1", true,
                                       0, "port", CommandLine);
  TCLAP::ValueArg<unsigned> Slots("", "slots",
                                  "maximum number of concurrent runs", false, 8,
                                  "count", CommandLine);
  CommandLine.parse(ArgCount, Args);
  UpstreamState State;
  State.Slots = Slots.getValue();
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(
      Io, {boost::asio::ip::make_address("127.0.0.1"), Port.getValue()});
  for (;;) {
    tcp::socket Socket = Acceptor.accept();
    if (State.isDown())
      continue;
    std::thread(connectionThread, std::ref(State), std::move(Socket)).detach();
  }
}
