#pragma once

#include "core/units.hpp"

#include <deque>

namespace cicadahub::sharing
{

struct retry_limits
{
    /// Repeats allowed for each request, and besides these, in one window.
    double ratio = 0.2;
    double extra = 0;
    milliseconds window{10'000};
    /// Part of the allowance that is used: the windows of others lie elsewhere.
    double used_share = 0.7;
};

/// Bounds how often this host sends requests of one service again. Its part of
/// the fleet's extra is fixed, so that no contact with others is needed.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits) : m_limits(limits) {}

    void set_extra(double extra) { m_limits.extra = extra; }
    void on_request(time_point now);
    /// True if one more repeat may be sent; it is then counted.
    bool take(time_point now);

private:
    void discard_expired(time_point now);

    retry_limits m_limits;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

} // namespace cicadahub::sharing
