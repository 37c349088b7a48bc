#pragma once

#include "sardinerill/base/ibackground.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/platform/iplatform.h"
#include "sardinerill/platform/platformgate.h"

#include <functional>

/// \file
/// Claims on idempotency keys: a request that must not run twice is taken by
/// one row in the table, whichever daemon it reaches.

namespace sardinerill {

/// Names one request of a team, wherever it is sent.
struct ClaimKey {
  TeamId Team;
  std::string IdempotencyKey;
};

/// Makes and releases claims.
class IClaims {
public:
  using Callback = std::function<void(Result<void>)>;

  virtual ~IClaims() = default;
  /// Claims \p Name. Errors: DuplicateRequest if it was claimed before;
  /// PlatformUnavailable if that can't be told. The work must then not run.
  virtual void claim(const ClaimKey &Claim, const RequestId &Id,
                     Callback OnDone) = 0;
  /// The work did not run: the caller may send it again with the same key.
  virtual void release(const ClaimKey &Claim, const RequestId &Id) = 0;
};

/// Keeps claims in the platform's table.
class TableClaims : public IClaims {
public:
  TableClaims(ITable &Table, IBackground &Background, PlatformGate &Gate,
              const IClock &Clock, Metrics &Stats)
      : Table(Table), Background(Background), Gate(Gate), Clock(Clock),
        Stats(Stats) {}

  void claim(const ClaimKey &Claim, const RequestId &Id,
             Callback OnDone) override;
  void release(const ClaimKey &Claim, const RequestId &Id) override;

private:
  void tryRelease(const RowKey &Key, const RequestId &Id, unsigned RetriesLeft);

  ITable &Table;
  IBackground &Background;
  PlatformGate &Gate;
  const IClock &Clock;
  Metrics &Stats;
};

} // namespace sardinerill
