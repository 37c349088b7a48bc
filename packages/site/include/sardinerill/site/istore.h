#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// The transactional table that keeps what must last.

namespace sardinerill::site {

struct RowKey {
  std::string Table;
  std::string Partition; ///< Rows of one transaction share it.
  std::string Key;
  friend auto operator<=>(const RowKey &, const RowKey &) = default;
  friend bool operator==(const RowKey &, const RowKey &) = default;
};

struct Row {
  RowKey Where;
  std::string Value;
  std::int64_t Version = 0; ///< Rises with every transaction of the store.
  bool Removed = false;     ///< In a list of changes only.
  friend bool operator==(const Row &, const Row &) = default;
};

struct RowExpectation {
  RowKey Where;
  std::int64_t Version = 0; ///< 0: the row must not exist.
  friend bool operator==(const RowExpectation &,
                         const RowExpectation &) = default;
};

struct RowWrite {
  RowKey Where;
  std::string Value;
  friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/// All of it is applied, or nothing.
struct Transaction {
  std::vector<RowExpectation> Expectations;
  std::vector<RowWrite> Writes;
  std::vector<RowKey> Removals;
};

struct TransactionOutcome {
  bool Applied = false;
  std::int64_t Version = 0;
  std::vector<Row> Conflicts; ///< Current rows where it was not applied.
};

struct RowPage {
  std::vector<Row> Rows;
  bool More = false;
  std::int64_t NewestVersion = 0; ///< Of the store when it answered.
};

struct RowRange {
  std::string Table;
  std::string Partition;
  std::string From;    ///< Empty: from the first key.
  std::string To;      ///< Excluded; empty: to the last key.
  bool Urgent = false; ///< All work waits for it; see IStore::read().
};

/// Errors: PlatformUnavailable if certainly nothing was done, else
/// PlatformOutcomeUnknown; PlatformHistoryGone for changes() only.
class IStore {
public:
  virtual ~IStore() = default;
  virtual Async<Result<TransactionOutcome>> transact(Transaction Change,
                                                     Duration Limit) = 0;
  /// Reads one page, in the order of keys. An urgent one may be asked for in
  /// two ways at once.
  virtual Async<Result<RowPage>> read(RowRange Range, Duration Limit) = 0;
  /// Waits up to \p Wait for changes of \p Table after \p Version.
  virtual Async<Result<RowPage>>
  changes(std::string Table, std::int64_t Version, Duration Wait) = 0;
  /// Other daemons that can pass calls on while the store turns this one away.
  virtual void setRelays(std::vector<Endpoint> Relays) = 0;
  /// \returns whether calls can be expected to succeed, one way or another.
  virtual bool reachable() const = 0;
  /// Passes on a call of another daemon, unchanged.
  virtual Async<HttpResponse> relay(HttpRequest Request) = 0;
};

/// Reads all pages of \p Range.
Async<Result<RowPage>> readAll(IStore &Store, RowRange Range, Duration Limit);

} // namespace sardinerill::site
