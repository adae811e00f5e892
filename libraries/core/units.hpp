#pragma once

#include "core/strong_type.hpp"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace cicadahub
{

using token_count = strong_type<struct token_count_tag, std::int64_t>;
using byte_count = strong_type<struct byte_count_tag, std::int64_t>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic clock that keeps counting while the host is suspended. Its times
/// must not be compared with those of another process.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        timespec it{};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(it.tv_sec) +
            std::chrono::nanoseconds(it.tv_nsec)));
    }
};

using time_point = monotonic_clock::time_point;

} // namespace cicadahub
