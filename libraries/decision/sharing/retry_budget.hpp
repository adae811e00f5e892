#pragma once

#include "core/units.hpp"

#include <deque>

namespace cicadahub::sharing
{

struct retry_limits
{
    /// Retries allowed per request of the window.
    double ratio = 0.2;
    /// Retries allowed per window in addition, regardless of its requests.
    double extra = 0;
    milliseconds window{10'000};
    /// Fraction of the allowance that is used. The rest is a margin for a check
    /// of the limit over windows that begin and end at other times.
    double used_share = 0.7;
};

/// Limits the retries that this host sends for one service. Its share of the
/// retries that the fleet may send in addition (`extra`) is fixed, so that
/// hosts need not coordinate.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits) : m_limits(limits) {}

    void set_extra(double extra) { m_limits.extra = extra; }
    void on_request(time_point now);
    /// Returns true and counts a retry if one more may be sent.
    bool take(time_point now);

private:
    void discard_expired(time_point now);

    retry_limits m_limits;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

} // namespace cicadahub::sharing
