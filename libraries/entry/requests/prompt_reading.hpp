#pragma once

#include "entry/entry_state.hpp"

namespace cicadahub::entry
{

/// Size of a request's prompt; 0 tokens if the request does not state it.
routing::prompt_size prompt_size_of(const serving::request& request);

/// What the prompt would meet and cause at a server of the service with this
/// budget, for a request with this target. Empty if there is no budget, or the
/// servers' reading rate is not known.
std::optional<routing::prefill_outlook> prefill_outlook_of(
    const entry_state& state, const routing::prefill_budget* budget,
    const server_record& server, const routing::prompt_size& prompt,
    milliseconds target, time_point now);

/// Counts a prompt among those that a server has still to read, while the
/// object exists and until the first event of the answer.
class prompt_reading
{
public:
    /// `target` is empty if the request has none that is known here.
    prompt_reading(entry_state& state, server_table::record_pointer server,
                   const routing::prompt_size& prompt,
                   std::optional<milliseconds> target);
    ~prompt_reading();
    prompt_reading(const prompt_reading&) = delete;
    prompt_reading& operator=(const prompt_reading&) = delete;

    /// The first event has arrived of the answer to a request that was sent at
    /// `sent_at`.
    void on_first_event(time_point sent_at);
    /// The answer is complete, so that the server has the prompt in its cache.
    void on_completed();

    std::int64_t unread_tokens() const { return m_unread_tokens; }

private:
    void on_read();

    entry_state& m_state;
    server_table::record_pointer m_server;
    const routing::prompt_size& m_prompt;
    std::int64_t m_unread_tokens = 0;
    routing::unread_prompts::ticket m_ticket = 0;
    bool m_is_read = false;
};

} // namespace cicadahub::entry
