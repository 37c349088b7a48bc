#pragma once

#include "sardinerill/base/errors.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

/// \file
/// Summary of a RunTimeModel, for storage and for merging what several holders
/// have learned.

namespace sardinerill {

/// All weights are integers, so that merging does not depend on the order.
struct RunTimeSummary {
  struct OrganisationRatio {
    std::int64_t Weight = 0;
    std::int64_t SumLog = 0; ///< Sum of the weighted logarithms of the ratios.
    friend bool operator==(const OrganisationRatio &,
                           const OrganisationRatio &) = default;
  };
  struct Entry {
    std::uint64_t LearnedAt = 0; ///< Larger: learned from more recently.
    std::map<int, std::int64_t> Durations; ///< Weight by bin.
    std::map<int, std::int64_t> Ratios;
    std::map<std::uint64_t, OrganisationRatio> Organisations;
    friend bool operator==(const Entry &, const Entry &) = default;
  };
  std::map<std::uint64_t, Entry> Entries; ///< By hash of the key.
  friend bool operator==(const RunTimeSummary &,
                         const RunTimeSummary &) = default;
};

/// Weight 1 of a run, and logarithm 1 of a ratio, in a summary.
constexpr double SummaryUnit = 64;
/// Limit on an encoded summary.
constexpr std::size_t MaxSummaryBytes = 32 * 1024;

/// \returns both together; the order of several merges has no effect.
RunTimeSummary mergeSummaries(const RunTimeSummary &Left,
                              const RunTimeSummary &Right);

/// \returns \p Summary as CBOR of at most \p MaxBytes. Entries that don't fit
/// are left out, those first that were least recently learned from.
std::string encodeSummary(const RunTimeSummary &Summary,
                          std::size_t MaxBytes = MaxSummaryBytes);

/// \returns the summary, or BadRequest if it is malformed, too large or of
/// another version.
Result<RunTimeSummary> decodeSummary(const std::string &Encoded);

} // namespace sardinerill
