#pragma once

#include "core/units.hpp"

#include <cmath>

namespace cicadahub::sharing
{

/// Rate of counted amounts, as an exponentially weighted moving average.
class rate_estimate
{
public:
    void add(double amount, time_point now)
    {
        decay(now);
        m_level += amount / window_seconds;
    }

    double per_second(time_point now)
    {
        decay(now);
        return m_level;
    }

private:
    /// Long enough to distinguish a few requests per second from none, and
    /// short compared with a shift of demand.
    static constexpr double window_seconds = 3;

    void decay(time_point now)
    {
        const std::chrono::duration<double> age = now - m_at;
        m_level *= std::exp(-age.count() / window_seconds);
        m_at = now;
    }

    double m_level = 0;
    time_point m_at{};
};

} // namespace cicadahub::sharing
