#include "jobtable.h"

#include "sardinerill/base/adaptivetimelimit.h"
#include "sardinerill/base/logging.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sardinerill::site {

namespace {

constexpr std::string_view JobsTable = "jobs";
constexpr std::string_view ProgressTable = "progress";
constexpr std::string_view ProgressPartition = "p";
constexpr std::string_view CancelSuffix = ".cancelled";
/// Number of partitions that jobs are spread over. One partition handles about
/// 200 transactions a second, and far fewer while the table is slow.
constexpr std::size_t PartitionCount = 8;
/// Limits of one transaction; the table accepts up to 100 entries and 1 MB.
constexpr std::size_t MaxJobsPerTransaction = 40;
constexpr std::size_t MaxBytesPerTransaction = 600 * 1024;
/// Timeout of one call. The table usually answers within 5 ms, but may be 60
/// times slower.
constexpr milliseconds CallTimeout{900};
/// Rows of the first page of a load, and the bounds between which this number
/// adapts: a page of 500 rows may have 1 MB, which a link of 10 Mbit/s that
/// eight loads share can't carry within CallTimeout.
constexpr int FirstPageRows = 64;
constexpr int MinPageRows = 8;
constexpr int MaxPageRows = 500;
/// Pages that arrive within this time are followed by larger ones.
constexpr milliseconds FastPageTime{150};
/// A load fails if no page arrives for this long.
constexpr milliseconds MaxLoadStall{3000};
/// Pause before a failed call is retried.
constexpr milliseconds RetryPause{60};
/// Shortest wait for the outcome of a submission, so that it is tried once.
constexpr milliseconds MinCompletionWait{1};
/// Retry delay sent to callers when the table can't be reached.
constexpr milliseconds RetryAfter{1000};
/// Longest time after which the table carries out a transaction that it has not
/// answered. It may be seconds; the rest is margin.
constexpr seconds MaxLateTransaction{30};
/// Jobs whose rows in the jobs table, two for each, are deleted in one
/// transaction; the table accepts up to 100 entries.
constexpr std::size_t MaxRemovalsPerTransaction = 45;

std::size_t partitionIndexOf(const JobId &Job) {
  // Must be the same in every daemon and every release, since rows are looked
  // up by it.
  constexpr std::size_t Multiplier = 31;
  std::size_t Sum = 0;
  for (const unsigned char Byte : Job.str())
    Sum = Sum * Multiplier + Byte;
  return Sum % PartitionCount;
}

std::string partitionName(std::size_t Index) {
  return "j" + std::to_string(Index);
}

std::string partitionOf(const JobId &Job) {
  return partitionName(partitionIndexOf(Job));
}

RowKey jobKey(const JobId &Job) {
  return {std::string(JobsTable), partitionOf(Job), Job.str()};
}

RowKey cancelKey(const JobId &Job) {
  RowKey Key = jobKey(Job);
  Key.Key += CancelSuffix;
  return Key;
}

std::optional<JobChange> decodeRow(const Row &StoredRow) {
  if (StoredRow.Removed)
    return std::nullopt;
  const std::string &Key = StoredRow.Id.Key;
  if (Key.ends_with(CancelSuffix))
    return JobChange{.Job =
                         JobId(Key.substr(0, Key.size() - CancelSuffix.size())),
                     .Cancelled = true,
                     .Version = StoredRow.Version};
  auto Spec = decodeJob(StoredRow.Value);
  if (!Spec) {
    logEvent(LogLevel::Error, "job.row_skipped",
             {{"job", Key}, {"reason", Spec.error().Detail}});
    return std::nullopt;
  }
  return JobChange{
      .Job = Spec->Id, .Spec = std::move(*Spec), .Version = StoredRow.Version};
}

/// \returns the row of a job that ended in \p State. Upstreams may still run
/// its tasks, so that its steps are kept.
JobChange endedChange(const Row &StoredRow, JobState State) {
  JobChange Ended = decodeRow(StoredRow).value_or(
      JobChange{.Job = JobId(StoredRow.Id.Key), .Version = StoredRow.Version});
  Ended.FinalState = State;
  if (Ended.Spec)
    Ended.Spec->Payload.clear();
  return Ended;
}

bool isEnded(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

} // namespace

std::string encodeChange(const JobChange &Change) {
  return nlohmann::json{
      {"job", Change.Job.str()},
      {"cancelled", Change.Cancelled},
      {"version", Change.Version},
      {"spec", Change.Spec ? encodeJob(*Change.Spec) : std::string()}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<JobChange> decodeChange(const std::string &Text) {
  try {
    const auto Json = nlohmann::json::parse(Text);
    JobChange Change{.Job = JobId(Json.at("job").get<std::string>()),
                     .Cancelled = Json.at("cancelled"),
                     .Version = Json.at("version")};
    if (const std::string Spec = Json.at("spec"); !Spec.empty()) {
      auto Decoded = decodeJob(Spec);
      if (!Decoded)
        return tl::unexpected(Decoded.error());
      Change.Spec = std::move(*Decoded);
    }
    return Change;
  } catch (const nlohmann::json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

struct JobTable::Submission {
  Submission(boost::asio::any_io_executor Executor, JobSpec Spec,
             Instant Deadline)
      : Spec(std::move(Spec)), Deadline(Deadline), Completion(Executor) {}
  JobSpec Spec;
  Instant Deadline;
  AsyncEvent Completion;
  /// A transaction with it is under way or had an unknown outcome.
  bool MayBeStored = false;
  bool IsCompleted = false;
  Result<std::int64_t> Outcome = 0;

  void complete(Result<std::int64_t> Value) {
    if (this->IsCompleted)
      return; // The caller was told that the outcome is unknown.
    this->Outcome = std::move(Value);
    this->IsCompleted = true;
    this->Completion.notify();
  }

  void giveUp() {
    this->complete(
        makeError(this->MayBeStored ? ErrorKind::PlatformOutcomeUnknown
                                    : ErrorKind::PlatformUnavailable,
                  "the job could not be stored in time", RetryAfter));
  }
};

struct JobTable::PartitionQueue {
  std::deque<std::shared_ptr<Submission>> Submissions;
  bool IsProcessing = false;
};

JobTable::JobTable(boost::asio::any_io_executor Executor, IStore &Store,
                   const IClock &Clock, Metrics &Stats)
    : Executor(Executor), Store(Store), Clock(Clock), Stats(Stats) {
  for (std::size_t Index = 0; Index < PartitionCount; ++Index)
    this->PartitionQueues.push_back(std::make_shared<PartitionQueue>());
}

JobTable::~JobTable() = default;

RowKey JobTable::progressKey(const JobId &Job) {
  return {std::string(ProgressTable), std::string(ProgressPartition),
          Job.str()};
}

Duration JobTable::callTimeout(Instant Deadline) const {
  return std::clamp<Duration>(Deadline - this->Clock.now(), MinCompletionWait,
                              CallTimeout);
}

std::shared_ptr<JobTable::PartitionQueue>
JobTable::queueOf(const JobId &Job) const {
  return this->PartitionQueues[partitionIndexOf(Job)];
}

Async<Result<std::int64_t>> JobTable::accept(JobSpec Spec, Instant Deadline) {
  if (!this->Store.reachable())
    co_return makeError(ErrorKind::PlatformUnavailable,
                        "the table can't be reached", RetryAfter);
  const std::shared_ptr<PartitionQueue> Queue = this->queueOf(Spec.Id);
  auto Entry =
      std::make_shared<Submission>(this->Executor, std::move(Spec), Deadline);
  Queue->Submissions.push_back(Entry);
  if (!std::exchange(Queue->IsProcessing, true)) {
    spawn(this->Executor, "job-acceptance",
          [this, Queue] { return this->processQueue(Queue); });
  }
  // The table may not answer until long after the caller has left.
  while (!Entry->IsCompleted) {
    co_await Entry->Completion.wait(std::max<Duration>(
        Entry->Deadline - this->Clock.now(), MinCompletionWait));
    if (this->Clock.now() >= Entry->Deadline)
      Entry->giveUp();
  }
  const Instant Now = this->Clock.now();
  std::erase_if(this->UncertainUntil,
                [&](const auto &Known) { return Known.second <= Now; });
  if (!Entry->Outcome &&
      Entry->Outcome.error().Kind == ErrorKind::PlatformOutcomeUnknown)
    this->UncertainUntil[Entry->Spec.Id] = Now + MaxLateTransaction;
  co_return Entry->Outcome;
}

Async<void> JobTable::processQueue(std::shared_ptr<PartitionQueue> Queue) {
  while (!Queue->Submissions.empty()) {
    co_await this->commit(*Queue);
    const Instant Now = this->Clock.now();
    std::erase_if(Queue->Submissions, [&](const auto &Entry) {
      if (Entry->IsCompleted)
        return true;
      if (Now < Entry->Deadline && this->Store.reachable())
        return false;
      Entry->giveUp();
      return true;
    });
  }
  Queue->IsProcessing = false;
}

Async<void> JobTable::commit(PartitionQueue &Queue) {
  Transaction Change;
  std::vector<std::shared_ptr<Submission>> Batch;
  std::size_t Bytes = 0;
  for (const auto &Entry : Queue.Submissions) {
    if (Entry->IsCompleted)
      continue;
    const bool IsDuplicate = std::ranges::any_of(Batch, [&](const auto &Other) {
      return Other->Spec.Id == Entry->Spec.Id;
    });
    if (IsDuplicate)
      continue;
    std::string Text = encodeJob(Entry->Spec);
    Bytes += Text.size();
    if (!Batch.empty() && (Batch.size() >= MaxJobsPerTransaction ||
                           Bytes > MaxBytesPerTransaction))
      break;
    const RowKey Key = jobKey(Entry->Spec.Id);
    Change.Preconditions.push_back({Key, 0});
    Change.Writes.push_back({Key, std::move(Text)});
    Batch.push_back(Entry);
  }
  if (Batch.empty())
    co_return;
  std::vector<bool> Uncertain; // Before this transaction.
  Uncertain.reserve(Batch.size());
  for (const auto &Entry : Batch)
    Uncertain.push_back(std::exchange(Entry->MayBeStored, true));
  const auto Outcome =
      co_await this->Store.transact(std::move(Change), CallTimeout);
  if (!Outcome) {
    const bool OutcomeUnknown =
        Outcome.error().Kind == ErrorKind::PlatformOutcomeUnknown;
    for (std::size_t Index = 0; Index < Batch.size(); ++Index)
      Batch[Index]->MayBeStored = Uncertain[Index] || OutcomeUnknown;
    this->Stats.countRetry(RetryReason::PlatformTimeout);
    co_await sleepFor(RetryPause);
    co_return;
  }
  for (std::size_t Index = 0; Index < Batch.size(); ++Index) {
    const auto &Entry = Batch[Index];
    const RowKey Key = jobKey(Entry->Spec.Id);
    const bool Exists =
        std::ranges::any_of(Outcome->Conflicts, [&](const Row &Other) {
          return Other.Id == Key && Other.Version != 0;
        });
    // The caller chooses the id, so an existing row is treated as an earlier
    // submission of the same job.
    if (Outcome->Applied || Exists)
      Entry->complete(Outcome->Applied ? Outcome->Version : 0);
    else // The transaction failed on another row: nothing of it is stored.
      Entry->MayBeStored = Uncertain[Index];
  }
}

Async<bool> JobTable::isCertainlyAbsent(JobId Job, Instant Deadline) {
  const auto Uncertain = this->UncertainUntil.find(Job);
  const bool UnderWay = std::ranges::any_of(
      this->queueOf(Job)->Submissions,
      [&](const auto &Entry) { return Entry->Spec.Id == Job; });
  if (UnderWay || (Uncertain != this->UncertainUntil.end() &&
                   this->Clock.now() < Uncertain->second))
    co_return false;
  // Reads may show an old state, transactions don't. The second precondition
  // never holds, since a cancellation is only stored after its job: the
  // transaction is never applied, and its conflicts contain the job's row if
  // there is one.
  Transaction Check;
  Check.Preconditions.push_back({jobKey(Job), 0});
  Check.Preconditions.push_back({cancelKey(Job), 1});
  const auto Outcome = co_await this->Store.transact(
      std::move(Check), this->callTimeout(Deadline));
  co_return Outcome && !Outcome->Applied &&
      std::ranges::none_of(Outcome->Conflicts, [](const Row &Existing) {
        return Existing.Version != 0;
      });
}

Async<Result<StoredJob>> JobTable::find(JobId Job, Instant Deadline) {
  const RowKey Key = jobKey(Job);
  // '~' sorts after the suffix of the cancellation's key. The range contains no
  // rows of other jobs if all ids have the same length.
  const std::string EndKey = Job.str() + "~";
  while (true) {
    auto Page =
        co_await this->Store.read({Key.Table, Key.Partition, Key.Key, EndKey},
                                  this->callTimeout(Deadline));
    if (Page) {
      std::optional<StoredJob> Found;
      bool Cancelled = false;
      for (const Row &StoredRow : Page->Rows) {
        auto Change = decodeRow(StoredRow);
        if (!Change || Change->Job != Job)
          continue;
        Cancelled = Cancelled || Change->Cancelled;
        if (Change->Spec)
          Found = StoredJob{.Spec = std::move(*Change->Spec),
                            .Version = Change->Version};
      }
      if (!Found)
        co_return makeError(ErrorKind::JobNotFound, "no such job");
      Found->Cancelled = Cancelled;
      const RowKey ProgressKey = progressKey(Job);
      const auto Progress = co_await this->Store.read(
          {ProgressKey.Table, ProgressKey.Partition, ProgressKey.Key, EndKey},
          this->callTimeout(Deadline));
      if (Progress && !Progress->Rows.empty())
        if (auto Decoded = decodeProgress(Progress->Rows.front().Value))
          Found->Progress = std::move(*Decoded);
      if (Progress)
        co_return std::move(*Found);
    }
    if (this->Clock.now() + RetryPause >= Deadline)
      co_return makeError(ErrorKind::PlatformUnavailable,
                          "the job could not be read in time",
                          milliseconds(1000));
    co_await sleepFor(RetryPause);
  }
}

Async<Result<void>> JobTable::cancel(StoredJob Job, Instant Deadline) {
  bool MayBeStored = false;
  while (true) {
    Transaction Change;
    Change.Preconditions.push_back({jobKey(Job.Spec.Id), Job.Version});
    Change.Writes.push_back({cancelKey(Job.Spec.Id), "{}"});
    const auto Outcome = co_await this->Store.transact(
        std::move(Change), this->callTimeout(Deadline));
    if (Outcome && Outcome->Applied)
      co_return Result<void>();
    if (Outcome) // The job ended long ago and was removed meanwhile.
      co_return makeError(ErrorKind::JobNotFound, "no such job");
    MayBeStored = MayBeStored ||
                  Outcome.error().Kind == ErrorKind::PlatformOutcomeUnknown;
    if (this->Clock.now() + RetryPause >= Deadline)
      co_return makeError(MayBeStored ? ErrorKind::PlatformOutcomeUnknown
                                      : ErrorKind::PlatformUnavailable,
                          "the cancellation could not be stored in time",
                          milliseconds(1000));
    co_await sleepFor(RetryPause);
  }
}

Async<Result<RowPage>> JobTable::readFresh(RowRange Range,
                                           std::int64_t AtLeast) {
  RowPage AllRows;
  Range.Limit = FirstPageRows;
  int LargestPage = MaxPageRows;
  // Smaller pages alone don't help if the table itself is slow.
  AdaptiveTimeLimit Limit(CallTimeout, MaxLoadStall);
  Instant ProgressAt = this->Clock.now();
  for (bool IsFirst = true, More = true; More;) {
    const Instant SentAt = this->Clock.now();
    auto Page = co_await this->Store.read(Range, Limit.current());
    const Instant Now = this->Clock.now();
    if (!Page) {
      Limit.recordTimeout(this->Store.reachable());
      if (Now - ProgressAt >= MaxLoadStall)
        co_return tl::unexpected(Page.error());
      // The page may be too large for the link. What has arrived is kept.
      LargestPage = std::max(MinPageRows, Range.Limit / 2);
      Range.Limit = LargestPage;
      co_await sleepFor(RetryPause);
      continue;
    }
    if (Page->NewestVersion < AtLeast)
      co_return makeError(ErrorKind::PlatformUnavailable,
                          "read at version " +
                              std::to_string(Page->NewestVersion) +
                              ", older than " + std::to_string(AtLeast));
    ProgressAt = Now;
    if (Now - SentAt < FastPageTime)
      Range.Limit = std::min(LargestPage, 2 * Range.Limit);
    More = appendPage(std::move(*Page), std::exchange(IsFirst, false), Range,
                      AllRows);
  }
  co_return AllRows;
}

Async<Result<StoredJobs>> JobTable::loadPartition(std::size_t Index,
                                                  const StoredJobs &Loaded,
                                                  std::int64_t AtLeast) {
  StoredJobs Partition;
  RowRange Range{std::string(JobsTable), partitionName(Index), "", ""};
  auto Page = co_await this->readFresh(std::move(Range), AtLeast);
  if (!Page)
    co_return tl::unexpected(Page.error());
  Partition.Version = Page->NewestVersion;
  for (const Row &StoredRow : Page->Rows) {
    const JobId Job(StoredRow.Id.Key);
    const auto Progress = Loaded.Progress.find(Job);
    if (Progress != Loaded.Progress.end() && isEnded(Progress->second.State)) {
      Partition.Changes.push_back(
          endedChange(StoredRow, Progress->second.State));
    } else if (auto Change = decodeRow(StoredRow)) {
      Partition.Changes.push_back(std::move(*Change));
    }
  }
  co_return Partition;
}

Async<Result<StoredJobs>> JobTable::loadAll(std::int64_t AtLeast) {
  StoredJobs Loaded;
  RowRange Range{std::string(ProgressTable), std::string(ProgressPartition), "",
                 ""};
  auto Progress = co_await this->readFresh(std::move(Range), AtLeast);
  if (!Progress)
    co_return tl::unexpected(Progress.error());
  // In an older state, removed jobs would appear without their progress.
  AtLeast = std::max(AtLeast, Progress->NewestVersion);
  for (const Row &StoredRow : Progress->Rows)
    if (auto Decoded = decodeProgress(StoredRow.Value))
      Loaded.Progress[JobId(StoredRow.Id.Key)] = std::move(*Decoded);
  // The partitions are read in parallel: with a slow table, all of them take as
  // long as one.
  std::vector<Result<StoredJobs>> Partitions(PartitionCount);
  std::size_t Remaining = PartitionCount;
  auto Finished = std::make_shared<AsyncEvent>(this->Executor);
  for (std::size_t Index = 0; Index < PartitionCount; ++Index)
    spawn(this->Executor, "job-load",
          [this, Index, &Loaded, &Partitions, &Remaining, Finished,
           AtLeast]() -> Async<void> {
            Partitions[Index] =
                co_await this->loadPartition(Index, Loaded, AtLeast);
            if (--Remaining == 0)
              Finished->notify();
          });
  while (Remaining > 0)
    co_await Finished->wait(seconds(1));
  std::vector<JobChange> Cancelled;
  for (std::size_t Index = 0; Index < PartitionCount; ++Index) {
    if (!Partitions[Index])
      co_return tl::unexpected(Partitions[Index].error());
    Loaded.Version = Index == 0
                         ? Partitions[Index]->Version
                         : std::min(Loaded.Version, Partitions[Index]->Version);
    for (JobChange &Change : Partitions[Index]->Changes)
      (Change.Cancelled ? Cancelled : Loaded.Changes)
          .push_back(std::move(Change));
  }
  Loaded.Changes.insert(Loaded.Changes.end(), Cancelled.begin(),
                        Cancelled.end());
  co_return Loaded;
}

Async<Result<std::vector<JobChange>>>
JobTable::waitForChanges(std::int64_t &Version, Duration Wait) {
  const auto Page = co_await this->Store.waitForChanges(std::string(JobsTable),
                                                        Version, Wait);
  if (!Page)
    co_return tl::unexpected(Page.error());
  std::vector<JobChange> Changes;
  for (const Row &StoredRow : Page->Rows)
    if (auto Change = decodeRow(StoredRow))
      Changes.push_back(std::move(*Change));
  Version = std::max(Version, Page->NewestVersion);
  co_return Changes;
}

Async<bool> JobTable::deleteRows(std::vector<RowKey> Keys) {
  const RowKey First = Keys.front();
  const std::size_t Rows = Keys.size();
  Transaction Change;
  Change.Deletes = std::move(Keys);
  const auto Outcome =
      co_await this->Store.transact(std::move(Change), CallTimeout);
  if (Outcome)
    co_return true;
  logEvent(LogLevel::Warning, "job.removal_failed",
           {{"table", First.Table},
            {"partition", First.Partition},
            {"rows", std::to_string(Rows)},
            {"reason", Outcome.error().Detail}});
  co_return false;
}

Async<std::vector<JobId>> JobTable::remove(std::vector<JobId> Jobs) {
  // Groups the jobs of a transaction: they share a partition.
  std::ranges::sort(Jobs, {}, partitionIndexOf);
  for (auto Begin = Jobs.begin(); Begin != Jobs.end();) {
    std::vector<RowKey> JobRows;
    std::vector<RowKey> ProgressRows;
    auto End = Begin;
    for (;
         End != Jobs.end() && ProgressRows.size() < MaxRemovalsPerTransaction &&
         partitionIndexOf(*End) == partitionIndexOf(*Begin);
         ++End) {
      JobRows.push_back(jobKey(*End));
      JobRows.push_back(cancelKey(*End));
      ProgressRows.push_back(progressKey(*End));
    }
    // A job without progress would run again, so its progress is kept until its
    // own rows are certainly gone.
    if (!co_await this->deleteRows(std::move(JobRows)) ||
        !co_await this->deleteRows(std::move(ProgressRows)))
      co_return std::vector<JobId>(Begin, Jobs.end());
    Begin = End;
  }
  co_return std::vector<JobId>{};
}

} // namespace sardinerill::site
