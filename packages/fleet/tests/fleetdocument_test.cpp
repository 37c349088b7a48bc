#include "sardinerill/fleet/fleetdocument.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using nlohmann::json;

// An operator who applies what the daemon shows would remove what is missing.
TEST_CASE("redacting removes the secrets of keys and nothing that has the name "
          "of one") {
  const json Key{{"salt", "aa"}, {"hash", "bb"}, {"withdrawn", true}};
  const json Shown{{"withdrawn", true}};
  const auto MakeDocument = [](const json &KeyFields) {
    const json Keys{{"salt", KeyFields}, {"hash", KeyFields}, {"k", KeyFields}};
    const json Pool{{"slotsPerVm", 4}};
    const json Team{{"ceiling", 3}, {"keys", Keys}};
    json Document{{"pools", {{"salt", Pool}, {"hash", Pool}}},
                  {"zones", {{"salt", json::object()}}},
                  {"vms", {{"hash", {{"pool", "salt"}, {"zone", "salt"}}}}},
                  {"classes", {{"salt", {{"pool", "hash"}}}}},
                  {"teams", {{"salt", Team}, {"hash", Team}}}};
    Document["operators"]["keys"] = Keys;
    return Document;
  };
  CHECK(redactDocument(MakeDocument(Key)) == MakeDocument(Shown));
  CHECK(redactDocument(json::object()) == json::object());
}
