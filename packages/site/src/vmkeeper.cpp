#include "vmkeeper.h"

namespace sardinerill::site {

void VmKeeper::addWaves(const std::vector<MaintenanceWave> &) {}

Async<void> VmKeeper::run() { co_return; }

} // namespace sardinerill::site
