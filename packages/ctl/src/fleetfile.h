#pragma once

#include "sardinerill/base/errors.h"

#include <nlohmann/json.hpp>
#include <string>

/// \file
/// Fleet configuration files in YAML, and the changes that result from them.

namespace sardinerill {

/// \returns the YAML text converted to JSON, or ConfigInvalid; syntax errors
/// and duplicate names are reported with their line.
Result<nlohmann::json> parseFleetFile(const std::string &Text);

/// Computes the change that results from applying a fleet file. Fields that the
/// daemons maintain (keys, states, generations and versions) are preserved, and
/// a VM that changes its pool is moved, so that it is drained first.
/// \returns a JSON merge patch; empty if nothing changes.
nlohmann::json computePatch(const nlohmann::json &Current,
                            const nlohmann::json &Desired);

/// \returns one line per value that \p Patch changes, with the old and the new
/// value.
std::string renderDiff(const nlohmann::json &Current,
                       const nlohmann::json &Patch);

/// \returns a merge patch that sets the value at a dotted path such as
/// "teams.ingoma.ceiling". A value that is valid JSON is used as JSON,
/// otherwise it is a string; null removes the entry. Names that contain '.'
/// cannot be addressed.
nlohmann::json makePatch(const std::string &Path, const std::string &Value);

} // namespace sardinerill
