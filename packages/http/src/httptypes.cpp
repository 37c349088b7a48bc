#include "sardinerill/http/httptypes.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sardinerill {

namespace {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  });
}

} // namespace

std::string HttpRequest::header(std::string_view Name) const {
  for (const HttpHeader &Header : this->Headers)
    if (equalIgnoringCase(Header.Name, Name))
      return Header.Value;
  return "";
}

Endpoint Endpoint::parse(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return {};
  Endpoint Parsed{.Address = std::string(Text.substr(0, Colon))};
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  auto [End, EC] = std::from_chars(First, Last, Parsed.Port);
  if (EC != std::errc() || End != Last || Parsed.Address.empty())
    return {};
  return Parsed;
}

std::string Endpoint::str() const {
  return this->Address + ":" + std::to_string(this->Port);
}

} // namespace sardinerill
