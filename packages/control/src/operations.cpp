#include "sardinerill/control/operations.h"

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

constexpr auto EventLoopTimeout = std::chrono::seconds(10);
constexpr auto InForceTimeout = std::chrono::seconds(8);
constexpr auto PendingPollInterval = std::chrono::milliseconds(20);

OperatorAnswer problem(const Error &Failure) {
  return {static_cast<unsigned>(answerFor(Failure.Kind).HttpStatus),
          ProblemContentType, renderProblem(Failure, {})};
}

OperatorAnswer success(const json &Body) {
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

const std::vector<Operations::Route> &Operations::routes() {
  static const std::vector<Route> Table{
      {"GET", "/metrics", false, &Operations::showMetrics},
      {"GET", "/v1/fleet", true, &Operations::showFleet},
      {"GET", "/v1/status", true, &Operations::showStatus},
      {"GET", "/v1/fleet/pending", true, &Operations::showPending},
      {"POST", "/v1/fleet/change", true, &Operations::changeFleet},
      {"POST", "/v1/keys", true, &Operations::createKey},
      {"POST", "/v1/members/forget", true, &Operations::forgetMember},
  };
  return Table;
}

OperatorAnswer Operations::handle(const OperatorCall &Call) {
  for (const Route &Candidate : routes()) {
    if (Candidate.Method != Call.Method || Candidate.Path != Call.Path)
      continue;
    OperatorAnswer Answer = this->runOnEventLoop(Candidate, Call);
    const bool IsChange = Call.Method == "POST" && Answer.Status == 200;
    return IsChange ? this->waitUntilInForce(std::move(Answer), Call) : Answer;
  }
  return problem(Error{ErrorKind::NotFound,
                       "no such operation: " + Call.Method + " " + Call.Path});
}

OperatorAnswer Operations::runOnEventLoop(const Route &MatchedRoute,
                                          const OperatorCall &Call) {
  auto Answer = std::make_shared<AnswerPromise>();
  std::future<OperatorAnswer> AnswerFuture = Answer->get_future();
  this->Dependencies.Post([this, Call, Answer, &MatchedRoute] {
    if (MatchedRoute.NeedsKey)
      if (Result<std::string> Author = this->authenticateOperator(Call.Key);
          !Author) {
        this->Dependencies.Stats.countRefusal(Author.error().Kind);
        Answer->set_value(problem(Author.error()));
        return;
      }
    (this->*MatchedRoute.Handle)(Call, Answer);
  });
  if (AnswerFuture.wait_for(EventLoopTimeout) != std::future_status::ready)
    return problem(Error{ErrorKind::Internal,
                         "the daemon's event loop did not answer within " +
                             std::to_string(EventLoopTimeout.count()) + " s"});
  return AnswerFuture.get();
}

Result<std::string>
Operations::authenticateOperator(const std::string &Key) const {
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
      this->Dependencies.TaskDispatcher.admission()->admitOperator(Key);
  if (!Operator)
    return tl::unexpected(Operator.error());
  return Operator->str();
}

OperatorAnswer Operations::waitUntilInForce(OperatorAnswer Answer,
                                            const OperatorCall &Call) {
  json Body = json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("version"))
    return Answer;
  const auto Deadline = std::chrono::steady_clock::now() + InForceTimeout;
  OperatorCall PendingCall = Call;
  PendingCall.Query = "version=" + Body["version"].dump();
  const Route PendingRoute{"GET", "/v1/fleet/pending", false,
                           &Operations::showPending};
  for (;;) {
    const OperatorAnswer PendingAnswer =
        this->runOnEventLoop(PendingRoute, PendingCall);
    const json State = json::parse(PendingAnswer.Body, nullptr, false);
    Body["pending"] = State.value("pending", json::array());
    Body["inForce"] = Body["pending"].empty();
    if (Body["inForce"].get<bool>() ||
        std::chrono::steady_clock::now() >= Deadline)
      break;
    std::this_thread::sleep_for(PendingPollInterval);
  }
  return success(Body);
}

void Operations::showMetrics(const OperatorCall &, AnswerPromisePtr Answer) {
  Answer->set_value({200, "text/plain; version=0.0.4",
                     this->Dependencies.Stats.renderPrometheus()});
}

void Operations::showFleet(const OperatorCall &, AnswerPromisePtr Answer) {
  const FleetSnapshot &Newest = this->Dependencies.Replica.snapshot();
  Answer->set_value(
      success(json{{"version", Newest.Version},
                   {"document", redactDocument(Newest.Document)}}));
}

void Operations::showPending(const OperatorCall &Call,
                             AnswerPromisePtr Answer) {
  constexpr std::string_view Name = "version=";
  FleetVersion Version = this->Dependencies.Replica.snapshot().Version;
  if (Call.Query.starts_with(Name))
    Version = std::strtoull(Call.Query.c_str() + Name.size(), nullptr, 10);
  Answer->set_value(success(
      json{{"version", Version},
           {"pending",
            toJsonArray(this->Dependencies.Members.pendingFor(Version))}}));
}

void Operations::showStatus(const OperatorCall &, AnswerPromisePtr Answer) {
  const Instant Now = this->Dependencies.Clock.now();
  const std::shared_ptr<const Fleet> Current =
      this->Dependencies.Replica.current();
  json Status{
      {"daemon", this->Dependencies.Members.self().str()},
      {"version", this->Dependencies.Replica.snapshot().Version},
      {"platformAnswers", this->Dependencies.Replica.platformReachable()},
      {"maintenanceHeld", this->Dependencies.Maintenance.holdsLease()},
      {"requestsInHand", this->Dependencies.TaskDispatcher.inHand()}};
  const Instant FreshSince = this->Dependencies.Members.freshSince();
  Status["freshForMs"] =
      FreshSince == Instant{}
          ? json()
          : json(std::chrono::duration_cast<milliseconds>(Now - FreshSince)
                     .count());
  Status["members"] = json::array();
  const std::vector<DaemonId> Alive = this->Dependencies.Members.alive(Now);
  for (const auto &[Id, Other] : this->Dependencies.Members.members()) {
    const bool IsAlive =
        std::find(Alive.begin(), Alive.end(), Id) != Alive.end();
    Status["members"].push_back(json{{"daemon", Id.str()},
                                     {"zone", Other.Where.Zone.str()},
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

void Operations::append(FleetChange Change, json Extra,
                        AnswerPromisePtr Answer) {
  const std::string Author = Change.Author;
  this->Dependencies.Replica.append(
      std::move(Change), [Answer, Author, Extra = std::move(Extra)](
                             Result<FleetVersion> Committed) mutable {
        if (!Committed) {
          Answer->set_value(problem(Committed.error()));
          return;
        }
        logEvent(LogLevel::Info, "fleet.changed",
                 {{"version", std::to_string(*Committed)}, {"author", Author}});
        Extra["version"] = *Committed;
        Answer->set_value(success(Extra));
      });
}

void Operations::changeFleet(const OperatorCall &Call,
                             AnswerPromisePtr Answer) {
  Result<json> Body = parseJson(Call.Body);
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
  Change.Author = this->authenticateOperator(Call.Key).value_or("unknown");
  this->append(std::move(Change), json::object(), Answer);
}

void Operations::createKey(const OperatorCall &Call, AnswerPromisePtr Answer) {
  Result<json> Body = parseJson(Call.Body);
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
  const NewKey Created = makeKey(KeyId(Name));
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
  Change.Author = this->authenticateOperator(Call.Key).value_or("unknown");
  this->append(std::move(Change), json{{"key", Created.Text}}, Answer);
}

void Operations::forgetMember(const OperatorCall &Call,
                              AnswerPromisePtr Answer) {
  Result<json> Body = parseJson(Call.Body);
  if (!Body || !Body->is_object() ||
      !Body->value("daemon", json()).is_string()) {
    Answer->set_value(
        problem(Error{ErrorKind::BadRequest,
                      "the body must be an object with a string \"daemon\""}));
    return;
  }
  const DaemonId Forgotten((*Body)["daemon"].get<std::string>());
  if (!this->Dependencies.Members.members().contains(Forgotten)) {
    Answer->set_value(problem(
        Error{ErrorKind::NotFound,
              "this daemon does not know the daemon " + Forgotten.str()}));
    return;
  }
  this->Dependencies.Members.forget(Forgotten);
  // The other daemons remove the member once its roster row is gone.
  this->Dependencies.DeregisterDaemon(Forgotten);
  Answer->set_value(success(json{{"forgotten", Forgotten.str()}}));
}

} // namespace sardinerill
