#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <string_view>

namespace cicadahub::caller
{

/// The fields of an OpenAI-style completion request that the daemon uses.
struct completion_request
{
    model_id model;
    bool is_stream = false;
    /// Tokens charged before the request runs: its prompt, estimated from the
    /// length of the body, and the longest answer that it allows.
    token_count expected_tokens;
};

/// Throws `refused_error` if the body is not a valid completion request.
completion_request parse_completion(std::string_view body);

} // namespace cicadahub::caller
