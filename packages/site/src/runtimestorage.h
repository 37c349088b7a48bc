#pragma once

#include "async.h"

#include "sardinerill/base/metrics.h"
#include "sardinerill/ownership/ownership.h"
#include "sardinerill/runtimes/runtimemodel.h"
#include "sardinerill/site/istore.h"

#include <optional>

/// \file
/// Stores what the holder has learned about run times in the table.

namespace sardinerill::site {

class RunTimeStorage {
public:
  RunTimeStorage(IStore &Store, Metrics &Stats, OwnershipLease &Ownership)
      : Store(Store), Stats(Stats), Ownership(Ownership) {}

  /// \returns what earlier holders have stored: an empty summary, which is
  /// logged, if there is none or it can't be decoded; an error if the table
  /// could not be read.
  Async<Result<RunTimeSummary>> load();

  /// Stores the summary of \p Learned, on condition that ownership has not been
  /// claimed since, at most every WriteInterval and only if something was
  /// learned. A failed write is repeated after the same time.
  Async<void> storeIfDue(const RunTimeModel &Learned, Instant Now);

  /// States that \p Revision of the model is what the table holds.
  void markStored(std::uint64_t Revision) { this->StoredRevision = Revision; }

  /// Each write has up to 32 KiB. A new holder learns again within seconds what
  /// was not stored.
  static constexpr seconds WriteInterval{10};

private:
  IStore &Store;
  Metrics &Stats;
  OwnershipLease &Ownership;
  std::uint64_t StoredRevision = 0;
  std::optional<Instant> WrittenAt;
};

} // namespace sardinerill::site
