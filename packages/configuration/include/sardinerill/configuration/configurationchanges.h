#pragma once

#include "sardinerill/configuration/configurationdigest.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// What a daemon lacks of a newer configuration that another one uses.
///
/// Load: a configuration of some thousand queues that changes a few times a
/// second, while a third of the daemons has no connection to the table. Such a
/// daemon asks one that has the newest version for the queues in which they
/// differ, a few kilobytes as a rule.

namespace sardinerill::site {

/// Leads from one version to a newer one.
struct ConfigurationChanges {
  std::int64_t From = 0;
  std::int64_t To = 0;
  std::vector<std::size_t> Groups;   ///< Those that differ; see groupOf().
  std::vector<QueueSettings> Queues; ///< All of these groups.
  std::vector<PoolSettings> Pools;   ///< All.
  std::vector<OrganisationSettings> Organisations; ///< All.
  CallerLimits Limits;
  friend bool operator==(const ConfigurationChanges &,
                         const ConfigurationChanges &) = default;
};

/// \param Base digest of the configuration that is to be changed.
/// \param Next the configuration to which the changes lead.
/// \param NextDigest digest of \p Next.
ConfigurationChanges changesBetween(const ConfigurationDigest &Base,
                                    const SiteConfiguration &Next,
                                    const ConfigurationDigest &NextDigest);
/// \returns \p Base with \p Changes; VersionConflict if they don't lead from
/// its version to a newer one.
Result<SiteConfiguration> applyChanges(const SiteConfiguration &Base,
                                       const ConfigurationChanges &Changes);

/// The operators' rows that a daemon lacks, as another daemon knows them.
struct OperatorRowsUpdate {
  std::int64_t Position = 0; ///< Version of the table up to which all is known.
  ConfigurationChanges Changes;
  std::vector<MaintenanceWave> Waves;
  std::string Evacuations; ///< See encodeEvacuations().
  friend bool operator==(const OperatorRowsUpdate &,
                         const OperatorRowsUpdate &) = default;
};

std::string encodeUpdate(const OperatorRowsUpdate &Update);
/// \returns the update; BadRequest if \p Text is malformed.
Result<OperatorRowsUpdate> decodeUpdate(const std::string &Text);

} // namespace sardinerill::site
