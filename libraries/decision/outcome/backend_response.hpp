#pragma once

#include "decision/outcome/response_meaning.hpp"

#include <cstdint>

namespace cicadahub::outcome
{

/// What a response of a model engine or a plain service says, and where it
/// arrived. These servers need not name the request in their responses.
struct backend_response_facts
{
    /// HTTP status.
    unsigned status = 0;
    named_party request = named_party::missing;
    /// No other request had the id. Ids that callers choose may repeat.
    bool has_unique_id = false;
    /// Exchanges that the connection had completed before this one.
    std::uint32_t earlier_exchanges = 0;
    /// By the server's interface the status means that the request was not
    /// executed.
    bool states_not_run = false;
    /// More bytes came after the response, though no other request was sent.
    bool has_bytes_behind = false;
};

response_meaning meaning_of(const backend_response_facts& it);

} // namespace cicadahub::outcome
