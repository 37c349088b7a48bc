#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

/// \file
/// Strongly typed identifiers.

namespace sardinerill {

/// String identifier; identifiers with different \p Tag types do not convert
/// into each other.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Text) : Text(std::move(Text)) {}

  /// \returns the text of the identifier, as used in settings and logs.
  const std::string &str() const { return this->Text; }
  bool empty() const { return this->Text.empty(); }

  friend auto operator<=>(const StrongId &, const StrongId &) = default;
  friend bool operator==(const StrongId &, const StrongId &) = default;

private:
  std::string Text;
};

using TeamId = StrongId<struct TeamTag>;
using KeyId = StrongId<struct KeyTag>;
using VmId = StrongId<struct VmTag>;
using PoolId = StrongId<struct PoolTag>;
using ZoneId = StrongId<struct ZoneTag>;
using RackId = StrongId<struct RackTag>;
using ClassId = StrongId<struct ClassTag>;
using DaemonId = StrongId<struct DaemonTag>;
using RequestId = StrongId<struct RequestTag>;

} // namespace sardinerill

template <typename Tag> struct std::hash<sardinerill::StrongId<Tag>> {
  std::size_t operator()(const sardinerill::StrongId<Tag> &Id) const {
    return std::hash<std::string>()(Id.str());
  }
};
