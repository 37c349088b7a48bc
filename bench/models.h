#pragma once

/// \file
/// Small models that hold the policy against plainer ones. Virtual time, fixed
/// seeds: the same figures on every run.

namespace bench {

/// Share of work inside its target and distance from shares, for the policy,
/// first come first served, and earliest deadline alone.
void measureQueues();

/// Waiting and needless refusals of ceilings divided over daemons, against one
/// daemon that knows everything.
void measureCeilings();

} // namespace bench
