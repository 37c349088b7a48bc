#include "fakestore.h"
#include "jobtable.h"
#include "sardinerill/site/storereachability.h"
#include "unixtime.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

JobSpec jobOf(const std::string &Id) {
  return {.Id = JobId(Id),
          .Queue = {.Id = QueueId("q"), .Pool = PoolId("p")},
          .Payload = "payload",
          .Steps = {{.Count = 1, .Requested = {1000, 1, 0}}}};
}

struct JobTableFixture {
  boost::asio::io_context Context;
  FakeStore Store;
  ManualClock Clock;
  Metrics Stats;
  JobTable Jobs{Context.get_executor(), Store, Clock, Stats};

  Result<std::int64_t> accept(const std::string &Id, int WithinMs = 1000) {
    return runToEnd<Result<std::int64_t>>(this->Context, [&, Id, WithinMs] {
      return this->Jobs.accept(jobOf(Id),
                               this->Clock.now() + milliseconds(WithinMs));
    });
  }
  Result<StoredJobs> load() {
    return runToEnd<Result<StoredJobs>>(this->Context,
                                        [&] { return this->Jobs.loadAll(); });
  }
  /// Stores \p Count jobs that have completed.
  std::vector<JobId> storeCompleted(int Count) {
    std::vector<JobId> Ids;
    for (int Index = 0; Index < Count; ++Index) {
      Ids.emplace_back("job" + std::to_string(Index));
      REQUIRE(this->accept(Ids.back().str()).has_value());
      Transaction End;
      End.Writes.push_back({JobTable::progressKey(Ids.back()),
                            encodeProgress({.State = JobState::Completed})});
      this->Store.apply(End);
    }
    return Ids;
  }
  /// \returns the jobs that may have rows left.
  std::vector<JobId> remove(const std::vector<JobId> &Ids) {
    return runToEnd<std::vector<JobId>>(this->Context,
                                        [&] { return this->Jobs.remove(Ids); });
  }
};

} // namespace

TEST_CASE("a job that is submitted twice is stored once") {
  JobTableFixture Fixture;
  CHECK(Fixture.accept("a").value() > 0);
  CHECK(Fixture.accept("a").value() == 0);
  CHECK(Fixture.load()->Changes.size() == 1);
}

TEST_CASE("a submission whose answer was lost is retried and stored once") {
  JobTableFixture Fixture;
  Fixture.Store.Faults = {CallFault::Lost};
  CHECK(Fixture.accept("a").has_value());
  CHECK(Fixture.load()->Changes.size() == 1);
}

TEST_CASE("a submission that failed without effect is not stored") {
  JobTableFixture Fixture;
  Fixture.Store.Faults.assign(3, CallFault::NotDone);
  const auto Refused = Fixture.accept("a", 0);
  REQUIRE_FALSE(Refused.has_value());
  CHECK((Refused.error().Kind == ErrorKind::PlatformUnavailable));
  Fixture.Store.Faults.clear();
  CHECK(Fixture.load()->Changes.empty());
}

TEST_CASE("an unknown outcome is not reported as a refusal") {
  JobTableFixture Fixture;
  Fixture.Store.Faults = {CallFault::Late};
  const auto Unknown = Fixture.accept("a", 0);
  REQUIRE_FALSE(Unknown.has_value());
  CHECK((Unknown.error().Kind == ErrorKind::PlatformOutcomeUnknown));
  Fixture.Store.applyLate();
  CHECK(Fixture.load()->Changes.size() == 1);
}

TEST_CASE("loading reads all pages and lists cancellations after the jobs") {
  JobTableFixture Fixture;
  Fixture.Store.PageSize = 3;
  for (int Index = 0; Index < 40; ++Index)
    REQUIRE(Fixture.accept("job" + std::to_string(Index)).has_value());
  const auto Found = runToEnd<Result<StoredJob>>(Fixture.Context, [&]() {
    return Fixture.Jobs.find(JobId("job7"), Fixture.Clock.now() + seconds(1));
  });
  REQUIRE(Found.has_value());
  const auto Done = runToEnd<Result<void>>(Fixture.Context, [&]() {
    return Fixture.Jobs.cancel(*Found, Fixture.Clock.now() + seconds(1));
  });
  CHECK(Done.has_value());
  const auto Loaded = Fixture.load();
  REQUIRE(Loaded->Changes.size() == 41);
  CHECK(Loaded->Changes.back().Cancelled);
  CHECK(Loaded->Changes.back().Job == JobId("job7"));
}

TEST_CASE("looking up an unknown job fails with JobNotFound") {
  JobTableFixture Fixture;
  const auto Found = runToEnd<Result<StoredJob>>(Fixture.Context, [&]() {
    return Fixture.Jobs.find(JobId("x"), Fixture.Clock.now() + seconds(1));
  });
  REQUIRE_FALSE(Found.has_value());
  CHECK((Found.error().Kind == ErrorKind::JobNotFound));
}

TEST_CASE("jobs that have ended are loaded with their steps, without their "
          "payload") {
  // A new holder could not count their runs without the steps, and filled
  // upstreams beyond their capacity.
  JobTableFixture Fixture;
  REQUIRE(Fixture.accept("a").has_value());
  Transaction Change;
  Change.Writes.push_back({JobTable::progressKey(JobId("a")),
                           encodeProgress({.State = JobState::Completed})});
  Fixture.Store.apply(Change);
  const auto Loaded = Fixture.load();
  REQUIRE(Loaded->Changes.size() == 1);
  CHECK((Loaded->Changes[0].FinalState == JobState::Completed));
  REQUIRE(Loaded->Changes[0].Spec.has_value());
  CHECK(Loaded->Changes[0].Spec->Payload.empty());
  CHECK((Loaded->Changes[0].Spec->Steps == jobOf("a").Steps));
}

TEST_CASE("an ended job whose row can't be decoded keeps its end") {
  JobTableFixture Fixture;
  Transaction Change;
  Change.Writes.push_back({{"jobs", "j0", "b"}, "\xff{"});
  Change.Writes.push_back({JobTable::progressKey(JobId("b")),
                           encodeProgress({.State = JobState::Completed})});
  Fixture.Store.apply(Change);
  const auto Loaded = Fixture.load();
  REQUIRE(Loaded->Changes.size() == 1);
  CHECK((Loaded->Changes[0].FinalState == JobState::Completed));
  CHECK_FALSE(Loaded->Changes[0].Spec.has_value());
}

TEST_CASE("loading skips a row that can't be decoded and keeps the others") {
  JobTableFixture Fixture;
  REQUIRE(Fixture.accept("a").has_value());
  Transaction Change;
  Change.Writes.push_back({{"jobs", "j0", "b"}, "\xff{"});
  Fixture.Store.apply(Change);
  CHECK(Fixture.load()->Changes.size() == 1);
}

TEST_CASE("jobs are not loaded from a state of the table older than the claim "
          "of their progress") {
  // Reads may be seconds old after the table has lost its history. Jobs or
  // their ends were missing then, and tasks that were done ran again.
  JobTableFixture Fixture;
  Fixture.Store.PageSize = 2;
  for (int Index = 0; Index < 20; ++Index)
    REQUIRE(Fixture.accept("job" + std::to_string(Index)).has_value());
  Fixture.Store.keepOldState();
  Transaction End;
  for (int Index = 0; Index < 5; ++Index)
    End.Writes.push_back(
        {JobTable::progressKey(JobId("job" + std::to_string(Index))),
         encodeProgress({.State = JobState::Completed})});
  Fixture.Store.apply(End);
  REQUIRE(Fixture.accept("last").has_value());
  Transaction Claim;
  Claim.Writes.push_back({progressHeadKey(), "claim"});
  const std::int64_t ClaimedAt = Fixture.Store.apply(Claim).Version;
  const auto Load = [&] {
    return runToEnd<Result<StoredJobs>>(
        Fixture.Context, [&] { return Fixture.Jobs.loadAll(ClaimedAt); });
  };
  REQUIRE(Load().has_value());
  const int ReadsOfOneLoad = Fixture.Store.Reads;
  REQUIRE(ReadsOfOneLoad > 11); // Progress and some partitions have pages.
  for (int Old = 1; Old <= ReadsOfOneLoad; ++Old) {
    CAPTURE(Old);
    Fixture.Store.Reads = 0;
    Fixture.Store.OldRead = Old;
    CHECK_FALSE(Load().has_value());
  }
  Fixture.Store.OldRead = 0;
  const auto Fresh = Load();
  REQUIRE(Fresh.has_value());
  CHECK(Fresh->Changes.size() == 21);
  CHECK(Fresh->Progress.size() == 5);
}

TEST_CASE("a job whose removal fails in part does not run again") {
  // Guards against completed jobs that the next holder took for new ones: their
  // rows were left after an outage, and the rows of their progress were not.
  for (const CallFault Fault :
       {CallFault::NotDone, CallFault::Lost, CallFault::Late})
    for (std::size_t Failing = 0;; ++Failing) {
      CAPTURE(static_cast<int>(Fault));
      CAPTURE(Failing);
      JobTableFixture Fixture;
      const std::vector<JobId> Ids = Fixture.storeCompleted(100);
      Fixture.Store.Faults.assign(Failing, CallFault::None);
      Fixture.Store.Faults.push_back(Fault);
      const std::vector<JobId> Left = Fixture.remove(Ids);
      if (!Fixture.Store.Faults.empty()) { // There are fewer transactions.
        CHECK(Left.empty());
        CHECK(Fixture.Store.Rows.empty());
        CHECK(Failing > 9);
        break;
      }
      const auto CheckEnded = [&] {
        const auto Loaded = Fixture.load();
        REQUIRE(Loaded.has_value());
        for (const JobChange &Change : Loaded->Changes)
          CHECK((Change.FinalState == JobState::Completed));
      };
      CheckEnded();
      Fixture.Store.applyLate();
      CheckEnded();
      CHECK(Fixture.remove(Left).empty());
      CHECK(Fixture.Store.Rows.empty());
    }
}

TEST_CASE("a job is not loaded from a state of the table older than that of "
          "the progress") {
  // Guards against a completed job that runs again: the table had lost its
  // history, and showed a removed job after it had shown that the job has no
  // progress.
  JobTableFixture Fixture;
  const std::vector<JobId> Ids = Fixture.storeCompleted(1);
  Fixture.Store.keepOldState();
  Fixture.remove(Ids);
  REQUIRE(Fixture.Store.Rows.empty());
  REQUIRE(Fixture.load().has_value());
  const int ReadsOfOneLoad = Fixture.Store.Reads;
  for (int Old = 2; Old <= ReadsOfOneLoad; ++Old) { // The first is of progress.
    CAPTURE(Old);
    Fixture.Store.Reads = 0;
    Fixture.Store.OldRead = Old;
    const auto Loaded = Fixture.load();
    CHECK((!Loaded || Loaded->Changes.empty()));
  }
}

TEST_CASE("an encoded job change keeps version and specification, an "
          "incomplete one is rejected") {
  JobChange Change{.Job = JobId("a"), .Version = 9};
  Change.Spec = jobOf("a");
  const auto Decoded = decodeChange(encodeChange(Change));
  REQUIRE(Decoded.has_value());
  CHECK(Decoded->Version == 9);
  CHECK((*Decoded->Spec == *Change.Spec));
  CHECK_FALSE(decodeChange("{}").has_value());
}

TEST_CASE("property: the reported outcome of a submission matches the table") {
  CHECK(rc::check([] {
    JobTableFixture Fixture;
    const auto Faults = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(0, 6), rc::gen::inRange(0, 4));
    for (const int Fault : Faults)
      Fixture.Store.Faults.push_back(static_cast<CallFault>(Fault));
    const auto Accepted =
        Fixture.accept("a", *rc::gen::inRange(0, 2) ? 1000 : 0);
    Fixture.Store.Faults.clear();
    Fixture.Store.applyLate();
    const bool Stored = Fixture.load()->Changes.size() == 1;
    if (Accepted)
      RC_ASSERT(Stored);
    else if (errorResponseFor(Accepted.error().Kind).Execution ==
             ExecutionState::DidNotRun)
      RC_ASSERT_FALSE(Stored);
  }));
}

TEST_CASE("a job is refused at once while the table can't be reached") {
  // Without this check, submissions would wait until their deadline although
  // they can't be stored.
  JobTableFixture Fixture;
  Fixture.Store.Reachable = false;
  const auto Refused = Fixture.accept("a");
  REQUIRE_FALSE(Refused.has_value());
  CHECK((Refused.error().Kind == ErrorKind::PlatformUnavailable));
  // The job was never sent to the table, so it can't run.
  CHECK(Fixture.Store.Transactions == 0);
}

TEST_CASE("a job that may have been stored is not reported as refused") {
  JobTableFixture Fixture;
  Fixture.Store.Faults = {CallFault::Late};
  Fixture.Store.MaxReachableTransactions = 1;
  const auto Unknown = Fixture.accept("a");
  REQUIRE_FALSE(Unknown.has_value());
  CHECK((Unknown.error().Kind == ErrorKind::PlatformOutcomeUnknown));
}

TEST_CASE(
    "the table counts as lost 1.2 s after its last answer if calls fail") {
  const auto at = [](int Ms) { return Instant(milliseconds(Ms)); };
  StoreReachability Reachability;
  Reachability.recordSuccess(at(1000));
  CHECK_FALSE(
      Reachability.isLost(at(9000))); // No call was made, so none has failed.
  Reachability.recordFailure();
  CHECK_FALSE(Reachability.isLost(at(2100)));
  CHECK(Reachability.isLost(at(2201)));
  Reachability.recordSuccess(at(2300));
  CHECK_FALSE(Reachability.isLost(at(2301)));
}

TEST_CASE(
    "a submission is answered at its deadline while the table is silent") {
  // A call to the table may last longer than the caller waits. The outcome is
  // then unknown, since the transaction may still be applied.
  JobTableFixture Fixture;
  Fixture.Store.Faults = {CallFault::Hangs};
  constexpr int WithinMs = 5;
  const auto Unknown = runToEnd<Result<std::int64_t>>(
      Fixture.Context, [&]() -> Async<Result<std::int64_t>> {
        const Instant Deadline = Fixture.Clock.now() + milliseconds(WithinMs);
        Fixture.Clock.advance(milliseconds(WithinMs));
        auto Outcome = co_await Fixture.Jobs.accept(jobOf("a"), Deadline);
        Fixture.Store.MayAnswer = true; // Only after the caller has its answer.
        co_return Outcome;
      });
  REQUIRE_FALSE(Unknown.has_value());
  CHECK((Unknown.error().Kind == ErrorKind::PlatformOutcomeUnknown));
  CHECK(Fixture.load()->Changes.size() == 1);
  CHECK(Fixture.accept("a").value() == 0);
}

TEST_CASE("a submission that waits behind another one is refused at its "
          "deadline") {
  // Both jobs are in one partition; the second is in no transaction yet.
  JobTableFixture Fixture;
  Fixture.Store.Faults = {CallFault::Hangs};
  std::optional<Result<std::int64_t>> First;
  const auto Second = runToEnd<Result<std::int64_t>>(
      Fixture.Context, [&]() -> Async<Result<std::int64_t>> {
        spawn(Fixture.Context.get_executor(), "first", [&]() -> Async<void> {
          First = co_await Fixture.Jobs.accept(jobOf("a"), Fixture.Clock.now() +
                                                               seconds(5));
        });
        while (Fixture.Store.Transactions == 0)
          co_await sleepFor(milliseconds(1));
        const Instant Deadline = Fixture.Clock.now() + milliseconds(5);
        Fixture.Clock.advance(milliseconds(5));
        auto Outcome = co_await Fixture.Jobs.accept(jobOf("i"), Deadline);
        Fixture.Store.MayAnswer = true;
        co_return Outcome;
      });
  REQUIRE_FALSE(Second.has_value());
  CHECK((Second.error().Kind == ErrorKind::PlatformUnavailable));
  REQUIRE(First.has_value());
  CHECK(First->value() > 0);
  CHECK(Fixture.load()->Changes.size() == 1);
}

TEST_CASE("jobs are loaded over a link that can't carry large pages in time") {
  // After all daemons had lost power, one with a link of 10 Mbit/s claimed the
  // ownership and never loaded the 2,000 jobs: each attempt read the same large
  // pages, timed out and began again, and nothing was started any more.
  JobTableFixture Fixture;
  for (int Index = 0; Index < 400; ++Index)
    REQUIRE(Fixture.accept("job" + std::to_string(Index)).has_value());
  Fixture.Store.MaxRowsInTime = 10;
  Fixture.Store.Reads = 0;
  const auto Loaded = Fixture.load();
  REQUIRE(Loaded.has_value());
  CHECK(Loaded->Changes.size() == 400);
  CHECK(Fixture.Store.Reads <
        120); // 50 pages of 8 rows, few that are too large.
}

TEST_CASE("a load that gets no page for some seconds fails") {
  JobTableFixture Fixture;
  REQUIRE(Fixture.accept("a").has_value());
  Fixture.Store.Faults.assign(10000, CallFault::NotDone);
  Fixture.Store.OnRead = [&] { Fixture.Clock.advance(milliseconds(900)); };
  CHECK_FALSE(Fixture.load().has_value());
}
