#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <string_view>

namespace cicadahub::caller
{

/// What the daemon reads of an OpenAI-style completion request.
struct completion_request
{
    model_id model;
    bool is_stream = false;
    /// Tokens that the request is charged for before it runs: its prompt by
    /// length, and the answer that it allows.
    token_count expected_tokens;
};

/// Throws `refused_error` if the body is none.
completion_request parse_completion(std::string_view body);

} // namespace cicadahub::caller
