#include "peerapi.h"

#include "sardinerill/base/logging.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace sardinerill::site {

namespace {

constexpr std::string_view AlivePath = "/alive";
constexpr std::string_view ConfigurationPath = "/configuration";
constexpr std::string_view OperatorRowsPath = "/operator-rows";
constexpr std::string_view EvacuationsPath = "/evacuations";
constexpr std::string_view ReleasedPath = "/released";
constexpr std::string_view ChangePath = "/changes";
constexpr std::string_view JobPath = "/jobs/";
constexpr std::string_view QueuePath = "/queues/";
constexpr std::string_view RelayPath = "/relay/";
constexpr std::string_view MetricsPath = "/metrics";
/// Header of all answers; see announcedConfigurationVersion().
constexpr std::string_view VersionHeader = "Configuration-Version";
constexpr std::string_view DirectoryTable = "daemons";
constexpr std::string_view DirectoryPartition = "d";
/// Interval between the first reads of the list of daemons, while others may
/// still be registering.
constexpr milliseconds FirstRefreshInterval{600};
/// Interval between later reads.
constexpr seconds LaterRefreshInterval{6};
/// Number of pauses of FirstRefreshInterval.
constexpr int FirstRefreshCount = 4;
constexpr milliseconds CallTimeout{900};
constexpr milliseconds RetryPause{300};
/// This daemon lets peers with more than this many times its capacity claim
/// ownership first.
constexpr double MinCapacityRatio = 1.5;

HttpRequest makeRequest(std::string_view Method, std::string Target) {
  return {.Method = std::string(Method), .Target = std::move(Target)};
}

std::optional<int> parseNumber(const std::string &Text) {
  int Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End == Text.data())
    return std::nullopt;
  return Value;
}

} // namespace

HttpRequest aliveRequest() {
  return makeRequest("GET", std::string(AlivePath));
}

HttpRequest configurationVersionRequest() {
  return makeRequest("GET", std::string(ConfigurationPath));
}

HttpRequest operatorRowsRequest(const ConfigurationDigest &Digest) {
  HttpRequest Request = makeRequest("POST", std::string(OperatorRowsPath));
  Request.Body = encodeDigest(Digest);
  return Request;
}

HttpRequest evacuationsRequest() {
  return makeRequest("GET", std::string(EvacuationsPath));
}

std::optional<std::int64_t>
decodeConfigurationVersion(const HttpResponse &Answer) {
  std::int64_t Version = 0;
  const char *const TextEnd = Answer.Body.data() + Answer.Body.size();
  const auto [End, Error] =
      std::from_chars(Answer.Body.data(), TextEnd, Version);
  const bool Valid = Answer.Status == 200 && Error == std::errc() &&
                     End == TextEnd && Version >= 0;
  return Valid ? std::optional(Version) : std::nullopt;
}

std::string announcedConfigurationVersion(const HttpResponse &Answer) {
  return HttpRequest{.Headers = Answer.Headers}.header(VersionHeader);
}

HttpRequest handoverRequest() {
  return makeRequest("POST", std::string(ReleasedPath));
}

HolderClient::HolderClient(boost::asio::any_io_executor Executor, Endpoint Peer,
                           PeerAnswerObserver OnAnswer)
    : Http(Executor, {.Peer = std::move(Peer), .MaxIdleConnections = 4}),
      OnAnswer(std::move(OnAnswer)) {}

Async<tl::expected<HttpResponse, HttpCallError>>
HolderClient::call(HttpRequest Request, Duration Timeout) {
  auto Answer = co_await this->Http.call(std::move(Request), Timeout);
  if (Answer && this->OnAnswer)
    this->OnAnswer(this->Http.peer(), *Answer);
  co_return Answer;
}

Async<Result<JobState>> HolderClient::stateOf(JobId Job, Duration Timeout) {
  const auto Answer = co_await this->call(
      makeRequest("GET", std::string(JobPath) + Job.str()), Timeout);
  if (Answer && Answer->Status == 404)
    co_return makeError(ErrorKind::JobNotFound,
                        "the holder does not have the job");
  const auto State = Answer && Answer->Status == 200 ? parseNumber(Answer->Body)
                                                     : std::nullopt;
  if (!State || *State < 0 || *State > int(JobState::Cancelled))
    co_return makeError(ErrorKind::PlatformUnavailable,
                        "the holder gave no valid answer");
  co_return static_cast<JobState>(*State);
}

Async<Result<int>> HolderClient::pendingJobs(QueueId Queue, Duration Timeout) {
  const auto Answer = co_await this->call(
      makeRequest("GET", std::string(QueuePath) + Queue.str()), Timeout);
  const auto Count = Answer && Answer->Status == 200 ? parseNumber(Answer->Body)
                                                     : std::nullopt;
  if (!Count)
    co_return makeError(ErrorKind::PlatformUnavailable,
                        "the holder gave no valid answer", milliseconds(1000));
  co_return *Count;
}

Async<std::string> HolderClient::notifyChange(std::string Change,
                                              Duration Timeout) {
  HttpRequest Notice = makeRequest("POST", std::string(ChangePath));
  Notice.Body = std::move(Change);
  auto Answer = co_await this->call(std::move(Notice), Timeout);
  co_return Answer && Answer->Status == 200 ? std::move(Answer->Body)
                                            : std::string();
}

namespace {

Async<HttpResponse> answerPeerRequest(const PeerApiDeps &Deps,
                                      HttpRequest Request) {
  const std::string_view Target = Request.Target;
  if (Target == AlivePath)
    co_return HttpResponse{.Status = 200, .Body = Deps.Incarnation};
  if (Target == ConfigurationPath)
    co_return HttpResponse{.Status = 200,
                           .Body = std::to_string(Deps.ConfigurationVersion())};
  if (Target == OperatorRowsPath) {
    const auto Digest = decodeDigest(Request.Body);
    if (!Digest)
      co_return HttpResponse{.Status = 400};
    auto Missing = Deps.MissingOperatorRows(*Digest);
    if (!Missing)
      co_return HttpResponse{.Status = 503};
    co_return HttpResponse{.Status = 200, .Body = std::move(*Missing)};
  }
  if (Target == EvacuationsPath) {
    auto Known = Deps.Evacuations();
    if (!Known)
      co_return HttpResponse{.Status = 503};
    co_return HttpResponse{.Status = 200, .Body = std::move(*Known)};
  }
  if (Target == ReleasedPath) {
    Deps.OnOwnershipAvailable();
    co_return HttpResponse{.Status = 200};
  }
  if (Target == ChangePath) {
    const auto Change = decodeChange(Request.Body);
    if (!Change)
      co_return HttpResponse{.Status = 400};
    Deps.OnChangeNotice(*Change);
    co_return HttpResponse{.Status = 200, .Body = Deps.EncodedLoad()};
  }
  if (Target.starts_with(RelayPath))
    co_return co_await Deps.Store.relay(std::move(Request));
  if (Target == MetricsPath)
    co_return HttpResponse{.Status = 200, .Body = Deps.RenderMetrics()};
  if (!Target.starts_with(JobPath) && !Target.starts_with(QueuePath))
    co_return HttpResponse{.Status = 404};
  if (!Deps.IsActiveHolder())
    co_return HttpResponse{.Status = 503};
  if (Target.starts_with(QueuePath)) {
    const QueueId Queue(std::string(Target.substr(QueuePath.size())));
    co_return HttpResponse{.Status = 200,
                           .Body = std::to_string(Deps.PendingJobs(Queue))};
  }
  const auto State =
      Deps.StateOf(JobId(std::string(Target.substr(JobPath.size()))));
  if (!State)
    co_return HttpResponse{.Status = 404};
  co_return HttpResponse{.Status = 200,
                         .Body = std::to_string(static_cast<int>(*State))};
}

} // namespace

Async<HttpResponse> handlePeerRequest(const PeerApiDeps &Deps,
                                      HttpRequest Request) {
  HttpResponse Answer = co_await answerPeerRequest(Deps, std::move(Request));
  if (const std::int64_t Version = Deps.ConfigurationVersion(); Version > 0)
    Answer.Headers.push_back(
        {std::string(VersionHeader), std::to_string(Version)});
  co_return Answer;
}

Async<bool> PeerDirectory::registerSelf() {
  Transaction Change;
  Change.Writes.push_back(
      {{std::string(DirectoryTable), std::string(DirectoryPartition),
        this->Name},
       this->OwnEndpoint.str() + " " + std::to_string(this->Capacity)});
  const auto Outcome =
      co_await this->Store.transact(std::move(Change), CallTimeout);
  co_return Outcome && Outcome->Applied;
}

Async<void> PeerDirectory::refresh() {
  const BootClock Clock;
  const Instant SentAt = Clock.now();
  const auto Page = co_await readAll(
      this->Store,
      {std::string(DirectoryTable), std::string(DirectoryPartition), "", ""},
      this->ListLimit.current());
  if (!Page) {
    this->ListLimit.recordTimeout(this->Store.reachable());
    co_return;
  }
  this->ListLimit.recordAnswer(Clock.now() - SentAt);
  std::vector<Endpoint> Endpoints;
  this->LargerPeers = 0;
  ++this->Refreshes;
  for (const Row &StoredRow : Page->Rows) {
    std::istringstream Fields(StoredRow.Value);
    std::string Address;
    double PeerCapacity = 0;
    Fields >> Address >> PeerCapacity;
    const Endpoint Peer = Endpoint::parse(Address);
    if (!Peer.isValid() || Peer == this->OwnEndpoint)
      continue;
    Endpoints.push_back(Peer);
    this->LargerPeers += PeerCapacity > MinCapacityRatio * this->Capacity;
  }
  // Each daemon starts at a different position of the list, so that relayed
  // calls are spread over all peers.
  if (!Endpoints.empty())
    std::ranges::rotate(
        Endpoints, Endpoints.begin() +
                       std::ptrdiff_t(std::hash<std::string>()(this->Name) %
                                      Endpoints.size()));
  this->Peers = std::move(Endpoints);
  this->Store.setRelays(this->Peers);
}

Async<void> PeerDirectory::run() {
  while (!co_await this->registerSelf())
    co_await sleepFor(RetryPause);
  for (int Round = 0;; ++Round) {
    co_await this->refresh();
    co_await sleepFor(Round < FirstRefreshCount
                          ? Duration(FirstRefreshInterval)
                          : Duration(LaterRefreshInterval));
  }
}

} // namespace sardinerill::site
