#pragma once

#include "sardinerill/base/ibackgroundexecutor.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/platform/iplatform.h"
#include "sardinerill/platform/platformcalllimiter.h"

#include <functional>

/// \file
/// Reserves idempotency keys. A claim is a row in the platform's table which
/// records that a key is in use, so that only one of several daemons accepts a
/// request with that key.

namespace sardinerill {

/// Identifies a request of a team across all daemons.
struct ClaimKey {
  TeamId Team;
  std::string IdempotencyKey;
};

/// Creates claims before requests run and deletes those of requests that did
/// not run.
class IClaims {
public:
  using Callback = std::function<void(Result<void>)>;

  virtual ~IClaims() = default;
  /// Creates \p Claim for request \p Id. Fails with DuplicateRequest if the key
  /// was claimed before, and with PlatformUnavailable if the outcome can't be
  /// determined. On failure the request must not run.
  virtual void claim(const ClaimKey &Claim, const RequestId &Id,
                     Callback OnDone) = 0;
  /// Tries to delete the claim of a request that did not run, so that the
  /// caller can send it again with the same key. A claim that can't be deleted
  /// remains, and its key is then rejected as a duplicate.
  virtual void release(const ClaimKey &Claim, const RequestId &Id) = 0;
};

/// Stores claims as rows of the platform's table.
class TableClaims : public IClaims {
public:
  TableClaims(ITable &Table, IBackgroundExecutor &Background,
              PlatformCallLimiter &Limiter, const IClock &Clock, Metrics &Stats)
      : Table(Table), Background(Background), Limiter(Limiter), Clock(Clock),
        Stats(Stats) {}

  void claim(const ClaimKey &Claim, const RequestId &Id,
             Callback OnDone) override;
  void release(const ClaimKey &Claim, const RequestId &Id) override;

private:
  void tryRelease(const RowKey &Key, const RequestId &Id, unsigned RetriesLeft);

  ITable &Table;
  IBackgroundExecutor &Background;
  PlatformCallLimiter &Limiter;
  const IClock &Clock;
  Metrics &Stats;
};

} // namespace sardinerill
