#include "sardinerill/platform/memoryplatform.h"

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
  MemoryPlatform Platform;
  Platform.setFaults({.LoseReplies = 1});
  auto Outcome = commitSettled(Platform, makeTransaction(0, "a"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commits() == 1);
}

// The second copy of the transaction conflicts with the first, which has
// changed the revision. That conflict must not reach the caller.
TEST_CASE("a transaction sent twice by the transport is no conflict") {
  MemoryPlatform Platform;
  const Transaction Txn = makeTransaction(0, "a");
  REQUIRE(Platform.commit(Txn).has_value());
  auto Outcome = commitSettled(Platform, Txn);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commits() == 1);
}

TEST_CASE("a write with a stale revision conflicts and is not applied") {
  MemoryPlatform Platform;
  REQUIRE(commitSettled(Platform, makeTransaction(0, "a")).has_value());
  auto Outcome = commitSettled(Platform, makeTransaction(0, "b"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Conflict);
  CHECK(Platform.read({Key})->front().Value == "a");
}

// A caller takes a conflict as proof that nothing was written, which is unknown
// here.
TEST_CASE("a commit to an unavailable platform fails without a conflict") {
  MemoryPlatform Platform;
  Platform.setFaults({.Down = true});
  auto Outcome = commitSettled(Platform, makeTransaction(0, "a"));
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::PlatformUnavailable);
}
