#include "decision/suspicion/suspect_table.hpp"

#include <algorithm>
#include <utility>

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
    it.last_own_news = now;
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
        it.last_own_news = now;
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
        recount(request, it);
    }
    return it.total();
}

void suspect_table::recount(const fingerprint& request, suspect& it)
{
    it.counted = count(it, {});
    m_has_changed = true;
    if (it.counted >= m_limits.crashes)
    {
        m_candidates.insert(request);
    }
    else
    {
        m_candidates.erase(request);
    }
}

milliseconds suspect_table::time_at_server(const request_crash& it)
{
    return std::chrono::duration_cast<milliseconds>(it.at - it.sent_at);
}

milliseconds suspect_table::median_time_at_server(const suspect& it)
{
    std::vector<milliseconds> times;
    for (const auto& [key, crash] : it.crashes)
    {
        times.push_back(time_at_server(crash));
    }
    const std::size_t middle = (times.size() - 1) / 2;
    std::nth_element(times.begin(),
                     times.begin() + static_cast<std::ptrdiff_t>(middle),
                     times.end());
    return times[middle];
}

void suspect_table::judge() const
{
    if (!std::exchange(m_has_changed, false))
    {
        return;
    }
    m_causes.clear();
    // The cause of a crash has just been sent when the server ends.
    std::vector<std::pair<milliseconds, fingerprint>> by_time;
    for (const fingerprint& it : m_candidates)
    {
        by_time.emplace_back(median_time_at_server(m_suspects.at(it)), it);
    }
    std::sort(by_time.begin(), by_time.end());
    explanations explained;
    for (const auto& [time, request] : by_time)
    {
        const suspect& it = m_suspects.at(request);
        if (count(it, explained) < m_limits.crashes)
        {
            continue;
        }
        m_causes.insert(request);
        for (const auto& [key, crash] : it.crashes)
        {
            const auto known =
                explained.try_emplace(key, time_at_server(crash));
            milliseconds& least = known.first->second;
            least = std::min(least, time_at_server(crash));
        }
    }
}

std::uint32_t suspect_table::count(const suspect& it, const explanations& by)
{
    std::vector<request_crash> crashes;
    for (const auto& [key, crash] : it.crashes)
    {
        const auto cause = by.find(key);
        const bool is_explained =
            cause != by.end() &&
            time_at_server(crash) >
                explaining_factor * cause->second + explaining_margin;
        if (!is_explained)
        {
            crashes.push_back(crash);
        }
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
        erase(request);
        return false;
    }
    return on_notice({request, crashes, now, 0}, now);
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
    it.trials = std::max(it.trials, notice.trials);
    return is_news;
}

void suspect_table::on_completed(const fingerprint& request)
{
    erase(request);
}

void suspect_table::erase(const fingerprint& request)
{
    m_suspects.erase(request);
    m_has_changed = m_candidates.erase(request) > 0 || m_has_changed;
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
    recount(request, it);
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
        erase(request);
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
            found.push_back({request, 0, it.answer_began, 0});
        }
    }
    const std::size_t clearings = found.size();
    for (const auto& [request, it] : m_suspects)
    {
        const bool is_told =
            it.last_own_news >= since ||
            (with_refused && now < it.last_crash + m_limits.kept_for &&
             is_refused(request, it));
        if (is_told)
        {
            found.push_back({request, crashes_to_tell_of(request, it),
                             it.last_crash, it.trials});
        }
    }
    std::sort(found.begin() + static_cast<std::ptrdiff_t>(clearings),
              found.end(),
              [](const request_notice& left, const request_notice& right)
              { return left.crashes > right.crashes; });
    return found;
}

bool suspect_table::is_refused(const fingerprint& request,
                               const suspect& it) const
{
    // A number says less than the crashes themselves, if they are all known.
    const bool is_told = it.told >= m_limits.crashes && it.told > it.counted;
    judge();
    return is_told || m_causes.contains(request);
}

std::uint32_t suspect_table::crashes_to_tell_of(const fingerprint& request,
                                                const suspect& it) const
{
    return is_refused(request, it) ? it.total()
                                   : std::min(it.total(), m_limits.crashes - 1);
}

std::vector<request_notice> suspect_table::refused(time_point now) const
{
    std::vector<request_notice> found;
    for (const auto& [request, it] : m_suspects)
    {
        if (now < it.last_crash + m_limits.kept_for && is_refused(request, it))
        {
            found.push_back({request, it.total(), it.last_crash, it.trials});
        }
    }
    return found;
}

std::vector<suspect_table::known_crash>
suspect_table::known_crashes(std::size_t count, time_point now) const
{
    using ranked = std::pair<std::uint32_t, time_point>;
    std::vector<std::pair<ranked, const std::pair<const fingerprint, suspect>*>>
        requests;
    for (const auto& it : m_suspects)
    {
        const suspect& state = it.second;
        if (!state.crashes.empty() &&
            now < state.last_crash + m_limits.kept_for)
        {
            requests.emplace_back(ranked(state.counted, state.last_crash), &it);
        }
    }
    const auto last = requests.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(count, requests.size()));
    std::partial_sort(requests.begin(), last, requests.end(),
                      [](const auto& left, const auto& right)
                      { return left.first > right.first; });
    std::vector<known_crash> found;
    for (auto it = requests.begin(); it != last; ++it)
    {
        for (const auto& [key, crash] : it->second->second.crashes)
        {
            if (found.size() >= count)
            {
                return found;
            }
            found.push_back({it->second->first, crash});
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
    return at != m_suspects.end() && is_refused(request, at->second);
}

bool suspect_table::has_refused() const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(),
                       [&](const auto& it)
                       { return is_refused(it.first, it.second); });
}

bool suspect_table::try_admit(const fingerprint& request, milliseconds delay,
                              time_point now)
{
    const auto known = m_suspects.find(request);
    if (known == m_suspects.end())
    {
        return false;
    }
    suspect& it = known->second;
    const bool is_due =
        (it.trials == 0 && now >= it.last_crash + first_trial_after + delay) ||
        (it.trials == 1 && now >= it.last_crash + second_trial_after + delay);
    if (is_due)
    {
        ++it.trials;
        it.last_own_news = now;
    }
    return is_due;
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
        std::erase_if(m_candidates, [&](const fingerprint& it)
                      { return !m_suspects.contains(it); });
        m_has_changed = true;
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
        const fingerprint request = oldest->first;
        erase(request);
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
