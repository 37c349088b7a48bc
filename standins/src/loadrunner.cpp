#include "loadtypes.h"

#include <utility>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace loadtool {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

namespace {

constexpr auto AnswerTimeout = std::chrono::seconds(40);

/// One caller with a kept connection.
class Caller {
public:
  Caller(const LoadOptions &Options, std::size_t First)
      : Options(Options), Entry(First % Options.Entries.size()) {}

  Sample send(std::size_t Stream, const std::string &Id) {
    Sample Seen;
    Seen.Id = Id;
    Seen.Stream = Stream;
    const auto Start = Clock::now();
    // As a balancer would: the next entry where one can't be reached.
    for (std::size_t Try = 0; Try < this->Options.Entries.size(); ++Try) {
      if (!this->connect()) {
        this->moveOn();
        continue;
      }
      if (this->exchange(Stream, Seen))
        break;
      Seen.CutOffBy = this->Options.Entries[this->Entry].name();
      this->moveOn();
      break;
    }
    Seen.Ms =
        std::chrono::duration<double, std::milli>(Clock::now() - Start).count();
    return Seen;
  }

private:
  void moveOn() {
    this->Connection.reset();
    this->Entry = (this->Entry + 1) % this->Options.Entries.size();
  }

  bool connect() {
    if (this->Connection && this->isOpen())
      return true;
    this->Connection.emplace(this->Io);
    this->Buffer.clear();
    const Target &Where = this->Options.Entries[this->Entry];
    error_code Failed;
    this->Connection->connect(
        tcp::endpoint(boost::asio::ip::make_address(Where.Address),
                      static_cast<unsigned short>(std::stoul(Where.Port))),
        Failed);
    if (Failed)
      return false;
    this->Connection->set_option(tcp::no_delay(true), Failed);
    const timeval Limit{AnswerTimeout.count(), 0};
    setsockopt(this->Connection->native_handle(), SOL_SOCKET, SO_RCVTIMEO,
               &Limit, sizeof Limit);
    return true;
  }

  bool isOpen() {
    char Byte = 0;
    const auto Got = recv(this->Connection->native_handle(), &Byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  bool exchange(std::size_t Stream, Sample &Seen) {
    const StreamSpec &Spec = this->Options.Streams[Stream];
    http::request<http::string_body> Message(
        http::verb::post, this->Options.PathPrefix + Spec.Class, 11);
    Message.set(http::field::host, "localhost");
    Message.set("Sardinerill-Request-Id", Seen.Id);
    if (!Spec.Key.empty())
      Message.set(http::field::authorization, "Bearer " + Spec.Key);
    if (!Spec.Idempotent)
      Message.set("Idempotency-Key", Seen.Id);
    Message.body() = "id=" + Seen.Id + " team=" + Spec.Team +
                     " run=" + std::to_string(Spec.RunMs);
    Message.prepare_payload();
    error_code Failed;
    http::write(*this->Connection, Message, Failed);
    if (Failed)
      return false;
    http::response<http::string_body> Answer;
    http::read(*this->Connection, this->Buffer, Answer, Failed);
    if (Failed)
      return false;
    this->judge(Answer, Seen);
    if (!Answer.keep_alive())
      this->Connection.reset();
    return true;
  }

  static void judge(const http::response<http::string_body> &Answer,
                    Sample &Seen) {
    Seen.Status = Answer.result_int();
    if (Seen.Status == 200) {
      Seen.WrongAnswer = Answer.body() != "answer " + Seen.Id;
      return;
    }
    const json Problem = json::parse(Answer.body(), nullptr, false);
    if (!Problem.is_object())
      return;
    Seen.Kind = Problem.value("kind", "");
    Seen.Ran = Problem.value("ran", "");
  }

  const LoadOptions &Options;
  std::size_t Entry;
  boost::asio::io_context Io;
  std::optional<tcp::socket> Connection;
  beast::flat_buffer Buffer;
};

/// Collects samples of all threads.
struct Collector {
  std::mutex Guard;
  std::vector<Sample> Samples;
};

void runThread(const LoadOptions &Options, std::size_t Stream, unsigned Thread,
               Collector &All) {
  const StreamSpec &Spec = Options.Streams[Stream];
  const double PerThread = Spec.RatePerSecond / Options.ThreadsPerStream;
  const auto Gap = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1.0 / PerThread));
  const auto Start = Clock::now();
  const auto End = Start + std::chrono::duration_cast<Clock::duration>(
                               std::chrono::duration<double>(Options.Seconds));
  auto Next = Start + Gap * Thread / Options.ThreadsPerStream;
  Caller Self(Options, Stream + Thread);
  std::vector<Sample> Mine;
  for (unsigned Number = 0; Next < End; ++Number, Next += Gap) {
    std::this_thread::sleep_until(Next);
    Mine.push_back(Self.send(Stream, Spec.Team + "-" + Spec.Class + "-" +
                                         std::to_string(Thread) + "-" +
                                         std::to_string(Number)));
    // A caller that waits for answers sends no faster than they come.
    Next = std::max(Next, Clock::now() - Gap);
  }
  std::scoped_lock Lock(All.Guard);
  All.Samples.insert(All.Samples.end(), Mine.begin(), Mine.end());
}

} // namespace

std::vector<Sample> runLoad(const LoadOptions &Options) {
  Collector All;
  std::vector<std::thread> Threads;
  for (std::size_t Stream = 0; Stream < Options.Streams.size(); ++Stream)
    for (unsigned Thread = 0; Thread < Options.ThreadsPerStream; ++Thread)
      Threads.emplace_back(runThread, std::cref(Options), Stream, Thread,
                           std::ref(All));
  for (std::thread &Each : Threads)
    Each.join();
  return std::move(All.Samples);
}

UpstreamStats fetchStats(const std::vector<Target> &Upstreams) {
  UpstreamStats All;
  for (const Target &Where : Upstreams) {
    boost::asio::io_context Io;
    tcp::socket Connection(Io);
    Connection.connect(
        tcp::endpoint(boost::asio::ip::make_address(Where.Address),
                      static_cast<unsigned short>(std::stoul(Where.Port))));
    http::request<http::string_body> Ask(http::verb::get, "/control/stats", 11);
    http::write(Connection, Ask);
    beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    http::read(Connection, Buffer, Parser);
    const json Stats = json::parse(Parser.get().body());
    for (const json &Each : Stats["runs"])
      All.Runs.push_back({Each[0], Each[1], Each[2], Each[3]});
    All.MaxRunning =
        std::max(All.MaxRunning, Stats["maxRunning"].get<unsigned>());
    All.MaxConnections =
        std::max(All.MaxConnections, Stats["maxConnections"].get<unsigned>());
    All.CutOff += Stats["cutOff"].get<unsigned>();
  }
  return All;
}

} // namespace loadtool
