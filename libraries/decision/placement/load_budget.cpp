#include "decision/placement/load_budget.hpp"

#include <algorithm>

namespace cicadahub::placement
{

namespace
{

microseconds spacing_of(double models_per_second)
{
    return microseconds(
        static_cast<std::int64_t>(1'000'000 / models_per_second));
}

} // namespace

void load_budget::restart(time_point now)
{
    m_next_model = now + spacing_of(m_limits.models_per_second);
}

bool load_budget::can_start_model(std::uint32_t in_flight, time_point now) const
{
    return in_flight < m_limits.models_in_flight && now >= m_next_model;
}

bool load_budget::can_start_adapter(std::uint32_t in_flight) const
{
    return in_flight < m_limits.adapters_in_flight;
}

void load_budget::spend_model(time_point now)
{
    m_next_model =
        std::max(now, m_next_model) + spacing_of(m_limits.models_per_second);
}

} // namespace cicadahub::placement
