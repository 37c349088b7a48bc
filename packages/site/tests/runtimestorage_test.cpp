#include "fakestore.h"
#include "runtimestorage.h"
#include "unixtime.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

/// A holder's storage, on a table whose epoch row it has claimed.
struct StorageFixture {
  boost::asio::io_context Context;
  FakeStore Store;
  Metrics Stats;
  std::unique_ptr<OwnershipLease> Ownership;
  std::unique_ptr<RunTimeStorage> Storage;
  RunTimeModel Model;
  RunTimeKey Key = RunTimeKey::of({.Queue = "queue"});

  StorageFixture() { this->claim(); }

  /// Makes a new holder.
  void claim() {
    const auto Outcome = this->Store.apply({.Writes = {{epochKey(), "1"}}});
    this->Ownership = std::make_unique<OwnershipLease>(
        OwnershipTimings{}, Outcome.Version, Instant{});
    this->Storage = std::make_unique<RunTimeStorage>(this->Store, this->Stats,
                                                     *this->Ownership);
  }
  void learn() { this->Model.learn(this->Key, seconds(1), seconds(2)); }
  void store(Instant Now) {
    runToEnd<bool>(this->Context, [&, Now]() -> Async<bool> {
      co_await this->Storage->storeIfDue(this->Model, Now);
      co_return true;
    });
  }
  Result<RunTimeSummary> load() {
    return runToEnd<Result<RunTimeSummary>>(
        this->Context, [&] { return this->Storage->load(); });
  }
  bool isStored() { return this->Store.Rows.contains(runTimesKey()); }
};

Instant at(int Seconds) { return Instant(seconds(Seconds)); }

} // namespace

TEST_CASE("a new holder loads what the earlier one stored") {
  StorageFixture Site;
  for (int Index = 0; Index < 10; ++Index)
    Site.learn();
  Site.store(at(0));
  Site.claim();
  const auto Loaded = Site.load();
  REQUIRE(Loaded);
  CHECK(*Loaded == Site.Model.summary());
}

TEST_CASE("the summary is stored at most every 10 s, and only if changed") {
  // Calls and bytes to the table have a cost.
  StorageFixture Site;
  Site.store(at(0));
  CHECK(Site.Store.Transactions == 0);
  Site.learn();
  Site.store(at(1));
  CHECK(Site.Store.Transactions == 1);
  Site.learn();
  Site.store(at(10));
  CHECK(Site.Store.Transactions == 1);
  Site.store(at(11));
  CHECK(Site.Store.Transactions == 2);
  Site.store(at(30));
  CHECK(Site.Store.Transactions == 2);
  // A new holder that has learned nothing since its load.
  Site.claim();
  Site.Storage->markStored(Site.Model.revision());
  Site.store(at(40));
  CHECK(Site.Store.Transactions == 2);
}

TEST_CASE("a failed write is repeated with the next one") {
  for (const CallFault Fault : {CallFault::NotDone, CallFault::Lost}) {
    StorageFixture Site;
    Site.learn();
    Site.Store.Faults = {Fault};
    Site.store(at(0));
    Site.store(at(5));
    CHECK(Site.Store.Transactions == 1);
    Site.store(at(10));
    CHECK(Site.Store.Transactions == 2);
    CHECK(Site.isStored());
    CHECK_FALSE(Site.Ownership->isLost());
  }
}

TEST_CASE("a holder that has been succeeded does not store") {
  // It would overwrite what its successor has learned since.
  StorageFixture Site;
  Site.learn();
  Site.Store.apply({.Writes = {{epochKey(), "2"}}});
  Site.store(at(0));
  CHECK_FALSE(Site.isStored());
  CHECK(Site.Ownership->isLost());
}

TEST_CASE("a missing or unreadable row leaves the estimates in force") {
  StorageFixture Site;
  CHECK(Site.load()->Entries.empty());
  for (const std::string Value : {"", "{}", "of a later version"}) {
    Site.Store.apply({.Writes = {{runTimesKey(), Value}}});
    const auto Loaded = Site.load();
    REQUIRE(Loaded);
    CHECK(Loaded->Entries.empty());
  }
  CHECK(Site.Stats.counter("run_times_unreadable_total") == 3);
  // Unlike these, a table that does not answer is asked again.
  Site.Store.Faults = {CallFault::NotDone};
  CHECK_FALSE(Site.load());
}
