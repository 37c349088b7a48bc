/// \file
/// Stand-in for an upstream VM: runs work by docs/UPSTREAM.md for as long as
/// the body says, and misbehaves by request.

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

constexpr std::size_t KeptRuns = 200000;

/// One run of one piece of work.
struct Run {
  std::string Work;
  std::string Team;
  std::int64_t StartUs = 0;
  std::int64_t EndUs = 0;
};

std::int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

/// Reads "name=value" out of a body of such words.
std::string wordOf(const std::string &Body, const std::string &Name) {
  const std::size_t At = Body.find(Name + "=");
  if (At == std::string::npos)
    return "";
  const std::size_t From = At + Name.size() + 1;
  return Body.substr(From, Body.find(' ', From) - From);
}

/// State of the VM, shared by its connections.
struct Worker {
  unsigned Slots = 8;
  std::mutex Guard;
  std::condition_variable Changed;
  std::string Mode = "normal";
  std::set<std::string> Cancelled;
  std::vector<Run> Runs;
  std::set<tcp::socket *> Sockets;
  unsigned Running = 0;
  unsigned MaxRunning = 0;
  unsigned Connections = 0;
  unsigned MaxConnections = 0;
  unsigned CutOff = 0;
  std::uint64_t BootNumber = 0;
  Clock::time_point DownUntil{};
  std::string LastAnswer = "nothing yet";

  bool isDown() {
    std::scoped_lock Lock(this->Guard);
    return Clock::now() < this->DownUntil;
  }
};

using Request = http::request<http::string_body>;
using Reply = http::response<http::string_body>;

Reply makeReply(const Request &Asked, http::status Status, std::string Body) {
  Reply Made(Status, 11);
  Made.set("Sardinerill-Request-Id", Asked["Sardinerill-Request-Id"]);
  Made.set(http::field::content_type, "text/plain");
  Made.keep_alive(Asked.keep_alive());
  Made.body() = std::move(Body);
  Made.prepare_payload();
  return Made;
}

json statsOf(Worker &Vm) {
  std::scoped_lock Lock(Vm.Guard);
  json Runs = json::array();
  for (const Run &Each : Vm.Runs)
    Runs.push_back({Each.Work, Each.Team, Each.StartUs, Each.EndUs});
  return json{{"maxRunning", Vm.MaxRunning},
              {"maxConnections", Vm.MaxConnections},
              {"cutOff", Vm.CutOff},
              {"runs", Runs}};
}

void reboot(Worker &Vm, unsigned Ms) {
  std::scoped_lock Lock(Vm.Guard);
  Vm.CutOff += Vm.Running;
  Vm.DownUntil = Clock::now() + std::chrono::milliseconds(Ms);
  ++Vm.BootNumber;
  for (tcp::socket *Each : Vm.Sockets) {
    error_code Ignored;
    Each->shutdown(tcp::socket::shutdown_both, Ignored);
  }
  Vm.Changed.notify_all();
}

Reply control(Worker &Vm, const Request &Asked) {
  const std::string Path(Asked.target());
  if (Path == "/control/mode") {
    std::scoped_lock Lock(Vm.Guard);
    Vm.Mode = Asked.body();
  }
  if (Path == "/control/reboot")
    reboot(Vm, static_cast<unsigned>(std::stoul(Asked.body())));
  if (Path == "/control/stats")
    return makeReply(Asked, http::status::ok, statsOf(Vm).dump());
  if (Path.starts_with("/cancel/")) {
    std::scoped_lock Lock(Vm.Guard);
    Vm.Cancelled.insert(Path.substr(8));
    Vm.Changed.notify_all();
  }
  return makeReply(Asked, http::status::ok, "done");
}

/// Runs the work; \returns the reply, or nothing if the VM rebooted meanwhile.
std::optional<Reply> runWork(Worker &Vm, const Request &Asked) {
  const std::string Id(Asked["Sardinerill-Request-Id"]);
  const std::string RunMs = wordOf(Asked.body(), "run");
  const std::string Limit(Asked["Sardinerill-Run-Limit-Ms"]);
  std::unique_lock Lock(Vm.Guard);
  if (Vm.Mode == "fail")
    return makeReply(Asked, http::status::internal_server_error, "failed");
  if (Vm.Running >= Vm.Slots || Vm.Mode == "busy") {
    Reply Busy = makeReply(Asked, http::status::service_unavailable, "busy");
    Busy.set("Sardinerill-Ran", "no");
    return Busy;
  }
  const std::uint64_t Boot = Vm.BootNumber;
  Vm.MaxRunning = std::max(Vm.MaxRunning, ++Vm.Running);
  const std::size_t Index = Vm.Runs.size();
  if (Index < KeptRuns)
    Vm.Runs.push_back(
        {wordOf(Asked.body(), "id"), wordOf(Asked.body(), "team"), nowUs(), 0});
  long Ms = RunMs.empty() ? 0 : std::stol(RunMs);
  const bool OverLimit = !Limit.empty() && Ms > std::stol(Limit);
  if (OverLimit)
    Ms = std::stol(Limit);
  Vm.Changed.wait_for(Lock, std::chrono::milliseconds(Ms), [&] {
    return Vm.Cancelled.contains(Id) || Vm.BootNumber != Boot;
  });
  if (Index < KeptRuns)
    Vm.Runs[Index].EndUs = nowUs();
  --Vm.Running;
  if (Vm.BootNumber != Boot)
    return std::nullopt;
  if (Vm.Cancelled.erase(Id) > 0)
    return makeReply(Asked, http::status::gone, "cancelled");
  if (OverLimit)
    return makeReply(Asked, http::status::internal_server_error, "run limit");
  const std::string Answer = "answer " + wordOf(Asked.body(), "id");
  const std::string Earlier = std::exchange(Vm.LastAnswer, Answer);
  if (Vm.Mode == "crossed") {
    Reply Crossed = makeReply(Asked, http::status::ok, Earlier);
    Crossed.set("Sardinerill-Request-Id", "another-request");
    return Crossed;
  }
  return makeReply(Asked, http::status::ok, Answer);
}

/// Sends \p Message as the mode has it; \returns false to close.
bool sendReply(Worker &Vm, tcp::socket &Socket, const Reply &Message) {
  std::string Mode;
  {
    std::scoped_lock Lock(Vm.Guard);
    Mode = Vm.Mode;
  }
  error_code Failed;
  if (Mode == "hangup")
    return false;
  if (Mode == "short") {
    std::ostringstream Text;
    Text << Message;
    const std::string Part = Text.str().substr(0, Text.str().size() - 3);
    boost::asio::write(Socket, boost::asio::buffer(Part), Failed);
    return false;
  }
  http::write(Socket, Message, Failed);
  if (Mode == "twice")
    http::write(Socket, Message, Failed);
  return !Failed && Message.keep_alive();
}

void serveConnection(Worker &Vm, tcp::socket &Socket) {
  boost::beast::flat_buffer Buffer;
  for (;;) {
    Request Asked;
    error_code Failed;
    http::read(Socket, Buffer, Asked, Failed);
    if (Failed)
      return;
    const bool IsWork = Asked.target().starts_with("/run/");
    std::optional<Reply> Answer =
        IsWork ? runWork(Vm, Asked) : control(Vm, Asked);
    if (!Answer || !sendReply(Vm, Socket, *Answer))
      return;
  }
}

void connectionThread(Worker &Vm, tcp::socket Socket) {
  {
    std::scoped_lock Lock(Vm.Guard);
    Vm.Sockets.insert(&Socket);
    Vm.MaxConnections = std::max(Vm.MaxConnections, ++Vm.Connections);
  }
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  serveConnection(Vm, Socket);
  std::scoped_lock Lock(Vm.Guard);
  Vm.Sockets.erase(&Socket);
  --Vm.Connections;
}

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("upstream stand-in", ' ', "0.1.0");
  TCLAP::ValueArg<unsigned short> Port("p", "port", "port on 127.0.0.1", true,
                                       0, "port", Line);
  TCLAP::ValueArg<unsigned> Slots("", "slots", "tasks run at once", false, 8,
                                  "count", Line);
  Line.parse(Count, Arguments);
  Worker Vm;
  Vm.Slots = Slots.getValue();
  boost::asio::io_context Io;
  tcp::acceptor Acceptor(
      Io, {boost::asio::ip::make_address("127.0.0.1"), Port.getValue()});
  for (;;) {
    tcp::socket Socket = Acceptor.accept();
    if (Vm.isDown())
      continue;
    std::thread(connectionThread, std::ref(Vm), std::move(Socket)).detach();
  }
}
