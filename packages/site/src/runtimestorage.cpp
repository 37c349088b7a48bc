#include "runtimestorage.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"

namespace sardinerill::site {

namespace {

constexpr milliseconds StoreTimeout{900};

} // namespace

Async<Result<RunTimeSummary>> RunTimeStorage::load() {
  const RowKey Key = runTimesKey();
  RowRange Range{Key.Table, Key.Partition, Key.Key, Key.Key + "!"};
  const auto Page = co_await this->Store.read(std::move(Range), StoreTimeout);
  if (!Page)
    co_return makeError(Page.error().Kind, Page.error().Detail);
  if (Page->Rows.empty()) {
    logEvent(LogLevel::Info, "runtimes.none_stored");
    co_return RunTimeSummary{};
  }
  const std::string &Encoded = Page->Rows.front().Value;
  auto Summary = decodeSummary(Encoded);
  if (!Summary) {
    this->Stats.count("run_times_unreadable_total");
    logEvent(LogLevel::Warning, "runtimes.unreadable",
             {{"bytes", std::to_string(Encoded.size())},
              {"reason", Summary.error().Detail}});
    co_return RunTimeSummary{};
  }
  logEvent(LogLevel::Info, "runtimes.loaded",
           {{"keys", std::to_string(Summary->Entries.size())},
            {"bytes", std::to_string(Encoded.size())}});
  co_return std::move(*Summary);
}

Async<void> RunTimeStorage::storeIfDue(const RunTimeModel &Learned,
                                       Instant Now) {
  const std::uint64_t Revision = Learned.revision();
  const bool Recent = this->WrittenAt && Now - *this->WrittenAt < WriteInterval;
  if (Recent || Revision == this->StoredRevision)
    co_return;
  this->WrittenAt = Now;
  std::string Encoded = encodeSummary(Learned.summary());
  const std::size_t Bytes = Encoded.size();
  Transaction Change;
  Change.Preconditions.push_back({epochKey(), this->Ownership.token()});
  Change.Writes.push_back({runTimesKey(), std::move(Encoded)});
  const auto Outcome =
      co_await this->Store.transact(std::move(Change), StoreTimeout);
  if (!Outcome) {
    this->Stats.countRetry(RetryReason::PlatformTimeout);
    co_return;
  }
  if (!Outcome->Applied) {
    this->Ownership.markSuperseded();
    co_return;
  }
  this->StoredRevision = Revision;
  this->Stats.setGauge("run_times_stored_bytes", double(Bytes));
}

} // namespace sardinerill::site
