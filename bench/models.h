#pragma once

/// \file
/// Simulations that compare the scheduling policies with simpler ones. Virtual
/// time and fixed seeds: every run gives the same results.

namespace bench {

/// Prints the part of the requests that met their target, and how far teams
/// fell below their shares, for the work queue, for first come first served and
/// for earliest deadline first.
void measureQueues();

/// Prints waiting times and avoidable refusals if a ceiling is divided among
/// several daemons, compared with a single daemon that has all units.
void measureCeilings();

} // namespace bench
