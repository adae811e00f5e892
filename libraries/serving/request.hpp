#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cicadahub::serving
{

struct token_counts
{
    std::int64_t prompt = 0;
    std::int64_t output_limit = 0;
};

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::string id;
    std::int64_t tokens = 0;
};

/// Properties of a request that decisions depend on. The message itself is
/// forwarded as received.
struct request
{
    request_id id;
    std::string host;
    std::string path;
    std::optional<key_hash> key;
    /// How long the caller waits for the answer, if the request states it.
    std::optional<milliseconds> caller_timeout;
    std::optional<model_id> model;
    std::optional<adapter_id> adapter;
    std::optional<token_counts> tokens;
    /// Id of the last event that the caller has of a stream that it takes up.
    std::optional<std::string> after_event;
    /// The request that brought the first event of that stream; empty if the
    /// caller does not name one.
    std::optional<request_id> resumes;
    /// In the order of the prompt; the last part is specific to this request.
    std::vector<prompt_part> prompt;
};

} // namespace cicadahub::serving
