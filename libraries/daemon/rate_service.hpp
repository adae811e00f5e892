#pragma once

#include "caller/gateways.hpp"
#include "caller/rate_limiter.hpp"
#include "daemon/shard_client.hpp"
#include "daemon/slot_holder.hpp"
#include "decision/quota/rate_owner.hpp"

namespace cicadahub::daemon
{

/// Server and client side of the organisations' rates: issues grants while this
/// daemon holds the quota shard, and requests this daemon's grants from the
/// holder of the shard.
class rate_service
{
public:
    rate_service(net::io_context& context, const shard_elector& shard,
                 const slot_holder& slot, const shard_client& client,
                 caller::rate_limiter& limiter);

    void start();
    void on_won(epoch_number epoch);
    void on_lost();
    void set_rates(const std::map<organisation_id, quota::rate_limit>& rates);

    fleet::wire::Body on_request(const fleet::wire::AllowanceRequest& request);

    /// Requests a grant from the owner and spends the tokens; returns an
    /// `over_rate` refusal if they are not available in time.
    net::awaitable<std::optional<refusal>> spend(organisation_id organisation,
                                                 token_count tokens,
                                                 time_point deadline);

private:
    net::awaitable<void> refill_loop();
    net::awaitable<std::optional<quota::grant>>
    request_grant(organisation_id organisation, token_count needed);

    net::io_context& m_context;
    const shard_elector& m_shard;
    const slot_holder& m_slot;
    const shard_client& m_shard_client;
    caller::rate_limiter& m_rate_limiter;
    quota::rate_owner m_owner;
};

} // namespace cicadahub::daemon
