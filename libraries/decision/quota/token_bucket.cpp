#include "decision/quota/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::quota
{

namespace
{

constexpr std::int64_t millionths = 1'000'000;
constexpr milliseconds longest_wait{60'000};

} // namespace

void token_bucket::start_empty(time_point now)
{
    m_level_millionths = 0;
    m_filled_at = now;
}

void token_bucket::refill(time_point now, token_count cap)
{
    if (now <= m_filled_at)
    {
        return;
    }
    // Microseconds times tokens per second give millionths of a token.
    const double gained = m_limit.tokens_per_second *
                          static_cast<double>((now - m_filled_at).count());
    const std::int64_t top = cap.value() * millionths;
    const double room = static_cast<double>(
        std::max<std::int64_t>(0, top - m_level_millionths));
    m_level_millionths +=
        static_cast<std::int64_t>(std::floor(std::min(gained, room)));
    m_filled_at = now;
}

bool token_bucket::take(token_count tokens)
{
    const std::int64_t wanted = tokens.value() * millionths;
    if (wanted > m_level_millionths)
    {
        return false;
    }
    m_level_millionths -= wanted;
    return true;
}

void token_bucket::put_back(token_count tokens)
{
    m_level_millionths += tokens.value() * millionths;
}

void token_bucket::clamp_to(token_count cap)
{
    m_level_millionths =
        std::min(m_level_millionths,
                 std::max<std::int64_t>(0, cap.value()) * millionths);
}

token_count token_bucket::level() const
{
    return token_count(m_level_millionths / millionths);
}

milliseconds token_bucket::time_to(token_count tokens) const
{
    const double missing =
        static_cast<double>(tokens.value() * millionths - m_level_millionths);
    if (missing <= 0)
    {
        return milliseconds(0);
    }
    const double us = missing / m_limit.tokens_per_second;
    const milliseconds wait(static_cast<std::int64_t>(std::ceil(us / 1000)));
    return std::min(wait, longest_wait);
}

} // namespace cicadahub::quota
