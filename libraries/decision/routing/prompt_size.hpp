#pragma once

#include <cstdint>
#include <vector>

namespace cicadahub::routing
{

/// A prompt up to the end of one of the parts that other prompts may share.
struct prompt_prefix
{
    /// Hash of the model, the adapter and the ids of all parts up to this one.
    std::uint64_t key = 0;
    /// Number of tokens from the begin of the prompt to the end of the part.
    std::int64_t tokens = 0;
};

/// What the time to read a prompt depends on.
struct prompt_size
{
    std::int64_t tokens = 0;
    /// In the order of the prompt, without the part that is specific to the
    /// request.
    std::vector<prompt_prefix> shared;

    std::int64_t shared_tokens() const
    {
        return shared.empty() ? 0 : shared.back().tokens;
    }
};

} // namespace cicadahub::routing
