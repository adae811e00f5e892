#include "daemon/placement_owner.hpp"

#include "core/event_log.hpp"
#include "daemon/pause.hpp"
#include "daemon/placement_document.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds tick_pause{20};
constexpr milliseconds adopt_retry{100};
constexpr milliseconds lost_shard_retry_after{200};

const char* name_of(placement::order_result it)
{
    switch (it)
    {
    case placement::order_result::done:
        return "done";
    case placement::order_result::failed:
        return "failed";
    case placement::order_result::refused_by_fence:
        return "refused_by_fence";
    case placement::order_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace

placement_owner::placement_owner(
    net::io_context& context, platform::store& store,
    const host_directory& hosts, backend::engine_client& engines,
    const std::function<bool()>& is_held, placement::load_limits limits,
    placement::placement_timing timing, milliseconds report_every,
    order_handler on_order)
    : m_context(context), m_store(store), m_hosts(hosts), m_engines(engines),
      m_is_held(is_held), m_report_every(report_every),
      m_on_order(std::move(on_order)), m_machine(limits, timing)
{
}

bool placement_owner::is_current(epoch_number epoch) const
{
    return m_epoch == epoch && m_is_held();
}

void placement_owner::on_won(epoch_number epoch)
{
    m_epoch = epoch;
    net::co_spawn(m_context, adopt(), net::detached);
}

void placement_owner::on_lost()
{
    m_epoch = epoch_number();
    ++m_adoption;
    m_machine.on_lost();
    for (auto& [ticket, pending] : m_wakes)
    {
        pending->answer =
            refusal{refusal_kind::not_ready, true, lost_shard_retry_after};
        pending->timer.cancel();
    }
    m_wakes.clear();
}

net::awaitable<void> placement_owner::adopt()
{
    const epoch_number epoch = m_epoch;
    while (is_current(epoch))
    {
        bool is_read = false;
        placement::document content;
        try
        {
            auto stored = co_await m_store.read(
                platform::collection::placements, placement_object_name);
            if (!stored)
            {
                stored.emplace();
                stored->name = placement_object_name;
            }
            else
            {
                content = placement_from_json(stored->spec);
            }
            m_stored = std::move(*stored);
            is_read = true;
        }
        catch (const platform::platform_error&)
        {
            // Retried as long as the shard is held.
        }
        if (is_read && is_current(epoch))
        {
            const time_point now = monotonic_clock::now();
            m_machine.on_servers(m_hosts.engines(), now);
            execute(m_machine.on_adopted(content, epoch, now));
            ++m_adoption;
            net::co_spawn(m_context, tick_loop(m_adoption), net::detached);
            net::co_spawn(m_context, report_loop(m_adoption), net::detached);
            co_return;
        }
        co_await pause(m_context, adopt_retry);
    }
}

net::awaitable<void> placement_owner::tick_loop(std::uint64_t adoption)
{
    while (m_adoption == adoption && m_is_held())
    {
        execute(m_machine.on_tick(monotonic_clock::now()));
        co_await pause(m_context, tick_pause);
    }
}

net::awaitable<void> placement_owner::report_loop(std::uint64_t adoption)
{
    while (m_adoption == adoption && m_is_held())
    {
        for (const auto& [id, host] : m_hosts.hosts())
        {
            if (host.role == host_role::engine && m_reading.insert(id).second)
            {
                net::co_spawn(m_context, read_report(id, host.address),
                              net::detached);
            }
        }
        co_await pause(m_context, m_report_every);
    }
}

net::awaitable<void> placement_owner::read_report(server_id server,
                                                  http::endpoint address)
{
    const epoch_number epoch = m_epoch;
    std::optional<backend::engine_report> report;
    try
    {
        report = co_await m_engines.report(address);
    }
    catch (const std::exception& reason)
    {
        CICADAHUB_EVENT(WARNING, server_unreachable)
            << "server=" << server << " reason=" << reason.what();
    }
    m_reading.erase(server);
    if (!is_current(epoch))
    {
        co_return;
    }
    const time_point now = monotonic_clock::now();
    if (!report)
    {
        execute(m_machine.on_server_unreachable(server, now));
        co_return;
    }
    if (const host_entry* host = m_hosts.find(server))
    {
        host->load->reported_running = report->content.running;
        host->load->reported_waiting = report->content.waiting;
    }
    execute(m_machine.on_report(server, report->content, now));
}

void placement_owner::on_hosts_changed()
{
    execute(m_machine.on_servers(m_hosts.engines(), monotonic_clock::now()));
}

void placement_owner::on_items(const std::vector<placement::item_spec>& items)
{
    m_machine.on_items(items);
}

void placement_owner::on_usage(const model_id& model, std::uint32_t in_use)
{
    m_machine.on_used(model, in_use, monotonic_clock::now());
}

net::awaitable<caller::wake_answer> placement_owner::wake(model_id model,
                                                          time_point deadline)
{
    const std::uint64_t ticket = m_next_ticket++;
    auto pending = std::make_shared<pending_wake>(m_context);
    m_wakes.emplace(ticket, pending);
    execute(m_machine.on_wake({ticket, std::move(model), deadline},
                              monotonic_clock::now()));
    if (!pending->answer)
    {
        pending->timer.expires_after(deadline - monotonic_clock::now());
        co_await pending->timer.async_wait(no_throw);
    }
    m_wakes.erase(ticket);
    if (pending->answer)
    {
        co_return *pending->answer;
    }
    // The machine would refuse the wake in its next tick with the same answer.
    m_machine.on_wake_cancelled(ticket);
    co_return refusal{refusal_kind::target_unreachable, true,
                      m_machine.load_estimate()};
}

void placement_owner::execute(const placement::action_list& actions)
{
    for (const placement::action& it : actions)
    {
        std::visit([this](const auto& action) { execute(action); }, it);
    }
}

void placement_owner::execute(const placement::commit_action& it)
{
    net::co_spawn(m_context, commit(it), net::detached);
}

void placement_owner::execute(const placement::order_action& it)
{
    net::co_spawn(m_context, order(it), net::detached);
}

void placement_owner::execute(const placement::answer_action& it)
{
    const auto at = m_wakes.find(it.ticket);
    if (at == m_wakes.end())
    {
        return;
    }
    if (const auto* replica = std::get_if<placement::replica>(&it.answer))
    {
        at->second->answer = replica->server;
    }
    else
    {
        at->second->answer = std::get<refusal>(it.answer);
    }
    at->second->timer.cancel();
}

net::awaitable<void> placement_owner::commit(placement::commit_action it)
{
    const epoch_number epoch = m_epoch;
    if (!is_current(epoch))
    {
        co_return;
    }
    const platform::write_result result = co_await m_store.write(
        platform::collection::placements, m_stored, to_json(it.content));
    if (!is_current(epoch))
    {
        co_return;
    }
    if (result.outcome != platform::write_outcome::applied)
    {
        // The stored document is unknown: read and adopt it again first.
        on_lost();
        m_epoch = epoch;
        co_await adopt();
        co_return;
    }
    m_stored.version = result.version;
    execute(m_machine.on_committed(it.sequence, monotonic_clock::now()));
}

net::awaitable<void> placement_owner::order(placement::order_action it)
{
    const epoch_number epoch = m_epoch;
    const host_entry* host = m_hosts.find(it.target.server);
    // Checked immediately before the order is sent, so that a holder that was
    // suspended past the end of its lease sends nothing.
    if (host == nullptr || !is_current(epoch))
    {
        co_return;
    }
    const bool is_load = it.kind == placement::order_kind::load;
    (is_load ? CICADAHUB_EVENT(INFO, load_ordered)
             : CICADAHUB_EVENT(INFO, unload_ordered))
        << "model=" << it.target.model << " server=" << it.target.server
        << " generation=" << it.target.generation;
    m_on_order(it);
    const placement::order_result result =
        co_await m_engines.send(host->address, it);
    if (result == placement::order_result::done)
    {
        (is_load ? CICADAHUB_EVENT(INFO, replica_loaded)
                 : CICADAHUB_EVENT(INFO, replica_unloaded))
            << "model=" << it.target.model << " server=" << it.target.server;
    }
    else
    {
        CICADAHUB_EVENT(WARNING, load_failed)
            << "model=" << it.target.model << " server=" << it.target.server
            << " result=" << name_of(result);
    }
    if (is_current(epoch))
    {
        execute(m_machine.on_order_result(it.target.generation, it.kind, result,
                                          monotonic_clock::now()));
    }
}

} // namespace cicadahub::daemon
