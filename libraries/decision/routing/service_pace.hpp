#pragma once

#include "core/units.hpp"

#include <optional>

namespace cicadahub::routing
{

/// How long an attempt took.
struct attempt_times
{
    /// To the first event, or to the head of another answer.
    milliseconds first{0};
    milliseconds whole{0};
};

/// `pace` times as long.
inline milliseconds scaled(milliseconds it, double pace)
{
    return std::chrono::ceil<milliseconds>(
        pace * std::chrono::duration<double, std::milli>(it));
}

/// What is usual at the servers of one service: whether they state their pace,
/// and how long requests take at a server of usual pace.
class service_pace
{
public:
    /// The servers are chosen by pace for this long after one stated it.
    static constexpr milliseconds statement_lifetime{30'000};

    void on_stated(time_point now) { m_stated_at = now; }
    bool is_stated(time_point now) const
    {
        return m_stated_at && now <= *m_stated_at + statement_lifetime;
    }

    /// `stated_pace` is that of the server, 1 if it is usual.
    void on_outcome(const attempt_times& it, double stated_pace);
    /// Geometric means, since few requests take many times as long as most.
    attempt_times usual() const;

private:
    std::optional<time_point> m_stated_at;
    std::uint32_t m_outcomes = 0;
    /// Means of the logarithms.
    double m_log_first = 0;
    double m_log_whole = 0;
};

} // namespace cicadahub::routing
