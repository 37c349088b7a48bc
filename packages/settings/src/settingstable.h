#pragma once

#include "sardinerill/settings/settings.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// The table of settings: one row each, read through member pointers.

namespace sardinerill {

using SettingMember =
    std::variant<std::string Settings::*, unsigned Settings::*,
                 milliseconds Settings::*, LogLevel Settings::*,
                 LogFormat Settings::*>;

/// What a text setting must look like.
enum class TextFormat { Any, Name, IpAddress };

struct SettingDescriptor {
  std::string_view Section;
  std::string_view Name; ///< Ends in its unit, as in "timeoutMs".
  SettingMember Member;
  bool Required = false;
  std::uint64_t Min = 0;
  std::uint64_t Max = 0;
  TextFormat Format = TextFormat::Any;
  std::string_view Help;
};

/// \returns every setting there is.
const std::vector<SettingDescriptor> &settingsTable();

} // namespace sardinerill
