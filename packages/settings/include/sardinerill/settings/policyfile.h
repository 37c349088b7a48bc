#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/scheduling/schedulingpolicy.h"

#include <string>

/// \file
/// The policy file: a YAML file that switches optional scheduling features on.

namespace sardinerill {

/// Reads a policy file.
/// \returns the policy, or ConfigInvalid with file and line if the file can't
/// be read, or contains an unknown or duplicate key or a value other than true
/// or false.
Result<site::SchedulingPolicy> loadPolicy(const std::string &Path);

/// \param File name of the file for error messages.
Result<site::SchedulingPolicy> parsePolicy(const std::string &File,
                                           const std::string &Text);

} // namespace sardinerill
