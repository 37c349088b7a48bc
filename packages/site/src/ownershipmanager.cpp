#include "ownershipmanager.h"

#include "peerapi.h"
#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

constexpr milliseconds CallTimeout{1000};
/// Shorter than CallTimeout, so that a renewal can be retried before the lease
/// ends if a route to the table does not answer.
constexpr milliseconds RenewalTimeout{650};
constexpr milliseconds ProbeTimeout{300};
constexpr seconds RenewalLogInterval{1};
/// Claims of several daemons are spread over this time to avoid conflicts.
constexpr int MaxClaimJitterMs = 120;
/// How long a daemon waits for those with much more capacity to claim first.
constexpr milliseconds ClaimDelay{900};
/// The same when the site has never had a holder. Longer, because the daemons
/// have not found each other yet; it delays no jobs, as daemons start seconds
/// before their callers.
constexpr milliseconds NewSiteClaimDelay{3000};
/// How long a daemon without a connection of its own to the table leaves a
/// claim to the others.
constexpr milliseconds RelayedClaimDelay{900};
/// How long the others wait for the restarted process of the holder to claim.
/// It needs no pause before it sends commands to VMs.
constexpr milliseconds RestartedHolderDelay{500};

} // namespace

OwnershipManager::OwnershipManager(
    SiteDeps Deps, std::string Incarnation,
    std::function<void(OwnershipClaim)> StartHolder,
    std::function<void()> StopHolder)
    : Deps(Deps), Incarnation(std::move(Incarnation)),
      StartHolder(std::move(StartHolder)), StopHolder(std::move(StopHolder)),
      Observer(this->Timeouts), Wake(Deps.Executor) {}

OwnershipRow OwnershipManager::ownRow(int OfTerm) const {
  return {.Holder = this->Deps.Settings.Name,
          .Incarnation = this->Incarnation,
          .PeerAddress = this->Deps.Settings.PeerEndpoint.str(),
          .Term = OfTerm,
          .Leaving = this->IsLeaving || this->OffersLease,
          .OfferingCapacity = this->OffersLease && !this->IsLeaving
                                  ? std::optional(this->Deps.Settings.Capacity)
                                  : std::nullopt,
          .CommandsVms =
              this->Lease && this->Lease->vmPauseIsOver(this->Deps.Clock.now()),
          .EarlierCommandsFor = std::max<Duration>(this->EarlierCommandsUntil -
                                                       this->Deps.Clock.now(),
                                                   Duration::zero())};
}

Claimant OwnershipManager::ownClaimant() const {
  return {.Capacity = this->Deps.Settings.Capacity,
          .HasOwnConnection = !this->Deps.Store.usesRelays()};
}

Async<void> OwnershipManager::run() {
  while (true) {
    if (this->Lease && this->Lease->isLost()) {
      logEvent(LogLevel::Warning, "ownership.lost",
               {{"token", std::to_string(this->Lease->token())}});
      this->Lease = nullptr;
      this->OffersLease = false;
      this->StopHolder();
    }
    if (this->Lease)
      this->updateVoluntaryHandover();
    if (this->Lease)
      co_await this->renew();
    else if (!this->IsLeaving)
      co_await this->checkRow();
    else
      co_return;
    co_await this->Wake.wait(this->pauseBeforeNextCall());
  }
}

Duration OwnershipManager::pauseBeforeNextCall() const {
  if (this->Lease)
    return this->RenewalFailed ? this->Timeouts.RenewalRetryPause
                               : this->Timeouts.RenewalInterval;
  return this->Observer.renewalIsOverdue(this->Deps.Clock.now())
             ? this->Timeouts.OverduePollInterval
             : this->Timeouts.PollInterval;
}

void OwnershipManager::updateVoluntaryHandover() {
  if (!this->Deps.Settings.Policy.HandOverWhenCutOff)
    return;
  const bool Offered = this->Handover.update(this->Deps.Store.usesRelays(),
                                             this->Deps.Clock.now());
  if (Offered == std::exchange(this->OffersLease, Offered))
    return;
  logEvent(LogLevel::Info,
           Offered ? "ownership.offered" : "ownership.offer_withdrawn",
           {{"token", std::to_string(this->Lease->token())},
            {"reason", Offered ? "no own connection to the table"
                               : "no suitable daemon has claimed it"}});
}

Async<void> OwnershipManager::renew() {
  const Instant SentAt = this->Deps.Clock.now();
  const bool SendsLeavingMark = this->IsLeaving || this->OffersLease;
  if (SendsLeavingMark) // The next holder may claim as soon as this is sent.
    this->Lease->beginHandover();
  Transaction Change;
  Change.Preconditions.push_back({ownershipKey(), this->RowVersion});
  Change.Writes.push_back(
      {ownershipKey(), encodeOwnership(this->ownRow(this->Term))});
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), RenewalTimeout);
  if (!this->Lease)
    co_return;
  this->RenewalFailed = !Outcome;
  if (!Outcome) { // The lease is still valid; the next round retries.
    if (SentAt < this->NextRenewalLog)
      co_return;
    this->NextRenewalLog = SentAt + RenewalLogInterval;
    logEvent(LogLevel::Warning, "ownership.renewal_failed",
             {{"token", std::to_string(this->Lease->token())},
              {"reason", Outcome.error().Detail}});
    co_return;
  }
  if (Outcome->Applied) {
    this->RowVersion = Outcome->Version;
    this->Lease->recordRenewal(SentAt);
    this->LeavingStored = SendsLeavingMark;
    if (!SendsLeavingMark)
      this->Lease->cancelHandover();
    co_return;
  }
  for (const Row &Current : Outcome->Conflicts) {
    const auto Decoded = decodeOwnership(Current.Value);
    if (Current.Id != ownershipKey() || !Decoded)
      continue;
    if (Decoded->Incarnation == this->Incarnation && !Decoded->Released) {
      // An earlier renewal with an unknown outcome was applied.
      this->RowVersion = Current.Version;
      this->Wake.notify();
      co_return;
    }
  }
  this->Lease->markSuperseded();
  this->Wake.notify();
}

Async<void> OwnershipManager::probeHolder() {
  const Endpoint HolderEndpoint =
      Endpoint::parse(this->Observer.row().PeerAddress);
  if (!HolderEndpoint.isValid())
    co_return;
  const std::string ExpectedIncarnation = this->Observer.row().Incarnation;
  if (!this->ProbeClient || this->ProbeClient->peer() != HolderEndpoint)
    this->ProbeClient = std::make_unique<HttpClient>(
        this->Deps.Executor,
        HttpClientOptions{.Peer = HolderEndpoint, .MaxIdleConnections = 1});
  const auto Answer =
      co_await this->ProbeClient->call(aliveRequest(), ProbeTimeout);
  if (!Answer) {
    this->Observer.recordContact(Answer.error() ==
                                         HttpCallError::ConnectionRefused
                                     ? HolderContact::Refuses
                                     : HolderContact::Silent);
    co_return;
  }
  this->Observer.recordContact(HolderContact::Answers);
  if (Answer->Status == 200 && Answer->Body != ExpectedIncarnation)
    this->Observer.markHolderGone(ExpectedIncarnation);
}

Async<void> OwnershipManager::checkRow() {
  const Instant RequestedAt = this->Deps.Clock.now();
  const std::int64_t KnownVersion = this->Deps.Store.newestVersion();
  RowRange Range{ownershipKey().Table, ownershipKey().Partition};
  const auto Page =
      co_await this->Deps.Store.read(std::move(Range), CallTimeout);
  if (!Page)
    co_return;
  const auto SiteRow = std::ranges::find(Page->Rows, ownershipKey(), &Row::Id);
  if (SiteRow == Page->Rows.end()) {
    this->Observer.observeMissingRow();
  } else if (const auto Decoded = decodeOwnership(SiteRow->Value)) {
    this->Observer.observe(SiteRow->Version, *Decoded, RequestedAt,
                           this->Deps.Clock.now(), Page->NewestVersion,
                           KnownVersion);
    // The row may also be this process's own: the answer to its claim was lost,
    // or its holder has stopped. It is claimed again then. The read may be old,
    // and a holder that stopped has used its token and run numbers.
    if (Decoded->Holder == this->Deps.Settings.Name)
      this->Observer.markHolderGone(Decoded->Incarnation);
    else if (!this->Observer.mayClaim(this->ownClaimant()) &&
             this->Observer.renewalIsOverdue(this->Deps.Clock.now()))
      co_await this->probeHolder();
  }
  if (!this->Observer.mayClaim(this->ownClaimant()) || this->IsLeaving) {
    this->ClaimableSince = {};
    co_return;
  }
  const Instant Now = this->Deps.Clock.now();
  if (this->ClaimableSince == Instant{})
    this->ClaimableSince = Now;
  if (Now - this->ClaimableSince >= this->claimDelay())
    co_await this->claim();
}

Duration OwnershipManager::claimDelay() const {
  const bool IsOwnRow = this->Observer.row().Holder == this->Deps.Settings.Name;
  // Daemons with much more capacity get time to claim first.
  if (this->MayHaveLargerPeer() && !IsOwnRow)
    return this->Observer.version() == 0 ? NewSiteClaimDelay : ClaimDelay;
  if (this->Deps.Settings.Policy.HandOverWhenCutOff &&
      this->Deps.Store.usesRelays())
    return RelayedClaimDelay;
  return this->Observer.holderWasRestarted() && !IsOwnRow ? RestartedHolderDelay
                                                          : milliseconds(0);
}

Async<void> OwnershipManager::claim() {
  const int JitterMs =
      int(std::hash<std::string>()(this->Incarnation) % MaxClaimJitterMs);
  co_await sleepFor(milliseconds(JitterMs));
  // The row would say that its holder accepts no jobs.
  if (this->IsLeaving)
    co_return;
  // The connection may have been lost during the pause.
  if (!this->Observer.mayClaim(this->ownClaimant()))
    co_return;
  const PredecessorState Predecessor = this->Observer.predecessorState();
  const Instant SentAt = this->Deps.Clock.now();
  this->EarlierCommandsUntil = this->Observer.earlierCommandsUntil(SentAt);
  const OwnershipRow NewRow = this->ownRow(this->Observer.row().Term + 1);
  Transaction Change;
  Change.Preconditions.push_back({ownershipKey(), this->Observer.version()});
  Change.Writes.push_back({ownershipKey(), encodeOwnership(NewRow)});
  Change.Writes.push_back({epochKey(), this->Incarnation});
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), CallTimeout);
  if (!Outcome) {
    this->Wake.notify(); // It may have been applied: read the row.
    co_return;
  }
  if (!Outcome->Applied)
    co_return; // Another daemon was faster.
  this->RowVersion = Outcome->Version;
  this->onClaimed(Outcome->Version, NewRow, Predecessor, SentAt);
}

void OwnershipManager::onClaimed(std::int64_t Token, const OwnershipRow &NewRow,
                                 PredecessorState Predecessor, Instant SentAt) {
  this->Term = NewRow.Term;
  this->Handover.beginTerm(this->Observer.version() != 0,
                           this->Deps.Store.usesRelays(), SentAt);
  logEvent(LogLevel::Info, "ownership.claimed",
           {{"token", std::to_string(Token)},
            {"term", std::to_string(NewRow.Term)},
            {"before", this->Observer.row().Holder},
            {"offered", this->Observer.row().OfferingCapacity ? "yes" : "no"},
            {"before_may_order",
             Predecessor == PredecessorState::MayBeActive ? "yes" : "no"}});
  this->StartHolder(
      {.Token = Token,
       .Term = NewRow.Term,
       .ClaimSentAt = SentAt,
       .EarlierCommandsUntil = this->EarlierCommandsUntil,
       .VmCommandsFrom = this->Observer.vmCommandsFrom(
           this->Deps.Settings.Name,
           this->Deps.Settings.Bounds.VmHandoverPause),
       .LastInheritedVersion = this->Observer.lastInheritedVersion()});
}

Async<bool> OwnershipManager::release(Instant Deadline) {
  this->IsLeaving = true;
  if (!this->Lease || this->Lease->isLost())
    co_return true;
  const Duration Remaining = Deadline - this->Deps.Clock.now();
  if (Remaining <= Duration::zero())
    co_return false;
  OwnershipRow ReleasedRow = this->ownRow(this->Term);
  ReleasedRow.Released = true;
  Transaction Change;
  Change.Preconditions.push_back({ownershipKey(), this->RowVersion});
  Change.Writes.push_back({ownershipKey(), encodeOwnership(ReleasedRow)});
  const auto Outcome = co_await this->Deps.Store.transact(
      std::move(Change), std::min<Duration>(CallTimeout, Remaining));
  const bool Stored = Outcome && Outcome->Applied;
  logEvent(LogLevel::Info, "ownership.released",
           {{"stored", Stored ? "yes" : "no"}});
  co_return Stored;
}

} // namespace sardinerill::site
