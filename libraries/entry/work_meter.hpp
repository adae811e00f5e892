#pragma once

#include "core/units.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace cicadahub::entry
{

/// Kinds of work of a daemon's event loop that grow with the number of hosts,
/// servers or waiting requests.
enum class duty
{
    digests_received,
    digests_sent,
    server_choice,
    planning,
    objects,
};

inline constexpr std::size_t duty_count = 5;

std::string_view name_of(duty it);

/// Adds up the time that an event loop spends on each duty; not thread-safe.
class work_meter
{
public:
    struct amount
    {
        std::uint64_t times = 0;
        monotonic_clock::duration spent{};
    };

    using amounts = std::array<amount, duty_count>;

    /// Adds its lifetime to a duty. Must not live across a suspension.
    class scope
    {
    public:
        scope(work_meter& meter, duty it)
            : m_amount(meter.m_amounts[static_cast<std::size_t>(it)]),
              m_began(monotonic_clock::now())
        {
        }
        ~scope()
        {
            ++m_amount.times;
            m_amount.spent += monotonic_clock::now() - m_began;
        }
        scope(const scope&) = delete;
        scope& operator=(const scope&) = delete;

    private:
        amount& m_amount;
        time_point m_began;
    };

    /// Returns what was added since the last call.
    amounts take();

private:
    amounts m_amounts{};
};

} // namespace cicadahub::entry
