#pragma once

#include "backend/engine_client.hpp"
#include "caller/gateways.hpp"
#include "daemon/host_directory.hpp"
#include "daemon/shard_elector.hpp"
#include "decision/placement/placement_machine.hpp"
#include "platform/store.hpp"

namespace cicadahub::daemon
{

/// Runs the placement machine while this daemon holds the placement shard.
class placement_owner
{
public:
    /// Called for each order that is sent.
    using order_handler = std::function<void(const placement::order_action&)>;

    placement_owner(net::io_context& context, platform::store& store,
                    const host_directory& hosts,
                    backend::engine_client& engines,
                    const std::function<bool()>& is_held,
                    placement::load_limits limits,
                    placement::placement_timing timing,
                    milliseconds report_every, order_handler on_order);

    void on_won(epoch_number epoch);
    void on_lost();
    void on_hosts_changed();
    void on_items(const std::vector<placement::item_spec>& items);
    void on_usage(const model_id& model, std::uint32_t in_use);

    /// Waits until the model is loaded on a server; returns that server or a
    /// refusal, which is `not_ready` if the shard is lost meanwhile.
    net::awaitable<caller::wake_answer> wake(model_id model,
                                             time_point deadline);

    bool is_owner() const { return m_machine.is_owner(); }
    const placement::placement_machine& machine() const { return m_machine; }

private:
    struct pending_wake
    {
        explicit pending_wake(net::io_context& context) : timer(context) {}

        net::steady_timer timer;
        std::optional<caller::wake_answer> answer;
    };

    net::awaitable<void> adopt();
    net::awaitable<void> tick_loop(std::uint64_t adoption);
    net::awaitable<void> report_loop(std::uint64_t adoption);
    net::awaitable<void> read_report(server_id server, http::endpoint address);
    void execute(const placement::action_list& actions);
    void execute(const placement::commit_action& it);
    void execute(const placement::order_action& it);
    void execute(const placement::answer_action& it);
    net::awaitable<void> commit(placement::commit_action it);
    net::awaitable<void> order(placement::order_action it);
    bool is_current(epoch_number epoch) const;

    net::io_context& m_context;
    platform::store& m_store;
    const host_directory& m_hosts;
    backend::engine_client& m_engines;
    std::function<bool()> m_is_held;
    milliseconds m_report_every;
    order_handler m_on_order;
    placement::placement_machine m_machine;
    epoch_number m_epoch;
    /// Changes whenever the shard is adopted or lost, so that the loops of an
    /// earlier adoption end.
    std::uint64_t m_adoption = 0;
    platform::stored_object m_stored;
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, std::shared_ptr<pending_wake>> m_wakes;
    std::set<server_id> m_reading;
};

} // namespace cicadahub::daemon
