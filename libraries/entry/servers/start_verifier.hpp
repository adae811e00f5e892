#pragma once

#include "entry/entry_state.hpp"

namespace cicadahub::entry
{

/// Asks servers that the list shows as started again, right after they had said
/// that they leave, whether they do. Until then they get no requests: the entry
/// may be ahead of the end of the former start, or wrong.
class start_verifier
{
public:
    /// Without an answer for this long, the list is believed.
    static constexpr milliseconds longest_verification{3'000};

    start_verifier(entry_state& state, const server_dialect& dialect)
        : m_state(state), m_dialect(dialect)
    {
    }

    void start();

private:
    net::awaitable<void> run();
    bool may_ask(const server_record& it, time_point now) const;
    net::awaitable<void> ask(server_table::record_pointer server);

    entry_state& m_state;
    const server_dialect& m_dialect;
};

} // namespace cicadahub::entry
