#include "peerdoor.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace sardinerill::site {

namespace {

constexpr std::string_view AlivePath = "/alive";
constexpr std::string_view ReleasedPath = "/released";
constexpr std::string_view ChangePath = "/changes";
constexpr std::string_view JobPath = "/jobs/";
constexpr std::string_view QueuePath = "/queues/";
constexpr std::string_view RelayPath = "/relay/";
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view DirectoryTable = "daemons";
constexpr std::string_view DirectoryPartition = "d";
/// Intervals between reads of the list of daemons: shortly after the start,
/// when it may still grow, and later.
constexpr milliseconds FirstLooks{600};
constexpr seconds LaterLooks{6};
constexpr int CountOfFirstLooks = 4;
constexpr milliseconds CallLimit{900};
constexpr milliseconds RetryPause{300};
/// A peer that is stronger by this factor should become the holder instead.
constexpr double MuchStronger = 1.5;

HttpRequest plain(std::string_view Method, std::string Target) {
  return {.Method = std::string(Method), .Target = std::move(Target)};
}

std::optional<int> numberIn(const std::string &Text) {
  int Value = 0;
  auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Fault != std::errc() || End == Text.data())
    return std::nullopt;
  return Value;
}

} // namespace

HttpRequest aliveRequest() { return plain("GET", std::string(AlivePath)); }

HttpRequest releasedRequest() {
  return plain("POST", std::string(ReleasedPath));
}

HolderClient::HolderClient(boost::asio::any_io_executor Executor,
                           Endpoint Where)
    : Http(Executor, {.Peer = std::move(Where), .KeptConnections = 4}) {}

Async<Result<JobState>> HolderClient::stateOf(JobId Job, Duration Limit) {
  const auto Answer = co_await this->Http.call(
      plain("GET", std::string(JobPath) + Job.str()), Limit);
  if (Answer && Answer->Status == 404)
    co_return makeError(ErrorKind::JobNotFound, "not known to the holder");
  const auto State =
      Answer && Answer->Status == 200 ? numberIn(Answer->Body) : std::nullopt;
  if (!State || *State < 0 || *State > int(JobState::Cancelled))
    co_return makeError(ErrorKind::PlatformUnavailable,
                        "the holder can't be asked");
  co_return static_cast<JobState>(*State);
}

Async<Result<int>> HolderClient::pendingJobs(QueueId Queue, Duration Limit) {
  const auto Answer = co_await this->Http.call(
      plain("GET", std::string(QueuePath) + Queue.str()), Limit);
  const auto Count =
      Answer && Answer->Status == 200 ? numberIn(Answer->Body) : std::nullopt;
  if (!Count)
    co_return makeError(ErrorKind::PlatformUnavailable,
                        "the holder can't be asked", milliseconds(1000));
  co_return *Count;
}

Async<void> HolderClient::tell(std::string Change, Duration Limit) {
  HttpRequest Notice = plain("POST", std::string(ChangePath));
  Notice.Body = std::move(Change);
  co_await this->Http.call(std::move(Notice), Limit);
}

Async<HttpResponse> answerPeer(const PeerDoorParts &Parts,
                               HttpRequest Request) {
  const std::string_view Target = Request.Target;
  if (Target == AlivePath)
    co_return HttpResponse{.Status = 200, .Body = Parts.Incarnation};
  if (Target == ReleasedPath) {
    Parts.OwnershipReleased();
    co_return HttpResponse{.Status = 200};
  }
  if (Target == ChangePath) {
    const auto Change = decodeChange(Request.Body);
    if (!Change)
      co_return HttpResponse{.Status = 400};
    Parts.Hear(*Change);
    co_return HttpResponse{.Status = 200};
  }
  if (Target.starts_with(RelayPath))
    co_return co_await Parts.Store.relay(std::move(Request));
  if (Target == MetricsPath)
    co_return HttpResponse{.Status = 200, .Body = Parts.Figures()};
  if (!Target.starts_with(JobPath) && !Target.starts_with(QueuePath))
    co_return HttpResponse{.Status = 404};
  if (!Parts.Holds())
    co_return HttpResponse{.Status = 503};
  if (Target.starts_with(QueuePath)) {
    const QueueId Queue(std::string(Target.substr(QueuePath.size())));
    co_return HttpResponse{.Status = 200,
                           .Body = std::to_string(Parts.PendingJobs(Queue))};
  }
  const auto State =
      Parts.StateOf(JobId(std::string(Target.substr(JobPath.size()))));
  if (!State)
    co_return HttpResponse{.Status = 404};
  co_return HttpResponse{.Status = 200,
                         .Body = std::to_string(static_cast<int>(*State))};
}

Async<bool> PeerDirectory::registerSelf() {
  Transaction Change;
  Change.Writes.push_back(
      {{std::string(DirectoryTable), std::string(DirectoryPartition),
        this->Name},
       this->Own.str() + " " + std::to_string(this->Strength)});
  const auto Outcome =
      co_await this->Store.transact(std::move(Change), CallLimit);
  co_return Outcome && Outcome->Applied;
}

Async<void> PeerDirectory::refresh() {
  const auto Page = co_await readAll(
      this->Store,
      {std::string(DirectoryTable), std::string(DirectoryPartition), "", ""},
      CallLimit);
  if (!Page)
    co_return;
  std::vector<Endpoint> Found;
  this->Stronger = 0;
  ++this->Looks;
  for (const Row &Read : Page->Rows) {
    std::istringstream Fields(Read.Value);
    std::string Address;
    double Theirs = 0;
    Fields >> Address >> Theirs;
    const Endpoint Where = Endpoint::parse(Address);
    if (!Where.valid() || Where == this->Own)
      continue;
    Found.push_back(Where);
    this->Stronger += Theirs > MuchStronger * this->Strength;
  }
  // Each daemon starts at a different position of the list, so that relayed
  // calls are spread over all peers.
  if (!Found.empty())
    std::ranges::rotate(
        Found,
        Found.begin() + std::ptrdiff_t(std::hash<std::string>()(this->Name) %
                                       Found.size()));
  this->Peers = std::move(Found);
  this->Store.setRelays(this->Peers);
}

Async<void> PeerDirectory::run() {
  while (!co_await this->registerSelf())
    co_await pauseFor(RetryPause);
  for (int Look = 0;; ++Look) {
    co_await this->refresh();
    co_await pauseFor(Look < CountOfFirstLooks ? Duration(FirstLooks)
                                               : Duration(LaterLooks));
  }
}

} // namespace sardinerill::site
