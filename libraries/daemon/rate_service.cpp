#include "daemon/rate_service.hpp"

#include "daemon/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds refill_interval{50};
constexpr milliseconds call_timeout{300};
constexpr milliseconds min_retry_pause{10};
constexpr milliseconds owner_retry_pause{100};

/// Longest time that a request over its organisation's rate is held. A request
/// that would wait longer is refused at once, with a retry-after time.
constexpr milliseconds max_wait{250};

} // namespace

rate_service::rate_service(net::io_context& context, const shard_elector& shard,
                           const slot_holder& slot, const shard_client& client,
                           caller::rate_limiter& limiter)
    : m_context(context), m_shard(shard), m_slot(slot), m_shard_client(client),
      m_rate_limiter(limiter), m_owner(limiter.timing())
{
}

void rate_service::start()
{
    net::co_spawn(m_context, refill_loop(), net::detached);
}

void rate_service::on_won(epoch_number epoch)
{
    m_owner.on_adopted(epoch, m_shard.was_acquired_without_wait(),
                       monotonic_clock::now());
}

void rate_service::on_lost()
{
    m_owner.on_lost();
}

void rate_service::set_rates(
    const std::map<organisation_id, quota::rate_limit>& rates)
{
    const time_point now = monotonic_clock::now();
    for (const auto& [organisation, limit] : rates)
    {
        m_owner.set_rate(organisation, limit, now);
    }
    m_rate_limiter.set_rates(rates);
}

fleet::wire::Body
rate_service::on_request(const fleet::wire::AllowanceRequest& request)
{
    fleet::wire::AllowanceReply reply;
    // Checked immediately before the grant, which takes effect outside.
    if (m_owner.is_owner() && m_shard.is_held())
    {
        std::vector<quota::returned_grant> returned;
        for (const fleet::wire::ReturnedGrant& it : request.returned)
        {
            returned.push_back(
                {static_cast<std::uint64_t>(it.number),
                 epoch_number(static_cast<std::uint64_t>(it.epoch)),
                 token_count(it.tokens)});
        }
        const quota::grant it =
            m_owner.on_request(organisation_id(request.organisation),
                               token_count(request.wanted_tokens), returned,
                               monotonic_clock::now());
        reply.is_owner = true;
        reply.granted_tokens = it.tokens.value();
        reply.epoch = static_cast<std::int64_t>(it.epoch.value());
        reply.number = static_cast<std::int64_t>(it.number);
        reply.retry_after_ms = it.retry_after.count();
    }
    fleet::wire::Body body;
    body.__set_allowance_reply(reply);
    return body;
}

net::awaitable<std::optional<quota::grant>>
rate_service::request_grant(organisation_id organisation, token_count needed)
{
    const caller::rate_limiter::refill_request refill =
        m_rate_limiter.make_refill_request(organisation, needed);
    fleet::wire::AllowanceRequest request;
    request.organisation = organisation.value();
    request.wanted_tokens = refill.wanted.value();
    for (const quota::returned_grant& it : refill.returned)
    {
        fleet::wire::ReturnedGrant returned;
        returned.number = static_cast<std::int64_t>(it.number);
        returned.epoch = static_cast<std::int64_t>(it.epoch.value());
        returned.tokens = it.tokens.value();
        request.returned.push_back(returned);
    }
    fleet::wire::Body body;
    body.__set_allowance_request(request);
    const time_point asked_at = monotonic_clock::now();
    const auto reply =
        co_await m_shard_client.call(m_shard, std::move(body), call_timeout);
    if (!reply || !reply->allowance_reply.is_owner)
    {
        co_return std::nullopt;
    }
    const fleet::wire::AllowanceReply& from = reply->allowance_reply;
    quota::grant it;
    it.number = static_cast<std::uint64_t>(from.number);
    it.tokens = token_count(from.granted_tokens);
    it.epoch = epoch_number(static_cast<std::uint64_t>(from.epoch));
    it.retry_after = milliseconds(from.retry_after_ms);
    m_rate_limiter.on_granted(organisation, it, asked_at);
    co_return it;
}

net::awaitable<std::optional<refusal>>
rate_service::spend(organisation_id organisation, token_count tokens,
                    time_point deadline)
{
    const time_point limit =
        std::min(deadline, monotonic_clock::now() + max_wait);
    milliseconds retry_after = owner_retry_pause;
    for (;;)
    {
        const auto granted = co_await request_grant(organisation, tokens);
        if (m_rate_limiter.try_spend(organisation, tokens))
        {
            co_return std::nullopt;
        }
        retry_after = granted ? std::max(granted->retry_after, min_retry_pause)
                              : owner_retry_pause;
        const milliseconds wait = retry_after;
        if (monotonic_clock::now() + wait > limit)
        {
            co_return refusal{refusal_kind::over_rate, true, retry_after};
        }
        co_await pause(m_context, wait);
    }
}

net::awaitable<void> rate_service::refill_loop()
{
    for (;;)
    {
        if (const auto until = m_slot.held_until())
        {
            m_rate_limiter.hold_slot(*until);
        }
        for (const organisation_id& it : m_rate_limiter.needing_refill())
        {
            net::co_spawn(m_context, request_grant(it, token_count(0)),
                          net::detached);
        }
        co_await pause(m_context, refill_interval);
    }
}

} // namespace cicadahub::daemon
