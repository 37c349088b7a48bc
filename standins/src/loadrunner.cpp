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

constexpr auto ResponseTimeout = std::chrono::seconds(40);

/// A caller that keeps its connection open between requests.
class Caller {
public:
  Caller(const LoadOptions &Options, std::size_t FirstEntry)
      : Options(Options), EntryIndex(FirstEntry % Options.Entries.size()) {}

  RequestResult send(std::size_t StreamIndex, const std::string &Id) {
    RequestResult Result;
    Result.Id = Id;
    Result.StreamIndex = StreamIndex;
    const auto Start = Clock::now();
    // Tries the next entry if one can't be reached, as a load balancer does. A
    // request that was sent is not repeated.
    for (std::size_t Attempt = 0; Attempt < this->Options.Entries.size();
         ++Attempt) {
      if (!this->connect()) {
        this->useNextEntry();
        continue;
      }
      if (this->sendAndReceive(StreamIndex, Result))
        break;
      Result.DisconnectedEntry =
          this->Options.Entries[this->EntryIndex].toString();
      this->useNextEntry();
      break;
    }
    Result.LatencyMs =
        std::chrono::duration<double, std::milli>(Clock::now() - Start).count();
    return Result;
  }

private:
  void useNextEntry() {
    this->Connection.reset();
    this->EntryIndex = (this->EntryIndex + 1) % this->Options.Entries.size();
  }

  bool connect() {
    if (this->Connection && this->isOpen())
      return true;
    this->Connection.emplace(this->Io);
    this->Buffer.clear();
    const Endpoint &Remote = this->Options.Entries[this->EntryIndex];
    error_code Error;
    this->Connection->connect(
        tcp::endpoint(boost::asio::ip::make_address(Remote.Address),
                      static_cast<unsigned short>(std::stoul(Remote.Port))),
        Error);
    if (Error)
      return false;
    this->Connection->set_option(tcp::no_delay(true), Error);
    const timeval Timeout{ResponseTimeout.count(), 0};
    setsockopt(this->Connection->native_handle(), SOL_SOCKET, SO_RCVTIMEO,
               &Timeout, sizeof Timeout);
    return true;
  }

  /// \returns whether the peer has neither closed the connection nor sent data
  /// that was not requested.
  bool isOpen() {
    char Byte = 0;
    const auto Received = recv(this->Connection->native_handle(), &Byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
    return Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  bool sendAndReceive(std::size_t StreamIndex, RequestResult &Result) {
    const StreamSpec &Spec = this->Options.Streams[StreamIndex];
    http::request<http::string_body> Request(
        http::verb::post, this->Options.PathPrefix + Spec.Class, 11);
    Request.set(http::field::host, "localhost");
    Request.set("Sardinerill-Request-Id", Result.Id);
    if (!Spec.Key.empty())
      Request.set(http::field::authorization, "Bearer " + Spec.Key);
    if (!Spec.Idempotent)
      Request.set("Idempotency-Key", Result.Id);
    Request.body() = "id=" + Result.Id + " team=" + Spec.Team +
                     " run=" + std::to_string(Spec.RunMs);
    Request.prepare_payload();
    error_code Error;
    http::write(*this->Connection, Request, Error);
    if (Error)
      return false;
    http::response<http::string_body> Response;
    http::read(*this->Connection, this->Buffer, Response, Error);
    if (Error)
      return false;
    this->evaluateResponse(Response, Result);
    if (!Response.keep_alive())
      this->Connection.reset();
    return true;
  }

  static void
  evaluateResponse(const http::response<http::string_body> &Response,
                   RequestResult &Result) {
    Result.HttpStatus = Response.result_int();
    if (Result.HttpStatus == 200) {
      Result.WrongResponse = Response.body() != "answer " + Result.Id;
      return;
    }
    const json ErrorBody = json::parse(Response.body(), nullptr, false);
    if (!ErrorBody.is_object())
      return;
    Result.ErrorKind = ErrorBody.value("kind", "");
    Result.Execution = ErrorBody.value("ran", "");
  }

  const LoadOptions &Options;
  std::size_t EntryIndex;
  boost::asio::io_context Io;
  std::optional<tcp::socket> Connection;
  beast::flat_buffer Buffer;
};

/// Collects the results of all threads.
struct ResultCollector {
  std::mutex Mutex;
  std::vector<RequestResult> Results;
};

void runThread(const LoadOptions &Options, std::size_t StreamIndex,
               unsigned ThreadIndex, ResultCollector &Collector) {
  const StreamSpec &Spec = Options.Streams[StreamIndex];
  const double ThreadRate = Spec.RatePerSecond / Options.ThreadsPerStream;
  const auto Interval = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1.0 / ThreadRate));
  const auto Start = Clock::now();
  const auto End = Start + std::chrono::duration_cast<Clock::duration>(
                               std::chrono::duration<double>(Options.Seconds));
  auto NextSend = Start + Interval * ThreadIndex / Options.ThreadsPerStream;
  Caller Sender(Options, StreamIndex + ThreadIndex);
  std::vector<RequestResult> ThreadResults;
  for (unsigned Sequence = 0; NextSend < End;
       ++Sequence, NextSend += Interval) {
    std::this_thread::sleep_until(NextSend);
    ThreadResults.push_back(
        Sender.send(StreamIndex, Spec.Team + "-" + Spec.Class + "-" +
                                     std::to_string(ThreadIndex) + "-" +
                                     std::to_string(Sequence)));
    // A caller sends no faster than responses arrive: sends missed while
    // waiting for a response are not made up for.
    NextSend = std::max(NextSend, Clock::now() - Interval);
  }
  std::scoped_lock Lock(Collector.Mutex);
  Collector.Results.insert(Collector.Results.end(), ThreadResults.begin(),
                           ThreadResults.end());
}

} // namespace

std::vector<RequestResult> runLoad(const LoadOptions &Options) {
  ResultCollector Collector;
  std::vector<std::thread> Threads;
  for (std::size_t StreamIndex = 0; StreamIndex < Options.Streams.size();
       ++StreamIndex)
    for (unsigned ThreadIndex = 0; ThreadIndex < Options.ThreadsPerStream;
         ++ThreadIndex)
      Threads.emplace_back(runThread, std::cref(Options), StreamIndex,
                           ThreadIndex, std::ref(Collector));
  for (std::thread &Worker : Threads)
    Worker.join();
  return std::move(Collector.Results);
}

UpstreamStats fetchStats(const std::vector<Endpoint> &Upstreams) {
  UpstreamStats Total;
  for (const Endpoint &Upstream : Upstreams) {
    boost::asio::io_context Io;
    tcp::socket Connection(Io);
    Connection.connect(
        tcp::endpoint(boost::asio::ip::make_address(Upstream.Address),
                      static_cast<unsigned short>(std::stoul(Upstream.Port))));
    http::request<http::string_body> Request(http::verb::get, "/control/stats",
                                             11);
    http::write(Connection, Request);
    beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    http::read(Connection, Buffer, Parser);
    const json StatsJson = json::parse(Parser.get().body());
    for (const json &Run : StatsJson["runs"])
      Total.Runs.push_back({Run[0], Run[1], Run[2], Run[3]});
    Total.MaxRunning =
        std::max(Total.MaxRunning, StatsJson["maxRunning"].get<unsigned>());
    Total.MaxConnections = std::max(
        Total.MaxConnections, StatsJson["maxConnections"].get<unsigned>());
    Total.InterruptedRuns += StatsJson["cutOff"].get<unsigned>();
  }
  return Total;
}

} // namespace loadtool
