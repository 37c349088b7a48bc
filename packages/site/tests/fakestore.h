#pragma once

#include "async.h"

#include "sardinerill/site/istore.h"

#include <deque>
#include <functional>
#include <map>

/// \file
/// In-memory implementation of the table with fault injection.

namespace sardinerill::site::testing {

enum class CallFault {
  None,
  NotDone, ///< Fails with an error that says that nothing was done.
  Lost,    ///< Applied, but the answer is lost.
  Late,    ///< No answer; applied when the test calls applyLate().
  Hangs,   ///< Waits until the test sets MayAnswer; then as None.
};

class FakeStore : public IStore {
public:
  Async<Result<TransactionOutcome>> transact(Transaction Change,
                                             Duration Timeout) override {
    ++this->Transactions;
    if (this->AnswerTimeOf && Timeout < this->AnswerTimeOf(Change)) {
      this->apply(Change);
      co_return makeError(ErrorKind::PlatformOutcomeUnknown, "timed out");
    }
    const CallFault Fault = this->nextFault();
    if (Fault == CallFault::NotDone)
      co_return makeError(ErrorKind::PlatformUnavailable, "busy");
    if (Fault == CallFault::Late) {
      this->LateTransactions.push_back(std::move(Change));
      co_return makeError(ErrorKind::PlatformOutcomeUnknown, "late");
    }
    while (Fault == CallFault::Hangs && !this->MayAnswer)
      co_await sleepFor(milliseconds(1));
    const TransactionOutcome Outcome = this->apply(Change);
    if (Fault == CallFault::Lost)
      co_return makeError(ErrorKind::PlatformOutcomeUnknown, "lost");
    co_return Outcome;
  }

  Async<Result<RowPage>> read(RowRange Range, Duration) override {
    if (this->OnRead)
      this->OnRead();
    if (this->nextFault() != CallFault::None)
      co_return makeError(ErrorKind::PlatformUnavailable, "busy");
    const bool IsOld = ++this->Reads == this->OldRead;
    RowPage Page{.NewestVersion = IsOld ? this->OldVersion : this->Version};
    for (const auto &[Key, StoredRow] : IsOld ? this->OldRows : this->Rows)
      if (Key.Table == Range.Table && Key.Partition == Range.Partition &&
          Key.Key >= Range.From && (Range.To.empty() || Key.Key < Range.To)) {
        if (Page.Rows.size() >= this->PageSize ||
            (Range.Limit > 0 && Page.Rows.size() >= std::size_t(Range.Limit))) {
          Page.HasMore = true;
          break;
        }
        Page.Rows.push_back(StoredRow);
      }
    if (Page.Rows.size() > this->MaxRowsInTime)
      co_return makeError(ErrorKind::PlatformOutcomeUnknown, "timed out");
    co_return Page;
  }

  Async<Result<RowPage>> waitForChanges(std::string Table, std::int64_t After,
                                        Duration) override {
    RowPage Page{.NewestVersion = this->Version};
    for (const auto &[Key, StoredRow] : this->Rows)
      if (Key.Table == Table && StoredRow.Version > After)
        Page.Rows.push_back(StoredRow);
    if (Page.Rows.empty())
      co_await sleepFor(milliseconds(5)); // Instead of the long poll.
    co_return Page;
  }

  void setRelays(std::vector<Endpoint>) override {}
  void setRelayObserver(PeerAnswerObserver) override {}
  bool reachable() const override {
    return this->Reachable &&
           (this->MaxReachableTransactions < 0 ||
            this->Transactions < this->MaxReachableTransactions);
  }
  bool usesRelays() const override { return this->Relayed; }
  std::int64_t newestVersion() const override { return this->Version; }
  Async<HttpResponse> relay(HttpRequest) override {
    co_return HttpResponse{.Status = 503};
  }

  TransactionOutcome apply(const Transaction &Change) {
    TransactionOutcome Outcome{.Applied = true};
    for (const RowPrecondition &Precondition : Change.Preconditions) {
      const auto Found = this->Rows.find(Precondition.Id);
      const std::int64_t CurrentVersion =
          Found == this->Rows.end() ? 0 : Found->second.Version;
      if (CurrentVersion != Precondition.Version)
        Outcome.Applied = false;
      Row Current{.Id = Precondition.Id};
      if (Found != this->Rows.end())
        Current = Found->second;
      Outcome.Conflicts.push_back(Current);
    }
    if (!Outcome.Applied)
      return Outcome;
    Outcome.Conflicts.clear();
    ++this->Version;
    for (const RowWrite &Write : Change.Writes)
      this->Rows[Write.Id] = {Write.Id, Write.Value, this->Version};
    for (const RowKey &Key : Change.Deletes)
      this->Rows.erase(Key);
    Outcome.Version = this->Version;
    return Outcome;
  }

  /// Keeps the present state for a read that is old; see OldRead.
  void keepOldState() {
    this->OldRows = this->Rows;
    this->OldVersion = this->Version;
    this->Reads = 0;
  }

  void applyLate() {
    for (const Transaction &Change : std::exchange(this->LateTransactions, {}))
      this->apply(Change);
  }

  std::map<RowKey, Row> Rows;
  std::int64_t Version = 0;
  std::deque<CallFault> Faults; ///< Faults of the next calls, in order.
  std::vector<Transaction> LateTransactions;
  std::map<RowKey, Row> OldRows;
  std::int64_t OldVersion = 0;
  int Reads = 0;
  int OldRead = 0; ///< Number, from 1, of a read that returns the old state.
  bool Relayed = false; ///< See usesRelays().
  std::size_t PageSize = 500;
  std::function<void()> OnRead; ///< Called at the beginning of each read.
  /// A read that returns more rows than this gets no answer, as on a slow link.
  std::size_t MaxRowsInTime = 1000000;
  /// \returns how long a transaction takes; one that is given up before is
  /// applied nevertheless. May be empty.
  std::function<Duration(const Transaction &)> AnswerTimeOf;
  int Transactions = 0;
  bool Reachable = true;
  bool MayAnswer = false; ///< Ends CallFault::Hangs.
  /// Number of transactions after which the store is unreachable; -1: no limit.
  int MaxReachableTransactions = -1;

private:
  CallFault nextFault() {
    if (this->Faults.empty())
      return CallFault::None;
    const CallFault Next = this->Faults.front();
    this->Faults.pop_front();
    return Next;
  }
};

/// Runs \p Work to completion. \returns its result.
template <typename T>
T runToEnd(boost::asio::io_context &Context, std::function<Async<T>()> Work) {
  std::optional<T> Outcome;
  boost::asio::co_spawn(
      Context, [&]() -> Async<void> { Outcome = co_await Work(); },
      [&](std::exception_ptr Error) {
        if (Error)
          std::rethrow_exception(Error);
      });
  Context.restart();
  Context.run();
  return std::move(*Outcome);
}

} // namespace sardinerill::site::testing
