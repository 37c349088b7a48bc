#pragma once

#include "sardinerill/settings/settings.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// The table of all settings. Each row names the member of Settings that the
/// value is stored in.

namespace sardinerill {

using SettingMember =
    std::variant<std::string Settings::*, unsigned Settings::*,
                 milliseconds Settings::*, LogLevel Settings::*,
                 LogFormat Settings::*>;

/// Required format of a text setting.
enum class TextFormat {
  Any,
  Name, ///< 1 to 100 bytes without space, tab, newline, '#' or '/'. Not the
        ///< rule of isValidName(). '#' separates VM and incarnation in daemon
        ///< ids.
  IpAddress
};

/// Describes one setting.
struct SettingDescriptor {
  std::string_view Section;
  std::string_view Name; ///< Ends in the unit if there is one: "timeoutMs".
  SettingMember Member;
  bool Required = false;
  std::uint64_t Min = 0;
  std::uint64_t Max = 0; ///< Unit as in Name; 0 if the setting is no number.
  TextFormat Format = TextFormat::Any;
  std::string_view Help;
};

/// \returns all settings.
const std::vector<SettingDescriptor> &settingsTable();

} // namespace sardinerill
