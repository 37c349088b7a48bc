#pragma once

#include "sardinerill/base/errors.h"

#include <nlohmann/json.hpp>
#include <string>

/// \file
/// The fleet as operators write it in YAML.

namespace sardinerill {

/// \returns the YAML text as JSON, or ConfigInvalid with its line.
Result<nlohmann::json> parseFleetFile(const std::string &Text);

/// Works out what applying a file changes. What the system itself keeps in the
/// document (keys, states, generations, stamps) is left as it is, and a VM that
/// changes its pool is moved: it drains first.
/// \returns a merge patch; empty if nothing changes.
nlohmann::json computePatch(const nlohmann::json &Current,
                            const nlohmann::json &Wanted);

/// \returns one line for each value that \p Patch changes.
std::string renderDiff(const nlohmann::json &Current,
                       const nlohmann::json &Patch);

/// \returns a patch that sets the value at a dotted path, such as
/// "teams.ingoma.ceiling"; texts that read as JSON are taken as such.
nlohmann::json makePatch(const std::string &Path, const std::string &Value);

} // namespace sardinerill
