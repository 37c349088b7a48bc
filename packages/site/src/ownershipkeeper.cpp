#include "ownershipkeeper.h"

#include "peerdoor.h"
#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

constexpr milliseconds CallLimit{1000};
/// Shorter than CallLimit, so that a route to the table that does not
/// answer is abandoned in time.
constexpr milliseconds RenewalLimit{650};
constexpr milliseconds ProbeLimit{300};
/// Claims of several daemons are spread over this time to avoid conflicts.
constexpr int ClaimSpreadMs = 120;
/// How long a daemon waits for much stronger ones to claim first.
constexpr milliseconds YieldTime{900};
/// The same when the site has never had a holder. The daemons have not found
/// each other yet, and no work is delayed because daemons start seconds before
/// their callers.
constexpr milliseconds FirstYieldTime{3000};

} // namespace

OwnershipKeeper::OwnershipKeeper(HolderParts Parts, std::string Incarnation,
                                 std::function<void(Succession)> StartHolding,
                                 std::function<void()> StopHolding)
    : Parts(Parts), Incarnation(std::move(Incarnation)),
      StartHolding(std::move(StartHolding)),
      StopHolding(std::move(StopHolding)), Watch(this->Times),
      Look(Parts.Executor) {}

OwnershipRow OwnershipKeeper::ownRow(int OfTerm) const {
  return {.Holder = this->Parts.Settings.Name,
          .Incarnation = this->Incarnation,
          .PeerAddress = this->Parts.Settings.PeerDoor.str(),
          .Term = OfTerm,
          .Leaving = this->Releasing};
}

Async<void> OwnershipKeeper::run() {
  while (true) {
    if (this->Held && this->Held->lost()) {
      logEvent(LogLevel::Warning, "ownership.lost",
               {{"token", std::to_string(this->Held->token())}});
      this->Held = nullptr;
      this->StopHolding();
    }
    if (this->Held)
      co_await this->renew();
    else if (!this->Releasing)
      co_await this->watch();
    else
      co_return;
    co_await this->Look.wait(this->Held ? this->Times.Renewal
                                        : this->Times.Look);
  }
}

Async<void> OwnershipKeeper::renew() {
  const Instant SentAt = this->Parts.Clock.now();
  const bool Leaves = this->Releasing;
  if (Leaves) // A successor may claim as soon as this is sent.
    this->Held->leave();
  Transaction Change;
  Change.Expectations.push_back({ownershipKey(), this->RowVersion});
  Change.Writes.push_back(
      {ownershipKey(), encodeOwnership(this->ownRow(this->Term))});
  const auto Outcome =
      co_await this->Parts.Store.transact(std::move(Change), RenewalLimit);
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
    this->LeaveStored = Leaves;
    co_return;
  }
  for (const Row &Current : Outcome->Conflicts) {
    const auto Read = decodeOwnership(Current.Value);
    if (Current.Where != ownershipKey() || !Read)
      continue;
    if (Read->Incarnation == this->Incarnation && !Read->Released) {
      // An earlier renewal with an unknown outcome was applied.
      this->RowVersion = Current.Version;
      this->Look.notify();
      co_return;
    }
  }
  this->Held->superseded();
  this->Look.notify();
}

Async<void> OwnershipKeeper::probeHolder() {
  const Endpoint Where = Endpoint::parse(this->Watch.row().PeerAddress);
  if (!Where.valid())
    co_return;
  const std::string Asked = this->Watch.row().Incarnation;
  if (!this->HolderDoor || this->HolderDoor->peer() != Where)
    this->HolderDoor = std::make_unique<HttpClient>(
        this->Parts.Executor,
        HttpClientOptions{.Peer = Where, .KeptConnections = 1});
  const auto Answer =
      co_await this->HolderDoor->call(aliveRequest(), ProbeLimit);
  const bool Refused = !Answer && Answer.error() == HttpFault::Refused;
  const bool Other = Answer && Answer->Status == 200 && Answer->Body != Asked;
  this->Watch.holderRefuses(Refused);
  if (Other)
    this->Watch.holderIsGone(Asked);
}

Async<void> OwnershipKeeper::watch() {
  const Instant AskedAt = this->Parts.Clock.now();
  RowRange Range{ownershipKey().Table, ownershipKey().Partition};
  const auto Page =
      co_await this->Parts.Store.read(std::move(Range), CallLimit);
  if (!Page)
    co_return;
  const Row *Epoch = nullptr;
  const Row *Site = nullptr;
  for (const Row &Read : Page->Rows) {
    if (Read.Where == epochKey())
      Epoch = &Read;
    if (Read.Where == ownershipKey())
      Site = &Read;
  }
  if (!Site) {
    this->Watch.observeAbsent();
  } else if (const auto Read = decodeOwnership(Site->Value)) {
    this->Watch.observe(Site->Version, *Read, AskedAt, this->Parts.Clock.now(),
                        Page->NewestVersion);
    if (Read->Incarnation == this->Incarnation && !Read->Released && Epoch &&
        !this->Releasing) {
      // An earlier claim with an unknown outcome was applied.
      this->RowVersion = Site->Version;
      this->begin(Epoch->Version, *Read, Predecessor::MayOrder, AskedAt);
      co_return;
    }
    if (Read->Holder == this->Parts.Settings.Name)
      // Held by the previous process of this daemon.
      this->Watch.holderIsGone(Read->Incarnation);
    else if (!this->Watch.mayClaim())
      co_await this->probeHolder();
  }
  if (!this->Watch.mayClaim() || this->Releasing) {
    this->ClaimableSince = {};
    co_return;
  }
  const Instant Now = this->Parts.Clock.now();
  if (this->ClaimableSince == Instant{})
    this->ClaimableSince = Now;
  // Stronger daemons get time to claim first. A weak one claims only if none of
  // them does.
  const Duration Yield =
      this->Watch.version() == 0 ? FirstYieldTime : YieldTime;
  if (!this->MayBeOutranked() || Now - this->ClaimableSince >= Yield)
    co_await this->claim();
}

Async<void> OwnershipKeeper::claim() {
  const int Spread =
      int(std::hash<std::string>()(this->Incarnation) % ClaimSpreadMs);
  co_await pauseFor(milliseconds(Spread));
  const Predecessor Before = this->Watch.predecessor();
  const OwnershipRow Mine = this->ownRow(this->Watch.row().Term + 1);
  Transaction Change;
  Change.Expectations.push_back({ownershipKey(), this->Watch.version()});
  Change.Writes.push_back({ownershipKey(), encodeOwnership(Mine)});
  Change.Writes.push_back({epochKey(), this->Incarnation});
  const Instant SentAt = this->Parts.Clock.now();
  const auto Outcome =
      co_await this->Parts.Store.transact(std::move(Change), CallLimit);
  if (!Outcome) {
    this->Look.notify(); // It may have been applied: read the row.
    co_return;
  }
  if (!Outcome->Applied)
    co_return; // Another daemon was faster.
  this->RowVersion = Outcome->Version;
  this->begin(Outcome->Version, Mine, Before, SentAt);
}

void OwnershipKeeper::begin(std::int64_t Token, const OwnershipRow &Mine,
                            Predecessor Before, Instant SentAt) {
  this->Term = Mine.Term;
  logEvent(
      LogLevel::Info, "ownership.claimed",
      {{"token", std::to_string(Token)},
       {"term", std::to_string(Mine.Term)},
       {"before", this->Watch.row().Holder},
       {"before_may_order", Before == Predecessor::MayOrder ? "yes" : "no"}});
  this->StartHolding({.Token = Token,
                      .Term = Mine.Term,
                      .Before = Before,
                      .ClaimSentAt = SentAt,
                      .PredecessorUntil = this->Watch.predecessorUntil(),
                      .QuietVersion = this->Watch.quietVersion()});
}

Async<void> OwnershipKeeper::release() {
  this->Releasing = true;
  if (!this->Held || this->Held->lost())
    co_return;
  OwnershipRow Given = this->ownRow(this->Term);
  Given.Released = true;
  Transaction Change;
  Change.Expectations.push_back({ownershipKey(), this->RowVersion});
  Change.Writes.push_back({ownershipKey(), encodeOwnership(Given)});
  const auto Outcome =
      co_await this->Parts.Store.transact(std::move(Change), CallLimit);
  logEvent(LogLevel::Info, "ownership.released",
           {{"stored", Outcome && Outcome->Applied ? "yes" : "no"}});
}

} // namespace sardinerill::site
