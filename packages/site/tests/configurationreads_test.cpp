#include "configurationreads.h"

#include <doctest/doctest.h>
#include <vector>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

constexpr milliseconds PollWait{1000};

/// A table whose configuration has grown to many queues, and has changed often
/// since.
struct LargeTable {
  static constexpr std::int64_t VersionBytes = 473000;
  static constexpr std::int64_t PageBytes = 1000000;
  std::int64_t Newest = 0;
  std::int64_t BytesSent = 0;

  /// \returns the newest version in the answer to \p Read.
  std::int64_t answer(const ConfigurationRead &Read) {
    if (Read.readsAll()) {
      this->BytesSent += VersionBytes;
      return this->Newest;
    }
    // Each version that was not seen, in order.
    const std::int64_t Rows =
        std::min(this->Newest - *Read.ChangesAfter, PageBytes / VersionBytes);
    this->BytesSent += Rows * VersionBytes;
    return *Read.ChangesAfter + Rows;
  }
};

} // namespace

TEST_CASE("a daemon that has missed many versions receives the newest next") {
  // Guards against calls that are handled by an old configuration for seconds
  // after an outage: each version in between was received and decoded.
  LargeTable Table{.Newest = 3};
  ConfigurationReads Reads(PollWait);
  Reads.recordAnswer(Reads.next(false), Table.answer(Reads.next(false)));
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    Reads.recordFailure();
  Table = {.Newest = 30};
  const ConfigurationRead Read = Reads.next(true);
  CHECK(Table.answer(Read) == 30);
  CHECK(Table.BytesSent == LargeTable::VersionBytes);
  Reads.recordAnswer(Read, 30);
  CHECK(Reads.next(false) ==
        ConfigurationRead{.ChangesAfter = 30, .Wait = PollWait});
}

TEST_CASE("all rows are not read again while a peer names a wrong version") {
  // Guards against reads of all rows without a pause.
  ConfigurationReads Reads(PollWait);
  CHECK(Reads.next(true).readsAll());
  Reads.recordAnswer(Reads.next(true), 30);
  const ConfigurationRead Read = Reads.next(true);
  CHECK(Read == ConfigurationRead{.ChangesAfter = 30, .Wait = PollWait});
  Reads.recordAnswer(Read, 30);
  CHECK(Reads.next(true).readsAll());
}

TEST_CASE("an old answer does not set the position back") {
  // Guards against changes that are received twice after a read of an old
  // state.
  ConfigurationReads Reads(PollWait);
  Reads.recordAnswer(Reads.next(false), 30);
  Reads.recordFailure();
  CHECK(Reads.next(false) == ConfigurationRead{.ChangesAfter = 30});
  Reads.recordAnswer(Reads.next(true), 25);
  CHECK(Reads.next(false).ChangesAfter == 30);
  Reads.restart();
  CHECK(Reads.next(false).readsAll());
}
