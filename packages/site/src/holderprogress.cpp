#include "holder.h"

#include "unixtime.h"

#include <algorithm>
#include <charconv>

/// \file
/// Stores the progress of jobs. Every transaction expects and rewrites the head
/// row, so that progress is stored in order or not at all.

namespace sardinerill::site {

namespace {

constexpr milliseconds RetryPause{100};
/// Progress rows in one transaction. The table accepts up to 100 entries,
/// including those for the head row.
constexpr std::size_t MaxRowsPerTransaction = 90;
constexpr seconds RemovalInterval{20};

/// Name of a transaction on progress, stored in the head row.
std::string batchId(std::int64_t Token, std::int64_t Number) {
  return std::to_string(Token) + ":" + std::to_string(Number);
}

/// \returns the token of the holder that wrote \p BatchId; 0 if it can't be
/// read.
std::int64_t tokenOf(const std::string &BatchId) {
  std::int64_t Token = 0;
  std::from_chars(BatchId.data(), BatchId.data() + BatchId.size(), Token);
  return Token;
}

} // namespace

Async<bool> Holder::claimProgressHead() {
  const RowKey Key = progressHeadKey();
  RowRange Range{Key.Table, Key.Partition, Key.Key, Key.Key + "!"};
  const auto Page =
      co_await this->Deps.Store.read(std::move(Range), StoreTimeout);
  if (!Page)
    co_return false;
  const std::string BatchId = batchId(this->Claim.Token, 0);
  std::int64_t Version = 0;
  for (const Row &StoredRow : Page->Rows) {
    Version = StoredRow.Version;
    if (StoredRow.Value == BatchId) { // An earlier attempt was applied.
      this->HeadVersion = Version;
      co_return true;
    }
    // This holder was cut off before it got here, and has been succeeded.
    if (tokenOf(StoredRow.Value) > this->Claim.Token) {
      this->Ownership.markSuperseded();
      co_return false;
    }
  }
  Transaction Change;
  Change.Preconditions.push_back({Key, Version});
  Change.Writes.push_back({Key, BatchId});
  const auto Outcome =
      co_await this->Deps.Store.transact(std::move(Change), StoreTimeout);
  if (!Outcome || !Outcome->Applied)
    co_return false; // The previous holder stored progress in between.
  this->HeadVersion = Outcome->Version;
  co_return true;
}

Async<bool>
Holder::storeProgressBatch(std::span<const ProgressChange> Changes) {
  const std::string BatchId = batchId(this->Claim.Token, ++this->BatchNumber);
  while (true) {
    const Duration Remaining = this->StoreDeadline - this->Deps.Clock.now();
    if (Remaining <= Duration::zero())
      co_return false;
    Transaction Batch;
    Batch.Preconditions.push_back({progressHeadKey(), this->HeadVersion});
    Batch.Writes.push_back({progressHeadKey(), BatchId});
    for (const ProgressChange &Change : Changes)
      Batch.Writes.push_back({JobTable::progressKey(Change.Job), Change.Text});
    const Instant SentAt = this->Deps.Clock.now();
    const auto Outcome = co_await this->Deps.Store.transact(
        std::move(Batch), std::min(this->StoreLimit.current(), Remaining));
    if (Outcome)
      this->StoreLimit.recordAnswer(this->Deps.Clock.now() - SentAt);
    else
      this->StoreLimit.recordTimeout(this->Deps.Store.reachable());
    if (Outcome && Outcome->Applied) {
      this->HeadVersion = Outcome->Version;
      co_return true;
    }
    if (Outcome) {
      // An earlier attempt at this batch may have been applied although it was
      // not confirmed.
      for (const Row &Current : Outcome->Conflicts)
        if (Current.Id == progressHeadKey() && Current.Value == BatchId) {
          this->HeadVersion = Current.Version;
          co_return true;
        }
      this->Ownership.markSuperseded();
      co_return false;
    }
    const bool StopsWithoutDeadline =
        this->Context->Stopped && this->StoreDeadline == Instant::max();
    if (StopsWithoutDeadline)
      co_return false;
    this->Deps.Stats.countRetry(RetryReason::PlatformTimeout);
    co_await sleepFor(RetryPause);
  }
}

Async<bool> Holder::storeProgress() {
  const std::vector<ProgressChange> Changes = this->JobScheduler.takeProgress();
  for (std::size_t Done = 0; Done < Changes.size();) {
    const std::size_t Count =
        std::min(MaxRowsPerTransaction, Changes.size() - Done);
    const std::span Batch(Changes.data() + Done, Count);
    if (!co_await this->storeProgressBatch(Batch))
      co_return false;
    for (const ProgressChange &Stored : Batch)
      if (this->JobScheduler.progressStored(Stored.Job, Stored.Revision))
        this->SchedulingEvent.notify();
    Done += Count;
  }
  co_return true;
}

Async<void> Holder::storeProgressLoop() {
  Instant NextRemoval = this->Deps.Clock.now() + RemovalInterval;
  while (!this->Context->Stopped) {
    co_await this->StoreEvent.wait(seconds(1));
    this->Storing = true;
    co_await this->storeProgress();
    this->Storing = false;
    if (this->Context->Stopped || this->Ownership.isLost())
      co_return;
    this->publishGauges();
    const Instant Now = this->Deps.Clock.now();
    if (Now < NextRemoval)
      continue;
    NextRemoval = Now + RemovalInterval;
    co_await this->removeExpiredJobs(Now);
  }
}

Async<void> Holder::removeExpiredJobs(Instant Now) {
  std::vector<JobId> Expired = this->JobScheduler.takeExpired(Now);
  // A job of the same id may have been accepted since.
  std::ranges::copy_if(
      this->Unremoved, std::back_inserter(Expired),
      [this](const JobId &Job) { return !this->JobScheduler.hasJob(Job); });
  this->Unremoved = co_await this->Deps.Jobs.remove(std::move(Expired));
}

Async<bool> Holder::flush(Instant Deadline) {
  this->StoreDeadline = Deadline;
  constexpr milliseconds PollInterval{20};
  while (this->Storing && this->Deps.Clock.now() < Deadline)
    co_await sleepFor(PollInterval);
  if (this->Ownership.isLost())
    co_return true;
  if (this->Storing)
    co_return false;
  co_return co_await this->storeProgress();
}

} // namespace sardinerill::site
