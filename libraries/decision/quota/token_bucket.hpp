#pragma once

#include "decision/quota/types.hpp"

namespace cicadahub::quota
{

/// A token bucket that fills at a rate up to a cap. Counts in millionths of a
/// token and rounds down, so that rounding never adds tokens.
class token_bucket
{
public:
    explicit token_bucket(rate_limit limit) : m_limit(limit) {}

    /// Empties the bucket; it fills from `now` on.
    void start_empty(time_point now);

    /// Adds the tokens accrued until `now`, up to the cap.
    void refill(time_point now, token_count cap);

    /// Takes `tokens`, all or none.
    bool take(token_count tokens);
    void put_back(token_count tokens);

    /// Lowers the level to the cap if it exceeds it.
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
