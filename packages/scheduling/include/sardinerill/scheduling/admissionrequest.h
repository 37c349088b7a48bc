#pragma once

#include "sardinerill/overload/admission.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include <optional>

/// \file
/// A submitted job as input of the decision on its admission.

namespace sardinerill::site {

/// \returns the request, or none for a job that is never refused: a recurring
/// one, or one with long-running tasks.
std::optional<overload::AdmissionRequest>
admissionRequestOf(const JobSpec &Spec);

} // namespace sardinerill::site
