#include "decision/reachability/server_reach.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <utility>

namespace cicadahub::reachability
{

namespace
{

constexpr std::size_t min_targets_for_verdict = 2;

} // namespace

std::vector<std::size_t> choose_targets(std::span<const probe_target> from,
                                        std::size_t count, std::uint64_t random)
{
    std::vector<std::size_t> order(from.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), std::mt19937_64(random));
    std::map<service_id, std::size_t> chosen_of_service;
    std::vector<std::pair<std::size_t, std::size_t>> ranked;
    ranked.reserve(order.size());
    for (const std::size_t it : order)
    {
        ranked.emplace_back(chosen_of_service[from[it].service]++, it);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b)
                     { return a.first < b.first; });
    std::vector<std::size_t> chosen;
    for (std::size_t n = 0; n < std::min(count, ranked.size()); ++n)
    {
        chosen.push_back(ranked[n].second);
    }
    return chosen;
}

void server_reach::on_wait_began(time_point now)
{
    if (m_waiting++ == 0)
    {
        m_waits_since = now;
    }
}

void server_reach::on_wait_ended()
{
    CICADAHUB_INVARIANT(m_waiting > 0);
    --m_waiting;
}

bool server_reach::is_silent(time_point now) const
{
    return m_waiting > 0 &&
           now >= std::max(m_waits_since, m_last_contact) + silence_limit;
}

bool server_reach::is_probe_due(time_point now) const
{
    if (m_is_probing)
    {
        return false;
    }
    if (m_has_doubt)
    {
        return true;
    }
    if (m_is_cut_off || m_refused_since)
    {
        return now >= m_last_probe + return_probe_period;
    }
    return is_silent(now) && now >= m_last_probe + silence_probe_period;
}

void server_reach::on_probe_began(time_point now)
{
    m_is_probing = true;
    m_has_doubt = false;
    m_last_probe = now;
    m_contact_at_probe = m_last_contact_elsewhere;
}

void server_reach::on_contact_elsewhere(time_point at)
{
    m_last_contact_elsewhere = std::max(m_last_contact_elsewhere, at);
}

bool server_reach::has_contact_elsewhere() const
{
    return m_refused_since &&
           m_contact_at_probe > m_last_refused + contact_margin;
}

bool server_reach::on_probe_ended(probe_result result, std::size_t targets,
                                  time_point now)
{
    const bool was_cut_off = m_is_cut_off;
    const bool did_ask = asks_others();
    m_is_probing = false;
    if (result == probe_result::reached)
    {
        m_last_reached = now;
    }
    // A machine that refuses a connection is reached, unless others reach the
    // servers while all refuse this host.
    const bool is_shown = result == probe_result::silent || m_is_cut_off ||
                          has_contact_elsewhere();
    if (result == probe_result::refused && targets >= min_targets_for_verdict)
    {
        m_refused_since = m_refused_since.value_or(now);
        m_last_refused = now;
    }
    else
    {
        m_refused_since.reset();
    }
    m_is_cut_off = result != probe_result::reached && is_shown &&
                   (was_cut_off || targets >= min_targets_for_verdict);
    return m_is_cut_off != was_cut_off || asks_others() != did_ask;
}

} // namespace cicadahub::reachability
