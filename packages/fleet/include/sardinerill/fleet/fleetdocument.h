#pragma once

#include "sardinerill/fleet/fleettypes.h"

#include <nlohmann/json.hpp>

/// \file
/// The fleet's JSON form: parsed strictly, changed by merge patches.

namespace sardinerill {

/// Parses and checks a whole document.
/// \returns the fleet, or ConfigInvalid whose detail names every fault.
Result<Fleet> parseFleet(const nlohmann::json &Document, FleetVersion Version);

/// Applies an RFC 7396 merge patch and checks the outcome.
/// \returns the new document, or every fault; \p Document is not changed.
Result<nlohmann::json> patchDocument(const nlohmann::json &Document,
                                     const nlohmann::json &Patch);

/// \returns the merge patch that turns \p From into \p To; null members mean
/// removal.
nlohmann::json diffDocuments(const nlohmann::json &From,
                             const nlohmann::json &To);

/// Notes beside each limit in which version it last changed; what \p After says
/// of that itself is overwritten.
nlohmann::json stampVersions(const nlohmann::json &Before, nlohmann::json After,
                             FleetVersion Version);

/// Cuts an operator's answer down to what may be shown: no salts, no hashes.
nlohmann::json redactDocument(nlohmann::json Document);

} // namespace sardinerill
