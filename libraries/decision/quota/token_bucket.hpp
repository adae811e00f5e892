#pragma once

#include "decision/quota/types.hpp"

namespace cicadahub::quota
{

/// A bucket that fills at a rate up to a cap. Works in millionths of a token,
/// so that no rounding ever adds one.
class token_bucket
{
public:
    explicit token_bucket(rate_limit limit) : m_limit(limit) {}

    /// Begins empty at `now`.
    void start_empty(time_point now);

    /// Brings the level up to `now`, at most to the cap.
    void refill(time_point now, token_count cap);

    /// Takes `tokens` if there are as many.
    bool take(token_count tokens);
    void put_back(token_count tokens);

    /// Lowers the level to the cap, if it is above.
    void clamp_to(token_count cap);

    void set_limit(rate_limit limit) { m_limit = limit; }
    const rate_limit& limit() const { return m_limit; }
    token_count level() const;
    /// Time until the level reaches `tokens`.
    milliseconds time_to(token_count tokens) const;

private:
    rate_limit m_limit;
    std::int64_t m_level_millionths = 0;
    time_point m_filled_at{};
};

} // namespace cicadahub::quota
