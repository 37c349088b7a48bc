#include "sardinerill/control/operatorrequesthandler.h"

#include "sardinerill/admission/keys.h"
#include "sardinerill/base/logging.h"
#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/gateway/problem.h"
#include "sardinerill/platform/platformcodec.h"

#include <openssl/crypto.h>
#include <thread>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Response with problem details (RFC 9457).
OperatorResponse problem(const Error &Failure) {
  return {static_cast<unsigned>(errorResponseFor(Failure.Kind).HttpStatus),
          ProblemContentType, renderProblem(Failure, {})};
}

OperatorResponse success(const json &Body) {
  return {200, "application/json", Body.dump()};
}

json toJsonArray(const std::vector<DaemonId> &Ids) {
  json List = json::array();
  for (const DaemonId &Id : Ids)
    List.push_back(Id.str());
  return List;
}

bool equalsInConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace

const std::vector<OperatorRequestHandler::Route> &
OperatorRequestHandler::routes() {
  static const std::vector<Route> Table{
      {"GET", "/metrics", false, &OperatorRequestHandler::showMetrics},
      {"GET", "/v1/fleet", true, &OperatorRequestHandler::showFleet},
      {"GET", "/v1/status", true, &OperatorRequestHandler::showStatus},
      {"GET", "/v1/fleet/pending", true,
       &OperatorRequestHandler::showDaemonsBehind},
      {"POST", "/v1/fleet/change", true, &OperatorRequestHandler::changeFleet},
      {"POST", "/v1/keys", true, &OperatorRequestHandler::createKey},
      {"POST", "/v1/members/forget", true,
       &OperatorRequestHandler::forgetMember},
  };
  return Table;
}

OperatorResponse
OperatorRequestHandler::handle(const OperatorRequest &Request) {
  for (const Route &Candidate : routes()) {
    if (Candidate.Method != Request.Method || Candidate.Path != Request.Path)
      continue;
    OperatorResponse Answer = this->runOnEventLoop(Candidate, Request);
    const bool IsChange = Request.Method == "POST" && Answer.Status == 200;
    return IsChange ? this->waitUntilInForce(std::move(Answer), Request)
                    : Answer;
  }
  return problem(
      Error{ErrorKind::NotFound,
            "no such operation: " + Request.Method + " " + Request.Path});
}

OperatorResponse
OperatorRequestHandler::runOnEventLoop(const Route &MatchedRoute,
                                       const OperatorRequest &Request) {
  auto Answer = std::make_shared<ResponsePromise>();
  std::future<OperatorResponse> AnswerFuture = Answer->get_future();
  // The call may run after this function has returned: all is held by copy.
  this->Dependencies.Post([this, Request, Answer, MatchedRoute] {
    if (MatchedRoute.RequiresOperatorKey)
      if (Result<std::string> Author = this->authenticateOperator(Request.Key);
          !Author) {
        this->Dependencies.Stats.countRefusal(Author.error().Kind);
        Answer->set_value(problem(Author.error()));
        return;
      }
    (this->*MatchedRoute.Handle)(Request, Answer);
  });
  const milliseconds Limit = this->Dependencies.TimeLimits.EventLoop;
  if (AnswerFuture.wait_for(Limit) != std::future_status::ready)
    return problem(Error{ErrorKind::Internal,
                         "the daemon's event loop did not answer within " +
                             std::to_string(Limit.count()) + " ms"});
  return AnswerFuture.get();
}

Result<std::string>
OperatorRequestHandler::authenticateOperator(const std::string &Key) const {
  if (Key.empty())
    return makeError(ErrorKind::KeyMissing,
                     "send an operator's key as Authorization: Bearer");
  const std::shared_ptr<const Fleet> Current =
      this->Dependencies.Replica.current();
  const bool HasOperatorKeys = Current && !Current->OperatorKeys.empty();
  if (!HasOperatorKeys) {
    if (!this->Dependencies.BootstrapKey.empty() &&
        equalsInConstantTime(Key, this->Dependencies.BootstrapKey))
      return std::string("bootstrap");
    return makeError(
        ErrorKind::KeyUnknown,
        "the fleet has no operator keys, and this is not the bootstrap key");
  }
  Result<KeyId> Operator =
      this->Dependencies.TaskDispatcher.admission()->authenticateOperator(Key);
  if (!Operator)
    return tl::unexpected(Operator.error());
  return Operator->str();
}

OperatorResponse
OperatorRequestHandler::waitUntilInForce(OperatorResponse Answer,
                                         const OperatorRequest &Request) {
  json Body = json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("version"))
    return Answer;
  const OperatorTimeLimits &Limits = this->Dependencies.TimeLimits;
  const auto Deadline = std::chrono::steady_clock::now() + Limits.InForce;
  OperatorRequest PendingRequest = Request;
  PendingRequest.Query = "version=" + Body["version"].dump();
  const Route PendingRoute{"GET", "/v1/fleet/pending", false,
                           &OperatorRequestHandler::showDaemonsBehind};
  for (;;) {
    const OperatorResponse PendingAnswer =
        this->runOnEventLoop(PendingRoute, PendingRequest);
    const json State = json::parse(PendingAnswer.Body, nullptr, false);
    const bool IsKnown = State.is_object() && State.contains("pending");
    // This daemon has not confirmed the change if its event loop is silent.
    Body["pending"] = IsKnown
                          ? State["pending"]
                          : toJsonArray({this->Dependencies.Members.self()});
    Body["inForce"] = Body["pending"].empty();
    if (Body["inForce"].get<bool>() ||
        std::chrono::steady_clock::now() >= Deadline)
      break;
    std::this_thread::sleep_for(Limits.PendingPoll);
  }
  return success(Body);
}

void OperatorRequestHandler::showMetrics(const OperatorRequest &,
                                         ResponsePromisePtr Answer) {
  Answer->set_value({200, "text/plain; version=0.0.4",
                     this->Dependencies.Stats.renderPrometheus()});
}

void OperatorRequestHandler::showFleet(const OperatorRequest &,
                                       ResponsePromisePtr Answer) {
  const FleetSnapshot &Newest = this->Dependencies.Replica.snapshot();
  Answer->set_value(
      success(json{{"version", Newest.Version},
                   {"document", redactDocument(Newest.Document)}}));
}

void OperatorRequestHandler::showDaemonsBehind(const OperatorRequest &Request,
                                               ResponsePromisePtr Answer) {
  constexpr std::string_view Name = "version=";
  FleetVersion Version = this->Dependencies.Replica.snapshot().Version;
  if (Request.Query.starts_with(Name))
    Version = std::strtoull(Request.Query.c_str() + Name.size(), nullptr, 10);
  Answer->set_value(success(
      json{{"version", Version},
           {"pending",
            toJsonArray(this->Dependencies.Members.daemonsBehind(Version))}}));
}

void OperatorRequestHandler::showStatus(const OperatorRequest &,
                                        ResponsePromisePtr Answer) {
  const Instant Now = this->Dependencies.Clock.now();
  const std::shared_ptr<const Fleet> Current =
      this->Dependencies.Replica.current();
  json Status{
      {"daemon", this->Dependencies.Members.self().str()},
      {"version", this->Dependencies.Replica.snapshot().Version},
      {"platformAnswers", this->Dependencies.Replica.platformReachable()},
      {"maintenanceHeld", this->Dependencies.Maintenance.holdsLease()},
      {"requestsInHand",
       this->Dependencies.TaskDispatcher.pendingRequestCount()}};
  const Instant ConfirmedAt = this->Dependencies.Members.confirmedNewestAt();
  Status["freshForMs"] =
      ConfirmedAt == Instant{}
          ? json()
          : json(std::chrono::duration_cast<milliseconds>(Now - ConfirmedAt)
                     .count());
  Status["members"] = json::array();
  const std::vector<DaemonId> Alive =
      this->Dependencies.Members.aliveMembers(Now);
  for (const auto &[Id, Other] : this->Dependencies.Members.otherMembers()) {
    const bool IsAlive =
        std::find(Alive.begin(), Alive.end(), Id) != Alive.end();
    Status["members"].push_back(json{{"daemon", Id.str()},
                                     {"zone", Other.Endpoint.Zone.str()},
                                     {"version", Other.Report.Version},
                                     {"alive", IsAlive}});
  }
  Status["pools"] = json::array();
  for (const PoolStatus &Pool :
       this->Dependencies.TaskDispatcher.poolStatus()) {
    json Entry{{"pool", Pool.Pool.str()},
               {"waiting", Pool.Waiting},
               {"running", Pool.Running},
               {"vms", Pool.Vms},
               {"ejected", Pool.Ejected}};
    if (Current) {
      const RolloutProgress Progress = rolloutProgress(*Current, Pool.Pool);
      Entry["rollout"] = json{{"total", Progress.Total},
                              {"done", Progress.Done},
                              {"inWork", Progress.InProgress},
                              {"paused", Progress.Paused}};
    }
    Status["pools"].push_back(std::move(Entry));
  }
  Answer->set_value(success(Status));
}

void OperatorRequestHandler::append(FleetChange Change, json ResponseFields,
                                    ResponsePromisePtr Answer) {
  const std::string Author = Change.Author;
  this->Dependencies.Replica.append(
      std::move(Change),
      [Answer, Author, ResponseFields = std::move(ResponseFields)](
          Result<FleetVersion> Committed) mutable {
        if (!Committed) {
          Answer->set_value(problem(Committed.error()));
          return;
        }
        logEvent(LogLevel::Info, "fleet.changed",
                 {{"version", std::to_string(*Committed)}, {"author", Author}});
        ResponseFields["version"] = *Committed;
        Answer->set_value(success(ResponseFields));
      });
}

void OperatorRequestHandler::changeFleet(const OperatorRequest &Request,
                                         ResponsePromisePtr Answer) {
  Result<json> Body = parseJson(Request.Body);
  if (!Body || !Body->is_object() || !Body->contains("patch") ||
      !Body->value("madeOn", json()).is_number_unsigned()) {
    Answer->set_value(problem(Error{ErrorKind::BadRequest,
                                    "the body must be an object with "
                                    "\"madeOn\" (a version) and \"patch\""}));
    return;
  }
  FleetChange Change;
  Change.BaseVersion = (*Body)["madeOn"].get<FleetVersion>();
  Change.Patch = (*Body)["patch"];
  // The key was accepted before this call; it only yields the author here.
  Change.Author = this->authenticateOperator(Request.Key).value_or("unknown");
  this->append(std::move(Change), json::object(), Answer);
}

void OperatorRequestHandler::createKey(const OperatorRequest &Request,
                                       ResponsePromisePtr Answer) {
  Result<json> Body = parseJson(Request.Body);
  const json Id =
      Body && Body->is_object() ? Body->value("id", json()) : json();
  const json Team =
      Body && Body->is_object() ? Body->value("team", json()) : json();
  if (!Id.is_string() || !(Team.is_string() || Team.is_null())) {
    Answer->set_value(problem(Error{
        ErrorKind::BadRequest,
        "the body must have an \"id\" and, unless the key is an operator's, a "
        "\"team\""}));
    return;
  }
  const FleetSnapshot &Newest = this->Dependencies.Replica.snapshot();
  const std::string Name = Id.get<std::string>();
  const json Teams = Newest.Document.value("teams", json::object());
  const bool IsOperator = Team.is_null();
  if (!IsOperator && !Teams.contains(Team.get<std::string>())) {
    Answer->set_value(
        problem(Error{ErrorKind::NotFound, "no such team: " + Team.dump()}));
    return;
  }
  const json Owner = IsOperator
                         ? Newest.Document.value("operators", json::object())
                         : Teams[Team.get<std::string>()];
  if (Owner.value("keys", json::object()).contains(Name)) {
    Answer->set_value(
        problem(Error{ErrorKind::VersionConflict,
                      "the key id " + Name + " is already in use"}));
    return;
  }
  const GeneratedKey Created = generateKey(KeyId(Name));
  const json Keys{
      {"keys",
       {{Name,
         {{"salt", Created.Record.Salt}, {"hash", Created.Record.Hash}}}}}};
  FleetChange Change;
  Change.BaseVersion = Newest.Version;
  if (IsOperator)
    Change.Patch = json{{"operators", Keys}};
  else
    Change.Patch = json{{"teams", {{Team.get<std::string>(), Keys}}}};
  Change.Author = this->authenticateOperator(Request.Key).value_or("unknown");
  this->append(std::move(Change), json{{"key", Created.Text}}, Answer);
}

void OperatorRequestHandler::forgetMember(const OperatorRequest &Request,
                                          ResponsePromisePtr Answer) {
  Result<json> Body = parseJson(Request.Body);
  if (!Body || !Body->is_object() ||
      !Body->value("daemon", json()).is_string()) {
    Answer->set_value(
        problem(Error{ErrorKind::BadRequest,
                      "the body must be an object with a string \"daemon\""}));
    return;
  }
  const DaemonId Forgotten((*Body)["daemon"].get<std::string>());
  if (!this->Dependencies.Members.otherMembers().contains(Forgotten)) {
    Answer->set_value(problem(
        Error{ErrorKind::NotFound, "no such member: " + Forgotten.str()}));
    return;
  }
  this->Dependencies.Members.removeMember(Forgotten);
  // The other daemons remove the member once its roster row is gone.
  // This answer does not wait for that.
  this->Dependencies.DeregisterDaemon(Forgotten);
  Answer->set_value(success(json{{"forgotten", Forgotten.str()}}));
}

} // namespace sardinerill
