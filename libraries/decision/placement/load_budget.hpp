#pragma once

#include "decision/placement/types.hpp"

namespace cicadahub::placement
{

/// The weight store's limits. One owner spends them for the whole fleet.
class load_budget
{
public:
    explicit load_budget(load_limits limits) : m_limits(limits) {}

    /// A new owner does not know what its predecessor has just spent, so that
    /// it starts from nothing and waits for the first load.
    void restart(time_point now);

    bool can_start_model(std::uint32_t in_flight, time_point now) const;
    bool can_start_adapter(std::uint32_t in_flight) const;
    void spend_model(time_point now);

    /// When the rate next allows the load of a model.
    time_point next_model_at() const { return m_next_model; }

    const load_limits& limits() const { return m_limits; }

private:
    load_limits m_limits;
    time_point m_next_model{};
};

} // namespace cicadahub::placement
