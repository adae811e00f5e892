#pragma once

#include "decision/placement/types.hpp"

namespace cicadahub::placement
{

/// Enforces the weight store's limits. Only the owner of the placement shard
/// starts loads, so one budget covers the whole fleet.
class load_budget
{
public:
    explicit load_budget(load_limits limits) : m_limits(limits) {}

    /// Starts without budget: the first model load waits for one interval of
    /// the rate, since the previous owner may just have started a load.
    void restart(time_point now);

    bool can_start_model(std::uint32_t in_flight, time_point now) const;
    bool can_start_adapter(std::uint32_t in_flight) const;
    void spend_model(time_point now);

    /// Earliest time at which the rate allows the next load of a model.
    time_point next_model_at() const { return m_next_model; }

    const load_limits& limits() const { return m_limits; }

private:
    load_limits m_limits;
    time_point m_next_model{};
};

} // namespace cicadahub::placement
