#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

/// Detects that a daemon lags behind its peers: a version that a peer has is
/// still missing here after `tolerance`. A steady stream of changes that each
/// arrive in time is not a lag.
class lag_detector
{
public:
    explicit lag_detector(milliseconds tolerance) : m_tolerance(tolerance) {}

    bool is_behind(object_version own, object_version newest, time_point now)
    {
        if (own >= m_target)
        {
            m_target = std::max(own, newest);
            m_target_since = now;
            return false;
        }
        return now >= m_target_since + m_tolerance;
    }

private:
    milliseconds m_tolerance;
    object_version m_target;
    time_point m_target_since{};
};

} // namespace cicadahub::sharing
