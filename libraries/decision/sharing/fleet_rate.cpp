#include "decision/sharing/fleet_rate.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

namespace
{

/// All hosts together may spend this many times what is left before they have
/// heard one another again, since requests of one organisation come to few of
/// the hosts at a time: one in eight may spend it all. Should more do so, the
/// rate is passed by the demand of one period of telling, and paid back.
constexpr double common_factor = 8;
/// Part of the burst that a daemon assumes when it starts, as for its part.
constexpr double starting_part = 0.25;
/// The usual rest of the time until the common part is renewed: hosts tell one
/// another about once a second.
constexpr milliseconds common_renewal{500};

std::int64_t slack_of(const demand_view& view)
{
    return view.slack /
           static_cast<std::int64_t>(std::max<std::size_t>(1, view.hosts));
}

/// What this host may spend of the level before it hears the others again.
std::int64_t common_of(const demand_view& view, token_count level)
{
    if (!view.hears_all || level.value() <= 0)
    {
        return 0;
    }
    const auto left = static_cast<double>(level.value());
    const double part =
        view.is_calm
            ? std::min(1.0, common_factor / static_cast<double>(view.hosts))
            : view.share;
    return static_cast<std::int64_t>(left * part);
}

} // namespace

fleet_rate::fleet_rate(quota::rate_limit whole, const demand_view& view,
                       time_point now)
    : m_part(whole, view.share, slack_of(view), now), m_whole(whole),
      m_view(view)
{
    m_whole.start_empty(now);
    const auto burst = static_cast<double>(whole.burst.value());
    m_whole.put_back(
        token_count(static_cast<std::int64_t>(burst * starting_part)));
}

void fleet_rate::set(quota::rate_limit whole, const demand_view& view,
                     time_point now)
{
    m_whole.refill(now, m_whole.limit().burst);
    m_whole.put_back(
        token_count(m_view.spent_elsewhere - view.spent_elsewhere));
    m_view = view;
    m_part.set(whole, view.share, slack_of(view), now);
    m_whole.set_limit(whole);
    m_whole.limit_to(whole.burst);
    m_common = common_of(view, m_whole.level());
    m_common_left = m_common;
}

void fleet_rate::note_spent(std::int64_t tokens)
{
    m_spent += tokens;
    m_whole.put_back(token_count(-tokens));
}

bool fleet_rate::take_from_common(std::int64_t tokens)
{
    // A request larger than the common part passes when that is untouched.
    const std::int64_t needed = std::min(tokens, m_common);
    if (needed == 0 || m_common_left < needed ||
        m_whole.level().value() < tokens)
    {
        return false;
    }
    m_common_left -= tokens;
    return true;
}

std::optional<milliseconds> fleet_rate::charge(std::int64_t tokens,
                                               time_point now)
{
    m_whole.refill(now, m_whole.limit().burst);
    const token_count allowed_debt(-m_view.slack);
    if (m_whole.level() < allowed_debt)
    {
        return m_whole.time_to(allowed_debt);
    }
    auto wait = m_part.charge(tokens, now);
    if (!wait || take_from_common(tokens))
    {
        note_spent(tokens);
        return std::nullopt;
    }
    return m_view.is_calm ? std::min(*wait, common_renewal) : *wait;
}

} // namespace cicadahub::sharing
