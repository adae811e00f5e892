#pragma once

#include "caller/published_state.hpp"
#include "daemon/audit_entry.hpp"
#include "daemon/collection_follower.hpp"
#include "daemon/fleet_receiver.hpp"
#include "daemon/idempotency_service.hpp"
#include "daemon/placement_owner.hpp"
#include "daemon/rate_service.hpp"
#include "fleet/peer_listener.hpp"
#include "settings/daemon_settings.hpp"

namespace cicadahub::daemon
{

/// The daemon's control plane: everything outside the path of a request whose
/// model is already loaded. Runs on one thread; the functions of
/// `caller::control_gateway` may be called from any thread.
class control_plane
{
public:
    using withdraw_handler = std::function<void(const key_hash&)>;

    control_plane(net::io_context& context,
                  const settings::daemon_settings& settings,
                  caller::published_state& state);

    /// Sets the handler that is called for each withdrawn key.
    void set_withdraw_handler(withdraw_handler handler);

    /// Sets the handler that is called for each decision to be audited.
    void set_audit_handler(audit_handler handler);

    /// Binds the address on which other daemons connect; throws
    /// `boost::system::system_error`.
    void bind();

    /// Starts the fleet's listener, the watches on the platform and the
    /// competition for shards; `bind` must have been called.
    void start();

    /// Releases all shards before their leases expire, for a planned stop.
    net::awaitable<void> release_shards();

    /// Releases the quota slot and removes this daemon from the member list.
    net::awaitable<void> leave();

    net::awaitable<caller::wake_answer> wake(model_id model,
                                             time_point deadline);

    net::awaitable<std::optional<refusal>> spend(organisation_id organisation,
                                                 token_count tokens,
                                                 time_point deadline);

    net::awaitable<once::dispatch_decision>
    request_dispatch(once::intent_key key, once::fingerprint request,
                     once::attempt_id attempt, time_point deadline);
    void report_outcome(once::intent_key key, once::attempt_id attempt,
                        std::optional<once::saved_answer> answer,
                        bool is_not_run);

    net::awaitable<std::uint32_t> report_crash(suspicion::fingerprint request);
    void report_completed(suspicion::fingerprint request);

    caller::rate_limiter& rates() { return m_rate_limiter; }
    caller::shared_suspect_table& suspects() { return m_suspects; }

    net::awaitable<fleet::wire::Body> on_message(fleet::wire::Body body);

    /// Applies a configuration object that the platform has stored, and
    /// notifies the other daemons of it.
    void on_accepted(const platform::stored_object& it);

    platform::store& store() { return m_store; }
    net::io_context& context() { return m_context; }
    const host_directory& hosts() const { return m_hosts; }
    const member_directory& members() const { return m_members; }
    const placement_owner& placement() const { return m_placement; }
    const placement::document& placement_document() const
    {
        return m_placement_document;
    }
    std::vector<const shard_elector*> shards() const
    {
        return {&m_placement_shard, &m_quota_shard, &m_once_shard};
    }

private:
    net::awaitable<caller::wake_answer>
    wake_on_control_thread(model_id model, time_point deadline);
    net::awaitable<std::optional<caller::wake_answer>>
    ask_owner(const model_id& model, time_point deadline);
    net::awaitable<std::uint32_t>
    broadcast_crash(suspicion::fingerprint request);
    void broadcast_completed(const suspicion::fingerprint& request);
    net::awaitable<fleet::wire::Body>
    on_wake_request(fleet::wire::WakeRequest request);
    void on_configuration_object(const platform::stored_object& it);
    void on_configuration_notice(const fleet::wire::ConfigurationNotice& it);
    void publish_configuration();
    void publish_routes();
    void on_placement_object(const platform::stored_object& it);
    void update_readiness();
    void audit_takeover(const shard_elector& shard, epoch_number epoch);
    void audit_order(const placement::order_action& it);

    net::io_context& m_context;
    const settings::daemon_settings& m_settings;
    caller::published_state& m_state;
    http::client_pool m_pool;
    platform::store m_store;
    backend::engine_client m_engines;
    host_directory m_hosts;
    member_directory m_members;
    shard_elector m_placement_shard;
    shard_elector m_quota_shard;
    shard_elector m_once_shard;
    slot_holder m_slot;
    shard_client m_shard_client;
    caller::rate_limiter m_rate_limiter;
    caller::shared_suspect_table m_suspects{suspicion::suspicion_limits{}};
    placement_owner m_placement;
    rate_service m_rates;
    idempotency_service m_idempotency;
    configuration::snapshot m_configuration;
    placement::document m_placement_document;
    withdraw_handler m_on_withdrawn;
    audit_handler m_on_audit;

    collection_follower m_configuration_follower;
    collection_follower m_host_follower;
    collection_follower m_member_follower;
    collection_follower m_lease_follower;
    collection_follower m_placement_follower;
    fleet_receiver m_receiver;
    std::optional<fleet::peer_listener<fleet_receiver>> m_listener;
    int m_pending_lists = 3;
};

} // namespace cicadahub::daemon
