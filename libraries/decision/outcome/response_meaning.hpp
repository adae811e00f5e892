#pragma once

#include <string_view>

namespace cicadahub::outcome
{

/// Whether a response names the request, or the server, that it should.
enum class named_party
{
    missing,
    expected,
    other,
};

std::string_view name_of(named_party it);

/// What the head of a response says.
struct response_facts
{
    /// HTTP status.
    unsigned status = 0;
    named_party request = named_party::missing;
    /// Most responses name no server.
    named_party server = named_party::missing;
    /// The server states that it has not executed the request.
    bool states_not_run = false;
    /// The server has marked the response as its own.
    bool has_proof_of_origin = false;
};

/// What a response says of the request that was sent.
enum class response_meaning
{
    /// To be forwarded to the caller.
    answer,
    /// Not executed: the server is full or cannot meet the deadline.
    turned_away,
    /// Not executed: another server has the address and names itself, or the
    /// model is not loaded.
    not_here,
    /// The server's response to the request, but its status would promise the
    /// caller that the request was not executed, and nothing proves that.
    unproven_promise,
    /// Not the response to the request, or not shown to be.
    not_an_answer,
};

response_meaning meaning_of(const response_facts& it);

} // namespace cicadahub::outcome
