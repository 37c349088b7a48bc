#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include <functional>

/// \file
/// Interface for listing VMs, moving them between pools and taking them down
/// for maintenance.

namespace sardinerill::site {

enum class VmCommandOutcome {
  Accepted,
  /// The VM is not up, or a move or maintenance has already started.
  Busy,
  Rejected,    ///< Unknown VM, pool or wave.
  NotExecuted, ///< The command certainly had no effect.
  Unknown,     ///< No response; the command may have been executed.
};

/// The sender of a VM command.
struct VmCommandIssuer {
  std::string Holder;     ///< Name of the daemon.
  std::int64_t Token = 0; ///< Fencing token.
  /// Checked immediately before the command is sent; if it returns false, the
  /// outcome is NotExecuted.
  std::function<bool()> MaySend;
};

class ISiteVmControl {
public:
  virtual ~ISiteVmControl() = default;
  virtual Async<Result<std::vector<VmRecord>>> list(Duration Timeout) = 0;
  /// Ends all runs on the VM and moves it to \p Pool. The VM is up again when
  /// the move has finished.
  virtual Async<VmCommandOutcome>
  move(VmId Vm, PoolId Pool, VmCommandIssuer Issuer, Duration Timeout) = 0;
  /// Ends all runs on the VM and takes it down for maintenance.
  virtual Async<VmCommandOutcome> startMaintenance(VmId Vm, std::int64_t Wave,
                                                   VmCommandIssuer Issuer,
                                                   Duration Timeout) = 0;
};

} // namespace sardinerill::site
