#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

/// Tells when a daemon has stayed behind its peers. Changes that come without
/// a pause do not count: only one that is still missing after `patience`.
class catch_up
{
public:
    explicit catch_up(milliseconds patience) : m_patience(patience) {}

    bool is_behind(object_version own, object_version newest, time_point now)
    {
        if (own >= m_wanted)
        {
            m_wanted = std::max(own, newest);
            m_since = now;
            return false;
        }
        return now >= m_since + m_patience;
    }

private:
    milliseconds m_patience;
    object_version m_wanted;
    time_point m_since{};
};

} // namespace cicadahub::sharing
