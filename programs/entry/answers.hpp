#pragma once

#include "marigoldyard/coordination/entry_directory.hpp"
#include "marigoldyard/protocol/http_api.hpp"
#include "marigoldyard/transport/http_message.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Answer of an outcome other than complete.
/// @param Result the outcome
/// @param Cause the error
/// @param RetryAfter 0 when a retry does not help
/// @param Request request id, or empty
/// @return an application/problem+json response
HttpResponse problemAnswer(Outcome Result, const Error &Cause,
                           std::chrono::milliseconds RetryAfter = {},
                           std::string Request = {});

/// @brief Answer for a path, product or service that does not exist.
/// @param Detail what is unknown
/// @return a response with status 404
HttpResponse notFoundAnswer(std::string Detail);

/// @brief Answer to GET /v1/entries.
/// @param Directory the entries
HttpResponse entriesAnswer(const EntryDirectory &Directory);

/// @brief Answer to GET /v1/models.
/// @param Products names of the products that the caller may use
HttpResponse modelsAnswer(const std::vector<std::string> &Products);

/// @brief Answer to POST /v1/operations.
/// @param Operation the new id
HttpResponse operationOpenedAnswer(std::string_view Operation);

/// @brief Answer to PUT /v1/operations/{id}.
/// @param Status HTTP status of the service
/// @param Text body of the service's answer
HttpResponse operationAnswer(std::uint32_t Status, std::string Text);

/// @brief Head of a streamed answer.
/// @param Priority rank under which the request was served
HttpResponse sseHead(Rank Priority);

/// @brief Answer to a completion that is not streamed.
/// @param Head shared parts
/// @param Text the whole answer
/// @param Weights digest of the weights that made the answer
/// @param Priority rank under which the request was served
HttpResponse completionAnswer(const AnswerHead &Head, std::string_view Text,
                              const Digest &Weights, Rank Priority);

} // namespace marigoldyard
