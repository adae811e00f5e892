#include "decision/routing/cached_prefixes.hpp"

namespace cicadahub::routing
{

namespace
{

/// The finaliser of the SplitMix64 generator, so that keys of one server do not
/// collide with those of another one.
std::uint64_t key_at(std::uint64_t server, std::uint64_t prefix)
{
    std::uint64_t it = server + 0x9e3779b97f4a7c15U * (prefix | 1U) + prefix;
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    return it ^ (it >> 31U);
}

} // namespace

void cached_prefixes::on_completed(std::uint64_t server,
                                   const prompt_size& prompt, time_point now)
{
    for (const prompt_prefix& it : prompt.shared)
    {
        const std::uint64_t key = key_at(server, it.key);
        const auto known = m_prefixes.find(key);
        if (known != m_prefixes.end())
        {
            known->second->completed_at = now;
            m_by_age.splice(m_by_age.begin(), m_by_age, known->second);
            continue;
        }
        m_by_age.push_front({key, now});
        m_prefixes[key] = m_by_age.begin();
    }
    while (!m_by_age.empty() &&
           (m_by_age.size() > max_prefixes ||
            m_by_age.back().completed_at + retention < now))
    {
        m_prefixes.erase(m_by_age.back().key);
        m_by_age.pop_back();
    }
}

std::int64_t cached_prefixes::cached_tokens(std::uint64_t server,
                                            const prompt_size& prompt,
                                            time_point now) const
{
    std::int64_t tokens = 0;
    for (const prompt_prefix& it : prompt.shared)
    {
        const auto known = m_prefixes.find(key_at(server, it.key));
        if (known == m_prefixes.end() ||
            known->second->completed_at + retention < now)
        {
            break;
        }
        tokens = it.tokens;
    }
    return tokens;
}

} // namespace cicadahub::routing
