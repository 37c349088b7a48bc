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
struct ClaimName {
  TeamId Team;
  std::string IdempotencyKey;
};

/// Makes and releases claims.
class IClaims {
public:
  using Done = std::function<void(Result<void>)>;

  virtual ~IClaims() = default;
  /// Claims \p Name. Errors: DuplicateRequest if it was claimed before;
  /// PlatformUnavailable if that can't be told. The work must then not run.
  virtual void claim(const ClaimName &Name, const RequestId &Id,
                     Done Finished) = 0;
  /// The work did not run: the caller may send it again with the same key.
  virtual void release(const ClaimName &Name, const RequestId &Id) = 0;
};

/// Keeps claims in the platform's table.
class TableClaims : public IClaims {
public:
  TableClaims(ITable &Table, IBackground &Background, PlatformGate &Gate,
              const IClock &Clock, Metrics &Figures)
      : Table(Table), Background(Background), Gate(Gate), Clock(Clock),
        Figures(Figures) {}

  void claim(const ClaimName &Name, const RequestId &Id,
             Done Finished) override;
  void release(const ClaimName &Name, const RequestId &Id) override;

private:
  void releaseOnce(const RowKey &Key, const RequestId &Id, unsigned Tries);

  ITable &Table;
  IBackground &Background;
  PlatformGate &Gate;
  const IClock &Clock;
  Metrics &Figures;
};

} // namespace sardinerill
