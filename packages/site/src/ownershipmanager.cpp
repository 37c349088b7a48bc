#include "ownershipmanager.h"

#include "peerapi.h"
#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

constexpr milliseconds CallTimeout{1000};
/// Shorter than CallTimeout, so that a route to the table that does not answer
/// is abandoned in time.
constexpr milliseconds RenewalTimeout{650};
constexpr milliseconds ProbeTimeout{300};
/// Claims of several daemons are spread over this time to avoid conflicts.
constexpr int MaxClaimJitterMs = 120;
/// How long a daemon waits for much stronger ones to claim first.
constexpr milliseconds YieldTime{900};
/// The same when the site has never had a holder. The daemons have not found
/// each other yet, and no work is delayed because daemons start seconds before
/// their callers.
constexpr milliseconds FirstYieldTime{3000};

} // namespace

OwnershipManager::OwnershipManager(
    HolderDeps Deps, std::string Incarnation,
    std::function<void(OwnershipClaim)> StartHolder,
    std::function<void()> StopHolder)
    : Deps(Deps), Incarnation(std::move(Incarnation)),
      StartHolder(std::move(StartHolder)), StopHolder(std::move(StopHolder)),
      Watch(this->Times), Wake(Deps.Executor) {}

OwnershipRow OwnershipManager::ownRow(int OfTerm) const {
  return {.Holder = this->Deps.Settings.Name,
          .Incarnation = this->Incarnation,
          .PeerAddress = this->Deps.Settings.PeerDoor.str(),
          .Term = OfTerm,
          .Leaving = this->Releasing};
}

Async<void> OwnershipManager::run() {
  while (true) {
    if (this->Held && this->Held->lost()) {
      logEvent(LogLevel::Warning, "ownership.lost",
               {{"token", std::to_string(this->Held->token())}});
      this->Held = nullptr;
      this->StopHolder();
    }
    if (this->Held)
      co_await this->renew();
    else if (!this->Releasing)
      co_await this->checkRow();
    else
      co_return;
    co_await this->Wake.wait(this->Held ? this->Times.Renewal
                                        : this->Times.Look);
  }
}

Async<void> OwnershipManager::renew() {
  const Instant SentAt = this->Deps.Clock.now();
  const bool IsLeaving = this->Releasing;
  if (IsLeaving) // A successor may claim as soon as this is sent.
    this->Held->leave();
  Transaction Change;
  Change.Expectations.push_back({ownershipKey(), this->RowVersion});
  Change.Writes.push_back(
      {ownershipKey(), encodeOwnership(this->ownRow(this->Term))});
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), RenewalTimeout);
  if (!this->Held)
    co_return;
  if (!Outcome) { // The lease is still valid; the next round retries.
    logEvent(LogLevel::Warning, "ownership.renewal_failed",
             {{"token", std::to_string(this->Held->token())},
              {"reason", Outcome.error().Detail}});
    co_return;
  }
  if (Outcome->Applied) {
    this->RowVersion = Outcome->Version;
    this->Held->renewed(SentAt);
    this->LeavingStored = IsLeaving;
    co_return;
  }
  for (const Row &Current : Outcome->Conflicts) {
    const auto Decoded = decodeOwnership(Current.Value);
    if (Current.Where != ownershipKey() || !Decoded)
      continue;
    if (Decoded->Incarnation == this->Incarnation && !Decoded->Released) {
      // An earlier renewal with an unknown outcome was applied.
      this->RowVersion = Current.Version;
      this->Wake.notify();
      co_return;
    }
  }
  this->Held->superseded();
  this->Wake.notify();
}

Async<void> OwnershipManager::probeHolder() {
  const Endpoint HolderEndpoint =
      Endpoint::parse(this->Watch.row().PeerAddress);
  if (!HolderEndpoint.isValid())
    co_return;
  const std::string ExpectedIncarnation = this->Watch.row().Incarnation;
  if (!this->ProbeClient || this->ProbeClient->peer() != HolderEndpoint)
    this->ProbeClient = std::make_unique<HttpClient>(
        this->Deps.Executor,
        HttpClientOptions{.Peer = HolderEndpoint, .MaxIdleConnections = 1});
  const auto Answer =
      co_await this->ProbeClient->call(aliveRequest(), ProbeTimeout);
  const bool Refused =
      !Answer && Answer.error() == HttpCallError::ConnectionRefused;
  const bool OtherIncarnation =
      Answer && Answer->Status == 200 && Answer->Body != ExpectedIncarnation;
  this->Watch.holderRefuses(Refused);
  if (OtherIncarnation)
    this->Watch.holderIsGone(ExpectedIncarnation);
}

Async<void> OwnershipManager::checkRow() {
  const Instant RequestedAt = this->Deps.Clock.now();
  RowRange Range{ownershipKey().Table, ownershipKey().Partition};
  const auto Page =
      co_await this->Deps.Store.read(std::move(Range), CallTimeout);
  if (!Page)
    co_return;
  const Row *EpochRow = nullptr;
  const Row *SiteRow = nullptr;
  for (const Row &StoredRow : Page->Rows) {
    if (StoredRow.Where == epochKey())
      EpochRow = &StoredRow;
    if (StoredRow.Where == ownershipKey())
      SiteRow = &StoredRow;
  }
  if (!SiteRow) {
    this->Watch.observeAbsent();
  } else if (const auto Decoded = decodeOwnership(SiteRow->Value)) {
    this->Watch.observe(SiteRow->Version, *Decoded, RequestedAt,
                        this->Deps.Clock.now(), Page->NewestVersion);
    if (Decoded->Incarnation == this->Incarnation && !Decoded->Released &&
        EpochRow && !this->Releasing) {
      // An earlier claim with an unknown outcome was applied.
      this->RowVersion = SiteRow->Version;
      this->onClaimed(EpochRow->Version, *Decoded, Predecessor::MayOrder,
                      RequestedAt);
      co_return;
    }
    if (Decoded->Holder == this->Deps.Settings.Name)
      // Held by the previous process of this daemon.
      this->Watch.holderIsGone(Decoded->Incarnation);
    else if (!this->Watch.mayClaim())
      co_await this->probeHolder();
  }
  if (!this->Watch.mayClaim() || this->Releasing) {
    this->ClaimableSince = {};
    co_return;
  }
  const Instant Now = this->Deps.Clock.now();
  if (this->ClaimableSince == Instant{})
    this->ClaimableSince = Now;
  // Stronger daemons get time to claim first. A weak one claims only if none of
  // them does.
  const Duration Yield =
      this->Watch.version() == 0 ? FirstYieldTime : YieldTime;
  if (!this->MayHaveStrongerPeer() || Now - this->ClaimableSince >= Yield)
    co_await this->claim();
}

Async<void> OwnershipManager::claim() {
  const int JitterMs =
      int(std::hash<std::string>()(this->Incarnation) % MaxClaimJitterMs);
  co_await sleepFor(milliseconds(JitterMs));
  const Predecessor PredecessorState = this->Watch.predecessor();
  const OwnershipRow NewRow = this->ownRow(this->Watch.row().Term + 1);
  Transaction Change;
  Change.Expectations.push_back({ownershipKey(), this->Watch.version()});
  Change.Writes.push_back({ownershipKey(), encodeOwnership(NewRow)});
  Change.Writes.push_back({epochKey(), this->Incarnation});
  const Instant SentAt = this->Deps.Clock.now();
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), CallTimeout);
  if (!Outcome) {
    this->Wake.notify(); // It may have been applied: read the row.
    co_return;
  }
  if (!Outcome->Applied)
    co_return; // Another daemon was faster.
  this->RowVersion = Outcome->Version;
  this->onClaimed(Outcome->Version, NewRow, PredecessorState, SentAt);
}

void OwnershipManager::onClaimed(std::int64_t Token, const OwnershipRow &NewRow,
                                 Predecessor PredecessorState, Instant SentAt) {
  this->Term = NewRow.Term;
  logEvent(LogLevel::Info, "ownership.claimed",
           {{"token", std::to_string(Token)},
            {"term", std::to_string(NewRow.Term)},
            {"before", this->Watch.row().Holder},
            {"before_may_order",
             PredecessorState == Predecessor::MayOrder ? "yes" : "no"}});
  this->StartHolder({.Token = Token,
                     .Term = NewRow.Term,
                     .PredecessorState = PredecessorState,
                     .ClaimSentAt = SentAt,
                     .PredecessorUntil = this->Watch.predecessorUntil(),
                     .LastInheritedVersion = this->Watch.quietVersion()});
}

Async<void> OwnershipManager::release() {
  this->Releasing = true;
  if (!this->Held || this->Held->lost())
    co_return;
  OwnershipRow ReleasedRow = this->ownRow(this->Term);
  ReleasedRow.Released = true;
  Transaction Change;
  Change.Expectations.push_back({ownershipKey(), this->RowVersion});
  Change.Writes.push_back({ownershipKey(), encodeOwnership(ReleasedRow)});
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), CallTimeout);
  logEvent(LogLevel::Info, "ownership.released",
           {{"stored", Outcome && Outcome->Applied ? "yes" : "no"}});
}

} // namespace sardinerill::site
