#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>

using namespace sardinerill;

namespace {

const RowKey Key{"t", "k"};

Transaction makeTransaction(Revision ExpectedRevision,
                            const std::string &Value) {
  return Transaction{makeWriteId(), {{Key, ExpectedRevision}}, {{Key, Value}}};
}

} // namespace

// The write is applied but its reply is lost. Treating this as a failure makes
// the caller write again.
TEST_CASE("a commit whose reply is lost is reported and applied once") {
  InMemoryPlatform Platform;
  Platform.setFaults({.RepliesToDrop = 1});
  auto Outcome = commitAndVerify(Platform, makeTransaction(0, "a"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commitCount() == 1);
}

// The second copy of the transaction conflicts with the first, which has
// changed the revision. That conflict must not reach the caller.
TEST_CASE("a transaction sent twice by the transport is no conflict") {
  InMemoryPlatform Platform;
  const Transaction Txn = makeTransaction(0, "a");
  REQUIRE(Platform.commit(Txn).has_value());
  auto Outcome = commitAndVerify(Platform, Txn);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commitCount() == 1);
}

TEST_CASE("a write with a stale revision conflicts and is not applied") {
  InMemoryPlatform Platform;
  REQUIRE(commitAndVerify(Platform, makeTransaction(0, "a")).has_value());
  auto Outcome = commitAndVerify(Platform, makeTransaction(0, "b"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Conflict);
  CHECK(Platform.read({Key})->front().Value == "a");
}

// A caller takes a conflict as proof that nothing was written, which is unknown
// here.
TEST_CASE("a commit to an unavailable platform fails without a conflict") {
  InMemoryPlatform Platform;
  Platform.setFaults({.Unavailable = true});
  auto Outcome = commitAndVerify(Platform, makeTransaction(0, "a"));
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::PlatformUnavailable);
}

// A stopped daemon would leave its roster row or its lease behind, or wait for
// nothing, if a deletion that was applied were reported as unknown.
TEST_CASE("a deletion whose reply is lost is reported and applied once") {
  InMemoryPlatform Platform;
  REQUIRE(commitAndVerify(Platform, makeTransaction(0, "a")).has_value());
  const Transaction Deletion{makeWriteId(), {{Key, 1}}, {{Key, {}}}};
  Platform.setFaults({.RepliesToDrop = 1});
  auto Outcome = commitAndVerify(Platform, Deletion);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commitCount() == 2);
  // Sent twice by the transport: the second copy conflicts with the first.
  Outcome = commitAndVerify(Platform, Deletion);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
}

TEST_CASE("a transaction that deletes a row before it writes another is "
          "verified by the write") {
  const RowKey Other{"t", "other"};
  InMemoryPlatform Platform;
  REQUIRE(commitAndVerify(Platform, makeTransaction(0, "a")).has_value());
  const Transaction Move{
      makeWriteId(), {{Key, 1}, {Other, 0}}, {{Key, {}}, {Other, "a"}}};
  Platform.setFaults({.RepliesToDrop = 1});
  auto Outcome = commitAndVerify(Platform, Move);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commitCount() == 2);
  Outcome = commitAndVerify(Platform, Move);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  // Another transaction of the same form did not move anything.
  Outcome = commitAndVerify(
      Platform,
      {makeWriteId(), {{Key, 1}, {Other, 0}}, {{Key, {}}, {Other, "b"}}});
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Conflict);
  CHECK(Platform.read({Other})->front().Value == "a");
}

TEST_CASE("a deletion of a row that was written meanwhile conflicts") {
  InMemoryPlatform Platform;
  REQUIRE(commitAndVerify(Platform, makeTransaction(0, "a")).has_value());
  REQUIRE(commitAndVerify(Platform, makeTransaction(1, "b")).has_value());
  const Transaction Deletion{makeWriteId(), {{Key, 1}}, {{Key, {}}}};
  auto Outcome = commitAndVerify(Platform, Deletion);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Conflict);
  CHECK(Platform.read({Key})->front().Value == "b");
  // Unknown, if the reply to a deletion was lost and the row exists again.
  struct RowReturns : InMemoryPlatform {
    bool Returned = false;
    Result<CommitOutcome> commit(const Transaction &Txn) override {
      Result<CommitOutcome> Outcome = this->InMemoryPlatform::commit(Txn);
      if (std::exchange(this->Returned, true))
        return Outcome;
      (void)this->InMemoryPlatform::commit(makeTransaction(0, "new"));
      return makeError(ErrorKind::PlatformUnavailable, "the reply was lost");
    }
  };
  RowReturns Other;
  REQUIRE(Other.InMemoryPlatform::commit(makeTransaction(0, "a")).has_value());
  Outcome = commitAndVerify(Other, Deletion);
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::PlatformUnavailable);
}
