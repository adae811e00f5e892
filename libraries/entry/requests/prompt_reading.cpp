#include "entry/requests/prompt_reading.hpp"

namespace cicadahub::entry
{

namespace
{

/// Callers state the numbers. No body within the limits has as many tokens, and
/// sums of these do not overflow.
constexpr std::int64_t max_prompt_tokens = 4'194'304;

std::uint64_t key_of(const server_record& server)
{
    constexpr std::uint64_t odd_factor = 0x9e3779b97f4a7c15U;
    return std::hash<std::string>{}(server.entry.id.value()) ^
           static_cast<std::uint64_t>(server.entry.incarnation) * odd_factor;
}

std::int64_t unread_tokens_of(const entry_state& state,
                              const server_record& server,
                              const routing::prompt_size& prompt,
                              time_point now)
{
    if (prompt.shared.empty())
    {
        return prompt.tokens;
    }
    const std::int64_t cached =
        state.cached_prefixes.cached_tokens(key_of(server), prompt, now);
    return prompt.tokens - std::min(cached, prompt.tokens);
}

} // namespace

routing::prompt_size prompt_size_of(const serving::request& request)
{
    const auto clamped = [](std::int64_t tokens)
    {
        return std::clamp<std::int64_t>(tokens, 0, max_prompt_tokens);
    };
    routing::prompt_size it;
    std::string key = request.model ? request.model->value() : std::string();
    key += '/' + (request.adapter ? request.adapter->value() : std::string());
    for (std::size_t n = 0; n < request.prompt.size(); ++n)
    {
        const serving::prompt_part& part = request.prompt[n];
        it.tokens = clamped(it.tokens + clamped(part.tokens));
        if (n + 1 < request.prompt.size())
        {
            key += '/' + part.id;
            it.shared.push_back({std::hash<std::string>{}(key), it.tokens});
        }
    }
    if (request.tokens)
    {
        it.tokens = clamped(request.tokens->prompt);
    }
    return it;
}

std::optional<routing::prefill_outlook> prefill_outlook_of(
    const entry_state& state, const routing::prefill_budget* budget,
    const server_record& server, const routing::prompt_size& prompt,
    milliseconds target, time_point now)
{
    if (budget == nullptr)
    {
        return std::nullopt;
    }
    return budget->outlook_of(
        server.unread,
        {unread_tokens_of(state, server, prompt, now),
         std::max<std::int64_t>(0, prompt.tokens - prompt.shared_tokens()),
         target, server.running_elsewhere > 0, server.rank},
        now);
}

prompt_reading::prompt_reading(entry_state& state,
                               server_table::record_pointer server,
                               const routing::prompt_size& prompt,
                               std::optional<milliseconds> target)
    : m_state(state), m_server(std::move(server)), m_prompt(prompt)
{
    const time_point now = monotonic_clock::now();
    m_unread_tokens = unread_tokens_of(m_state, *m_server, m_prompt, now);
    auto& budget = m_state.prefill_budgets[m_server->entry.service];
    if (target)
    {
        budget.on_request(m_unread_tokens, *target, now);
    }
    m_ticket = m_server->unread.on_sent(
        m_unread_tokens, target,
        now + budget.longest_reading(m_server->unread, m_unread_tokens, now));
    m_state.metrics.add_unread_tokens(m_unread_tokens);
}

prompt_reading::~prompt_reading()
{
    on_read();
    m_server->unread.on_ended(m_ticket);
}

void prompt_reading::on_read()
{
    if (!std::exchange(m_is_read, true))
    {
        m_server->unread.on_read(m_ticket);
        m_state.metrics.add_unread_tokens(-m_unread_tokens);
    }
}

void prompt_reading::on_first_event(time_point sent_at)
{
    if (m_is_read)
    {
        return;
    }
    on_read();
    const std::int64_t specific =
        m_prompt.tokens - std::min(m_prompt.tokens, m_prompt.shared_tokens());
    m_state.prefill_budgets[m_server->entry.service].on_first_event(
        specific, monotonic_clock::now() - sent_at);
}

void prompt_reading::on_completed()
{
    if (!m_prompt.shared.empty())
    {
        m_state.cached_prefixes.on_completed(key_of(*m_server), m_prompt,
                                             monotonic_clock::now());
    }
}

} // namespace cicadahub::entry
