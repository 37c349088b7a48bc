#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// \file
/// Interface of the transactional table that holds all persistent state.

namespace sardinerill::site {

struct RowKey {
  std::string Table;
  /// Partitions span tables. All rows of a transaction are in one partition.
  std::string Partition;
  std::string Key;
  friend auto operator<=>(const RowKey &, const RowKey &) = default;
  friend bool operator==(const RowKey &, const RowKey &) = default;
};

struct Row {
  RowKey Id;
  std::string Value;
  /// Version of the store when the row was last written. Every transaction of
  /// the store increases it.
  std::int64_t Version = 0;
  bool Removed = false; ///< Set only in a list of changes.
  friend bool operator==(const Row &, const Row &) = default;
};

struct RowPrecondition {
  RowKey Id;
  std::int64_t Version = 0; ///< 0: the row must not exist.
  friend bool operator==(const RowPrecondition &,
                         const RowPrecondition &) = default;
};

struct RowWrite {
  RowKey Id;
  std::string Value;
  friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/// Applied atomically: either all of it or nothing.
struct Transaction {
  std::vector<RowPrecondition> Preconditions;
  std::vector<RowWrite> Writes;
  std::vector<RowKey> Deletes;
};

struct TransactionOutcome {
  bool Applied = false;
  /// If applied: version of the store afterwards and of the written rows.
  std::int64_t Version = 0;
  /// If not applied: current rows whose precondition failed, possibly with
  /// others that have a precondition. A row that does not exist has version 0.
  std::vector<Row> Conflicts;
};

struct RowPage {
  std::vector<Row> Rows;
  bool HasMore = false;
  std::int64_t NewestVersion = 0; ///< Of the store at the time of the answer.
};

struct RowRange {
  std::string Table;
  std::string Partition;
  std::string From; ///< First key; empty means from the beginning.
  std::string To;   ///< Exclusive end; empty means to the last key.
  /// May be sent on two routes at once, see IStore::read().
  bool Urgent = false;
  int Limit = 0; ///< Rows of one page; 0: as many as the table returns.
  /// The rows may be too large to arrive within the time limit on a narrow
  /// link. The read then lasts longer while parts of its answer arrive.
  bool HasLargeRows = false;
};

/// Called with the answers of a peer, which name the version of its
/// configuration.
using PeerAnswerObserver =
    std::function<void(const Endpoint &Peer, const HttpResponse &Answer)>;

/// Errors: PlatformUnavailable if the call certainly had no effect, otherwise
/// PlatformOutcomeUnknown. waitForChanges() alone may return
/// PlatformHistoryGone, when the changes after the requested version are no
/// longer available.
class IStore {
public:
  virtual ~IStore() = default;
  virtual Async<Result<TransactionOutcome>> transact(Transaction Change,
                                                     Duration Timeout) = 0;
  /// Reads one page in key order. While the store is not directly reachable, an
  /// urgent read may be sent through two relays at the same time.
  virtual Async<Result<RowPage>> read(RowRange Range, Duration Timeout) = 0;
  /// Waits up to \p Wait for changes of \p Table after \p Version.
  virtual Async<Result<RowPage>>
  waitForChanges(std::string Table, std::int64_t Version, Duration Wait) = 0;
  /// Sets the daemons that can relay calls while the store is not directly
  /// reachable from this one.
  virtual void setRelays(std::vector<Endpoint> Relays) = 0;
  /// Sets the function that is called with each answer of a relay.
  virtual void setRelayObserver(PeerAnswerObserver OnAnswer) = 0;
  /// \returns whether calls can be expected to succeed, directly or through a
  /// relay.
  virtual bool reachable() const = 0;
  /// \returns whether calls are relayed by other daemons, because this one has
  /// no connection of its own to the store.
  virtual bool usesRelays() const = 0;
  /// \returns the newest version of the store that any answer has shown.
  virtual std::int64_t newestVersion() const = 0;
  /// Forwards a call of another daemon to the store unchanged.
  virtual Async<HttpResponse> relay(HttpRequest Request) = 0;
};

/// Appends \p Page to \p AllRows, whose version becomes that of the oldest
/// page. \param Range moved to the next page. \returns whether there are more
/// pages.
bool appendPage(RowPage Page, bool IsFirst, RowRange &Range, RowPage &AllRows);

/// Reads all pages of \p Range. The version is that of the oldest page.
Async<Result<RowPage>> readAll(IStore &Store, RowRange Range, Duration Timeout);

} // namespace sardinerill::site
