#include "decision/suspicion/suspect_table.hpp"

#include <algorithm>

namespace cicadahub::suspicion
{

namespace
{

/// More crashes of one request are of no use: it is refused after a few.
constexpr std::size_t max_crashes_per_request = 16;

/// Number of crashes of which a completion is told to other daemons. One crash
/// is far from a refusal, and a crashed server leaves hundreds of requests with
/// one.
constexpr std::uint32_t crashes_to_tell = 2;

constexpr milliseconds expiry_period{1'000};

} // namespace

std::uint32_t suspect_table::on_crash(const fingerprint& request,
                                      time_point now)
{
    evict_entries(now);
    suspect& it = m_suspects[request];
    it.last_crash = now;
    it.last_own_crash = now;
    it.told = it.total() + 1;
    return it.told;
}

std::uint32_t suspect_table::on_crash(const fingerprint& request,
                                      const request_crash& crash, bool is_own,
                                      time_point now)
{
    if (is_cleared(request, crash.at))
    {
        return 0;
    }
    evict_entries(now);
    suspect& it = m_suspects[request];
    if (is_own)
    {
        it.last_own_crash = now;
    }
    const bool is_full = it.crashes.size() >= max_crashes_per_request &&
                         !it.crashes.contains(crash.key);
    if (is_full)
    {
        it.last_crash = std::max(it.last_crash, crash.at);
        return it.total();
    }
    const auto [known, is_new] = it.crashes.emplace(crash.key, crash);
    time_point& at = known->second.at;
    // Reports may be late, so that the earliest time is the best.
    const bool is_earlier = crash.at < at;
    at = std::min(at, crash.at);
    it.last_crash = std::max(it.last_crash, at);
    if (is_new || is_earlier)
    {
        it.counted = count(it);
    }
    return it.total();
}

std::uint32_t suspect_table::count(const suspect& it)
{
    std::vector<request_crash> crashes;
    for (const auto& [key, crash] : it.crashes)
    {
        crashes.push_back(crash);
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const request_crash& left, const request_crash& right)
              { return left.at < right.at; });
    std::uint32_t counted = 0;
    time_point last{};
    for (const request_crash& crash : crashes)
    {
        const bool is_of_same_cause = counted > 0 && crash.sent_at < last &&
                                      crash.at < last + one_cause_time;
        if (!is_of_same_cause)
        {
            ++counted;
            last = crash.at;
        }
    }
    return counted;
}

bool suspect_table::on_notice(const fingerprint& request, std::uint32_t crashes,
                              time_point now)
{
    if (crashes == 0)
    {
        m_suspects.erase(request);
        return false;
    }
    return on_notice({request, crashes, now}, now);
}

bool suspect_table::on_notice(const request_notice& notice, time_point now)
{
    if (notice.crashes == 0)
    {
        on_completed(notice.request, notice.at, now);
        return false;
    }
    if (is_cleared(notice.request, notice.at) ||
        now >= notice.at + m_limits.kept_for)
    {
        return false;
    }
    evict_entries(now);
    suspect& it = m_suspects[notice.request];
    it.last_crash = std::max(it.last_crash, notice.at);
    const bool is_news = notice.crashes > it.total();
    it.told = std::max(it.told, notice.crashes);
    return is_news;
}

void suspect_table::on_completed(const fingerprint& request)
{
    m_suspects.erase(request);
}

std::uint32_t suspect_table::on_completed(const fingerprint& request,
                                          time_point answer_began,
                                          time_point now)
{
    const auto known = m_suspects.find(request);
    if (known == m_suspects.end())
    {
        return 0;
    }
    suspect& it = known->second;
    const std::uint32_t before = it.total();
    std::erase_if(it.crashes, [&](const auto& crash)
                  { return crash.second.at <= answer_began; });
    it.counted = count(it);
    if (it.last_crash <= answer_began)
    {
        it.told = 0;
    }
    const std::uint32_t cleared = before - it.total();
    if (cleared > 0)
    {
        clearing& mark = m_cleared[request];
        mark.answer_began = std::max(mark.answer_began, answer_began);
        mark.known_at = now;
        mark.is_news = before >= crashes_to_tell;
    }
    if (it.total() == 0)
    {
        m_suspects.erase(known);
    }
    return cleared;
}

bool suspect_table::is_cleared(const fingerprint& request,
                               time_point crash) const
{
    const auto it = m_cleared.find(request);
    return it != m_cleared.end() && crash <= it->second.answer_began;
}

std::vector<request_notice> suspect_table::notices(time_point since,
                                                   bool with_refused,
                                                   time_point now) const
{
    std::vector<request_notice> found;
    for (const auto& [request, it] : m_cleared)
    {
        if (it.is_news && it.known_at >= since)
        {
            found.push_back({request, 0, it.answer_began});
        }
    }
    const std::size_t clearings = found.size();
    for (const auto& [request, it] : m_suspects)
    {
        if (it.last_own_crash >= since || (with_refused && is_refused(it, now)))
        {
            found.push_back({request, it.total(), it.last_crash});
        }
    }
    std::sort(found.begin() + static_cast<std::ptrdiff_t>(clearings),
              found.end(),
              [](const request_notice& left, const request_notice& right)
              { return left.crashes > right.crashes; });
    return found;
}

bool suspect_table::is_refused(const suspect& it, time_point now) const
{
    return it.total() >= m_limits.crashes &&
           now < it.last_crash + m_limits.kept_for;
}

std::vector<request_notice> suspect_table::refused(time_point now) const
{
    std::vector<request_notice> found;
    for (const auto& [request, it] : m_suspects)
    {
        if (is_refused(it, now))
        {
            found.push_back({request, it.total(), it.last_crash});
        }
    }
    return found;
}

bool suspect_table::is_suspect(const fingerprint& request) const
{
    return m_suspects.contains(request);
}

bool suspect_table::is_refused(const fingerprint& request) const
{
    const auto at = m_suspects.find(request);
    return at != m_suspects.end() && at->second.total() >= m_limits.crashes;
}

bool suspect_table::has_refused() const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(),
                       [&](const auto& it)
                       { return it.second.total() >= m_limits.crashes; });
}

bool suspect_table::try_isolate(const server_id& server)
{
    return m_isolating.insert(server).second;
}

void suspect_table::end_isolation(const server_id& server)
{
    m_isolating.erase(server);
}

void suspect_table::evict_entries(time_point now)
{
    // Hundreds of crashes are reported at once.
    if (now >= m_next_expiry)
    {
        m_next_expiry = now + expiry_period;
        std::erase_if(
            m_suspects, [&](const auto& it)
            { return now >= it.second.last_crash + m_limits.kept_for; });
        std::erase_if(m_cleared,
                      [&](const auto& it) {
                          return now >= it.second.known_at + m_limits.kept_for;
                      });
    }
    while (m_suspects.size() >= m_limits.entries)
    {
        const auto oldest = std::min_element(
            m_suspects.begin(), m_suspects.end(),
            [](const auto& left, const auto& right)
            { return left.second.last_crash < right.second.last_crash; });
        m_suspects.erase(oldest);
    }
    while (m_cleared.size() >= m_limits.entries)
    {
        m_cleared.erase(std::min_element(
            m_cleared.begin(), m_cleared.end(),
            [](const auto& left, const auto& right)
            { return left.second.known_at < right.second.known_at; }));
    }
}

} // namespace cicadahub::suspicion
