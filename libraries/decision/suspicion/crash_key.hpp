#pragma once

#include "core/ids.hpp"

#include <compare>
#include <cstdint>

namespace cicadahub::suspicion
{

/// Identifies a crash, however many hosts report it: a start of a server ends
/// once.
struct crash_key
{
    server_id server;
    std::int64_t incarnation = 0;

    friend auto operator<=>(const crash_key&, const crash_key&) = default;
};

} // namespace cicadahub::suspicion
