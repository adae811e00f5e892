#pragma once

#include "entry/entry_state.hpp"
#include "entry/requests/exchange.hpp"

namespace cicadahub::entry
{

/// What one attempt that this host sent to a server shows of its request and of
/// the parts of its prompt: that they crash servers, or that they do not.
///
/// Keeps what it needs, since the end of an answer is examined once the answer
/// has been forwarded.
class crash_evidence
{
public:
    crash_evidence(entry_state& state, server_table::record_pointer server,
                   request_id request, suspicion::fingerprint fingerprint,
                   std::vector<suspicion::part_fingerprint> parts,
                   time_point sent_at);

    /// The server ended while it had the request.
    void on_crash(time_point crashed_at) const;

    /// The request had run for long when its server ended, so that it is not
    /// the cause. That the server ended tells something of others.
    void on_lasted(time_point began, time_point crashed_at) const;

    /// The answer completed. Only a success clears: a server that fails may
    /// not have begun the request. If nothing but the end of the connection
    /// marks the end of the answer, the server may have crashed.
    void on_answer(const exchange_result& result) const;

private:
    static net::awaitable<void> examine_end(crash_evidence it,
                                            time_point answer_began,
                                            time_point ended_at);
    void clear(time_point began) const;

    entry_state& m_state;
    server_table::record_pointer m_server;
    request_id m_request;
    suspicion::fingerprint m_fingerprint;
    /// Parts of the prompt that other requests may have too.
    std::vector<suspicion::part_fingerprint> m_parts;
    time_point m_sent_at{};
};

} // namespace cicadahub::entry
