#pragma once

#include "sardinerill/fleet/fleettypes.h"

#include <nlohmann/json.hpp>

/// \file
/// JSON representation of the fleet configuration. Documents are parsed
/// strictly and changed by merge patches.

namespace sardinerill {

/// Parses and validates a complete document.
/// \returns the fleet, or ConfigInvalid whose detail lists every error.
Result<Fleet> parseFleet(const nlohmann::json &Document, FleetVersion Version);

/// Applies an RFC 7396 merge patch and validates the result. \p Document is not
/// modified.
/// \returns the new document, or ConfigInvalid whose detail lists every error.
Result<nlohmann::json> patchDocument(const nlohmann::json &Document,
                                     const nlohmann::json &Patch);

/// \returns the merge patch that turns \p From into \p To; a null member
/// removes the field.
nlohmann::json diffDocuments(const nlohmann::json &From,
                             const nlohmann::json &To);

/// Stores next to each versioned field (ceilings, slots, pools of VMs) the
/// version that last changed it. Versions of these fields that
/// \p After contains are overwritten, so that operators cannot set them.
nlohmann::json updateFieldVersions(const nlohmann::json &Before,
                                   nlohmann::json After, FleetVersion Version);

/// Removes the salts and hashes of the keys of operators and teams, before a
/// document is returned to an operator.
nlohmann::json redactDocument(nlohmann::json Document);

} // namespace sardinerill
