#include "decision/sharing/brittle_service.hpp"

#include <algorithm>

namespace cicadahub::sharing
{

void brittle_service::on_answer(const server_id& server,
                                std::optional<std::uint32_t> limit,
                                time_point now)
{
    if (limit)
    {
        m_notices[server] = {*limit, now};
    }
    else if (!m_notices.empty())
    {
        m_notices.erase(server);
    }
}

brittle_service::send_number brittle_service::on_sent(const server_id& server,
                                                      time_point now)
{
    server_risk& it = m_risks[server];
    discard_expired(it, now);
    it.undecided[++m_last_send] = now;
    return m_last_send;
}

void brittle_service::on_accepted(const server_id& server, send_number sent)
{
    m_risks[server].undecided.erase(sent);
}

void brittle_service::on_rejected(const server_id& server, send_number sent,
                                  time_point now)
{
    server_risk& it = m_risks[server];
    discard_expired(it, now);
    it.undecided.erase(sent);
    it.rejections.push_back(now);
}

void brittle_service::discard_expired(server_risk& it, time_point now)
{
    std::erase_if(it.undecided, [&](const auto& sent)
                  { return sent.second + decision_time < now; });
    while (!it.rejections.empty() &&
           it.rejections.front() + rejection_window < now)
    {
        it.rejections.pop_front();
    }
}

std::optional<std::uint32_t> brittle_service::limit(time_point now) const
{
    std::optional<std::uint32_t> least;
    for (const auto& [server, it] : m_notices)
    {
        if (it.seen_at + notice_lifetime >= now)
        {
            least = std::min(it.limit, least.value_or(it.limit));
        }
    }
    return least;
}

std::size_t brittle_service::allowance(const host_position& host,
                                       time_point now) const
{
    // A server that bears no rejection at all gets one request at a time.
    const std::size_t bearable = std::max(1U, limit(now).value_or(0));
    const std::size_t part = bearable / std::max<std::size_t>(1, host.hosts);
    return part > 0 ? part : (host.rank < bearable ? 1 : 0);
}

bool brittle_service::is_entitled(const host_position& host,
                                  time_point now) const
{
    return !limit(now) || allowance(host, now) > 0;
}

bool brittle_service::may_send(const server_id& server,
                               const host_position& host, time_point now) const
{
    if (!limit(now))
    {
        return true;
    }
    const auto known = m_risks.find(server);
    if (known == m_risks.end())
    {
        return allowance(host, now) > 0;
    }
    const server_risk& risk = known->second;
    const auto undecided = std::count_if(
        risk.undecided.begin(), risk.undecided.end(),
        [&](const auto& sent) { return sent.second + decision_time >= now; });
    const auto rejected = std::count_if(
        risk.rejections.begin(), risk.rejections.end(),
        [&](time_point at) { return at + rejection_window >= now; });
    return static_cast<std::size_t>(undecided + rejected) <
           allowance(host, now);
}

} // namespace cicadahub::sharing
