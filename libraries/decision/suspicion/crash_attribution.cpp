#include "decision/suspicion/crash_attribution.hpp"

#include <algorithm>
#include <utility>

namespace cicadahub::suspicion
{

void crash_attribution::on_crash(const server_crash& it, bool is_own,
                                 time_point now)
{
    const auto [known, is_new] = m_crashes.try_emplace(it.key);
    known_crash& crash = known->second;
    // Reports may be late, so that the earliest time is the best.
    crash.at = is_new ? it.at : std::min(crash.at, it.at);
    for (const crashed_request& reported : it.requests)
    {
        crashed_request request = reported;
        std::erase_if(request.parts, [&](const part_fingerprint& part)
                      { return is_cleared(part, it.at); });
        if (is_own)
        {
            crash.own_requests.insert(request.request);
            crash.own_since = now;
        }
        m_has_changed =
            crash.requests.try_emplace(request.request, std::move(request))
                .second ||
            m_has_changed;
    }
    expire(now);
}

bool crash_attribution::is_cleared(const part_fingerprint& part,
                                   time_point crash) const
{
    const auto it = m_cleared.find(part);
    return it != m_cleared.end() && it->second.answer_began >= crash;
}

bool crash_attribution::clear(const part_fingerprint& part,
                              time_point answer_began, time_point now)
{
    bool is_accused = false;
    for (auto& [key, crash] : m_crashes)
    {
        if (crash.at > answer_began)
        {
            continue;
        }
        for (auto& [id, request] : crash.requests)
        {
            is_accused = std::erase(request.parts, part) > 0 || is_accused;
        }
    }
    const auto refused = m_refused.find(part);
    if (refused != m_refused.end() &&
        refused->second.last_crash <= answer_began)
    {
        m_refused.erase(refused);
        is_accused = true;
    }
    if (!is_accused)
    {
        return false;
    }
    clearing& it = m_cleared[part];
    it.answer_began = std::max(it.answer_began, answer_began);
    it.known_at = now;
    m_has_changed = true;
    return true;
}

void crash_attribution::clear_into(clearing_result& result,
                                   const part_fingerprint& part,
                                   time_point answer_began, time_point now)
{
    const bool was_refused = m_refused.contains(part);
    result.has_cleared = clear(part, answer_began, now) || result.has_cleared;
    if (was_refused && !m_refused.contains(part))
    {
        result.readmitted.push_back(part);
    }
}

crash_attribution::clearing_result
crash_attribution::on_completed(const std::vector<part_fingerprint>& parts,
                                time_point answer_began, time_point now)
{
    clearing_result result;
    for (const part_fingerprint& it : parts)
    {
        clear_into(result, it, answer_began, now);
    }
    return result;
}

crash_attribution::clearing_result crash_attribution::on_lasting(
    const std::map<part_fingerprint, time_point>& began, time_point now)
{
    // Many requests run, and few of their parts are accused.
    std::set<part_fingerprint> accused;
    for (const auto& [key, crash] : m_crashes)
    {
        for (const auto& [id, request] : crash.requests)
        {
            accused.insert(request.parts.begin(), request.parts.end());
        }
    }
    for (const auto& [part, it] : m_refused)
    {
        accused.insert(part);
    }
    clearing_result result;
    for (const part_fingerprint& it : accused)
    {
        const auto known = began.find(it);
        if (known != began.end())
        {
            clear_into(result, it, known->second, now);
        }
    }
    return result;
}

bool crash_attribution::is_anything_accused() const
{
    const auto has_parts = [](const auto& it)
    {
        return !it.second.parts.empty();
    };
    return !m_refused.empty() ||
           std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const auto& it)
                       {
                           const auto& requests = it.second.requests;
                           return std::any_of(requests.begin(), requests.end(),
                                              has_parts);
                       });
}

std::vector<part_fingerprint> crash_attribution::take_new_causes()
{
    return std::exchange(m_new_causes, {});
}

bool crash_attribution::is_any_accused(
    const std::vector<part_fingerprint>& parts) const
{
    const auto is_accused = [&](const part_fingerprint& part)
    {
        return m_refused.contains(part) ||
               std::any_of(m_crashes.begin(), m_crashes.end(),
                           [&](const auto& crash)
                           { return accuses(crash.second, part); });
    };
    return std::any_of(parts.begin(), parts.end(), is_accused);
}

bool crash_attribution::accuses(const known_crash& crash,
                                const part_fingerprint& part)
{
    return std::any_of(crash.requests.begin(), crash.requests.end(),
                       [&](const auto& it)
                       {
                           const auto& parts = it.second.parts;
                           return std::find(parts.begin(), parts.end(), part) !=
                                  parts.end();
                       });
}

bool crash_attribution::on_cleared(const part_notice& it, time_point now)
{
    const bool was_refused = m_refused.contains(it.part);
    clear(it.part, it.at, now);
    return was_refused && !m_refused.contains(it.part);
}

bool crash_attribution::on_refused(const part_notice& it, time_point now)
{
    if (is_cleared(it.part, it.at) || now >= it.at + kept_for)
    {
        return false;
    }
    const auto [known, is_new] = m_refused.try_emplace(it.part);
    refusal_state& state = known->second;
    state.last_crash = is_new ? it.at : std::max(state.last_crash, it.at);
    state.trials = std::max(state.trials, it.trials);
    m_has_changed = m_has_changed || is_new;
    return is_new;
}

std::optional<part_fingerprint>
crash_attribution::find_refused(const std::vector<part_fingerprint>& parts,
                                time_point now)
{
    update(now);
    for (const part_fingerprint& it : parts)
    {
        if (m_refused.contains(it))
        {
            return it;
        }
    }
    return std::nullopt;
}

bool crash_attribution::try_admit(const part_fingerprint& part,
                                  milliseconds delay, time_point now)
{
    const auto known = m_refused.find(part);
    if (known == m_refused.end())
    {
        return false;
    }
    refusal_state& it = known->second;
    const bool is_due =
        (it.trials == 0 && now >= it.last_crash + first_trial_after + delay) ||
        (it.trials == 1 && now >= it.last_crash + second_trial_after + delay);
    it.trials += is_due ? 1 : 0;
    return is_due;
}

std::vector<server_crash>
crash_attribution::own_crashes_since(time_point since) const
{
    std::vector<server_crash> found;
    for (const auto& [key, crash] : m_crashes)
    {
        if (crash.own_since < since || crash.own_requests.empty())
        {
            continue;
        }
        server_crash& it = found.emplace_back();
        it.key = key;
        it.at = crash.at;
        for (const fingerprint& id : crash.own_requests)
        {
            it.requests.push_back(crash.requests.at(id));
        }
    }
    return found;
}

std::vector<part_fingerprint>
crash_attribution::accused_parts(const crash_key& crash,
                                 const fingerprint& request) const
{
    const auto known = m_crashes.find(crash);
    if (known == m_crashes.end())
    {
        return {};
    }
    const auto it = known->second.requests.find(request);
    return it == known->second.requests.end() ? std::vector<part_fingerprint>()
                                              : it->second.parts;
}

std::vector<part_notice>
crash_attribution::cleared_since(time_point since) const
{
    std::vector<part_notice> found;
    for (const auto& [part, it] : m_cleared)
    {
        if (it.known_at >= since)
        {
            found.push_back({part, it.answer_began, 0});
        }
    }
    return found;
}

std::vector<part_notice> crash_attribution::refused(time_point now)
{
    update(now);
    std::vector<part_notice> found;
    for (const auto& [part, it] : m_refused)
    {
        found.push_back({part, it.last_crash, it.trials});
    }
    return found;
}

void crash_attribution::expire(time_point now)
{
    std::erase_if(m_crashes, [&](const auto& it)
                  { return now >= it.second.at + kept_for; });
    std::erase_if(m_refused, [&](const auto& it)
                  { return now >= it.second.last_crash + kept_for; });
    std::erase_if(m_cleared, [&](const auto& it)
                  { return now >= it.second.known_at + kept_for; });
    while (m_crashes.size() > max_crashes)
    {
        m_crashes.erase(
            std::min_element(m_crashes.begin(), m_crashes.end(),
                             [](const auto& left, const auto& right)
                             { return left.second.at < right.second.at; }));
    }
    while (m_cleared.size() > max_parts)
    {
        m_cleared.erase(std::min_element(
            m_cleared.begin(), m_cleared.end(),
            [](const auto& left, const auto& right)
            { return left.second.known_at < right.second.known_at; }));
    }
}

void crash_attribution::update(time_point now)
{
    if (!m_has_changed && now < m_next_update)
    {
        return;
    }
    m_has_changed = false;
    expire(now);
    judge(now);
    m_next_update = time_point::max();
    for (const auto& [key, crash] : m_crashes)
    {
        if (crash.at + settling_time > now)
        {
            m_next_update = std::min(m_next_update, crash.at + settling_time);
        }
    }
}

void crash_attribution::judge(time_point now)
{
    accusations all = collect_accusations(now);
    for (auto& [part, it] : m_refused)
    {
        const auto more = all.find(part);
        if (more != all.end())
        {
            it.last_crash =
                std::max(it.last_crash, more->second.back().crashed_at);
            explain(all, part);
        }
    }
    while (const auto cause = find_cause(all))
    {
        m_refused[*cause].last_crash = all.at(*cause).back().crashed_at;
        m_new_causes.push_back(*cause);
        explain(all, *cause);
    }
}

std::optional<part_fingerprint>
crash_attribution::find_cause(const accusations& all)
{
    std::map<part_fingerprint, weight_of_evidence> suspects;
    std::size_t most_crashes = 0;
    for (const auto& [part, by] : all)
    {
        const weight_of_evidence weight = weigh(by);
        if (is_enough(weight))
        {
            suspects[part] = weight;
            most_crashes = std::max(most_crashes, weight.crashes);
        }
    }
    std::optional<part_fingerprint> cause;
    std::pair<std::size_t, std::size_t> highest;
    for (const auto& [part, weight] : suspects)
    {
        const std::pair rank(weight.depth, weight.crashes);
        const bool is_comparable =
            static_cast<double>(weight.crashes) >=
            comparable_share * static_cast<double>(most_crashes);
        if (is_comparable && (!cause || highest < rank))
        {
            cause = part;
            highest = rank;
        }
    }
    return cause;
}

std::map<crash_key, std::set<part_fingerprint>>
crash_attribution::parts_by_crash() const
{
    std::map<crash_key, std::set<part_fingerprint>> found;
    for (const auto& [key, crash] : m_crashes)
    {
        std::set<part_fingerprint>& parts = found[key];
        for (const auto& [id, request] : crash.requests)
        {
            parts.insert(request.parts.begin(), request.parts.end());
        }
    }
    return found;
}

std::vector<crash_key>
crash_attribution::coincident_crashes(const crash_key& key, time_point at) const
{
    std::vector<crash_key> found;
    for (const auto& [other, crash] : m_crashes)
    {
        if (other != key && crash.at <= at + one_cause_time &&
            at <= crash.at + one_cause_time)
        {
            found.push_back(other);
        }
    }
    return found;
}

crash_attribution::accusations
crash_attribution::collect_accusations(time_point now) const
{
    accusations all;
    const auto parts = parts_by_crash();
    for (const auto& [key, crash] : m_crashes)
    {
        if (crash.at + settling_time > now)
        {
            continue;
        }
        const auto coincident = coincident_crashes(key, crash.at);
        const auto is_accused = [&](const part_fingerprint& part)
        {
            return std::all_of(coincident.begin(), coincident.end(),
                               [&](const crash_key& it)
                               { return parts.at(it).contains(part); });
        };
        for (const auto& [id, request] : crash.requests)
        {
            for (std::size_t n = 0; n < request.parts.size(); ++n)
            {
                if (!is_accused(request.parts[n]))
                {
                    continue;
                }
                all[request.parts[n]].push_back(
                    {crash.at, id, request.sent_at, key, n});
            }
        }
    }
    for (auto& [part, by] : all)
    {
        std::sort(by.begin(), by.end(),
                  [](const accusation& left, const accusation& right)
                  { return left.crashed_at < right.crashed_at; });
    }
    return all;
}

crash_attribution::weight_of_evidence
crash_attribution::weigh(const std::vector<accusation>& by)
{
    weight_of_evidence weight;
    std::set<fingerprint> requests;
    std::set<fingerprint> counted_requests;
    std::set<crash_key> counted_crashes;
    std::set<crash_key> crashes;
    time_point last = time_point::min();
    for (const accusation& it : by)
    {
        requests.insert(it.request);
        crashes.insert(it.crash);
        weight.depth = std::max(weight.depth, it.depth);
        if (it.sent_at >= last && !counted_crashes.contains(it.crash) &&
            counted_requests.insert(it.request).second)
        {
            counted_crashes.insert(it.crash);
            last = it.crashed_at;
            ++weight.successive;
        }
    }
    weight.requests = requests.size();
    weight.crashes = crashes.size();
    return weight;
}

bool crash_attribution::is_enough(const weight_of_evidence& it)
{
    return it.successive >= refused_after ||
           (it.successive >= refused_after_with_many_requests &&
            it.requests >= many_requests);
}

void crash_attribution::explain(accusations& all, const part_fingerprint& part)
{
    const auto known = all.find(part);
    if (known == all.end())
    {
        return;
    }
    std::set<crash_key> explained;
    for (const accusation& it : known->second)
    {
        explained.insert(it.crash);
    }
    for (auto& [other, by] : all)
    {
        std::erase_if(by, [&](const accusation& it)
                      { return explained.contains(it.crash); });
    }
    std::erase_if(all, [](const auto& it) { return it.second.empty(); });
}

} // namespace cicadahub::suspicion
