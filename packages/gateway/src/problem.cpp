#include "sardinerill/gateway/problem.h"

#include <nlohmann/json.hpp>

namespace sardinerill {

std::string renderProblem(const Error &Err, const RequestId &Id) {
  const ErrorResponse &Answer = errorResponseFor(Err.Kind);
  nlohmann::ordered_json Body;
  Body["type"] = "urn:sardinerill:error:" + std::string(Answer.Name);
  Body["title"] = Answer.Title;
  Body["status"] = Answer.HttpStatus;
  Body["detail"] = Err.Detail;
  Body["kind"] = Answer.Name;
  Body["ran"] = toString(Answer.Execution);
  Body["retry"] = toString(Answer.Advice);
  if (Err.RetryAfter)
    Body["retryAfterMs"] = Err.RetryAfter->count();
  if (!Id.empty())
    Body["requestId"] = Id.str();
  using Json = nlohmann::ordered_json;
  return Body.dump(-1, ' ', true, Json::error_handler_t::replace);
}

std::string retryAfterSeconds(milliseconds Wait) {
  const auto Rounded = std::chrono::ceil<std::chrono::seconds>(Wait).count();
  return std::to_string(std::max<decltype(Rounded)>(1, Rounded));
}

} // namespace sardinerill
