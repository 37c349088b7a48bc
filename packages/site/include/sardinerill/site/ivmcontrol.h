#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Orders for whole VMs.

namespace sardinerill::site {

enum class VmOrderOutcome {
  Accepted,
  Busy,     ///< Not up, or leaving.
  Rejected, ///< No such VM, pool or wave.
  NotDone,  ///< Certainly nothing was done.
  Unknown,
};

/// Identifies who gives an order for a VM.
struct VmOrderSource {
  std::string Holder;
  std::int64_t Token = 0;
};

class ISiteVmControl {
public:
  virtual ~ISiteVmControl() = default;
  virtual Async<Result<std::vector<VmRecord>>> list(Duration Limit) = 0;
  /// Ends all that runs on the VM; it joins \p Pool after the time of a move.
  virtual Async<VmOrderOutcome> move(VmId Vm, PoolId Pool, VmOrderSource Source,
                                     Duration Limit) = 0;
  /// Ends all that runs on the VM and takes it down for maintenance.
  virtual Async<VmOrderOutcome> maintain(VmId Vm, std::int64_t Wave,
                                         VmOrderSource Source,
                                         Duration Limit) = 0;
};

} // namespace sardinerill::site
