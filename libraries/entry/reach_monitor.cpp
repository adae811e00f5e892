#include "entry/reach_monitor.hpp"

#include "core/structured_log.hpp"
#include "daemon/pause.hpp"
#include "http/dead_peer_detection.hpp"
#include "http/response_reading.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <set>

namespace cicadahub::entry
{

namespace
{

using daemon::no_throw;

constexpr milliseconds check_period{100};
/// Many round trips, and less than the second after which a lost opening packet
/// is sent again.
constexpr milliseconds probe_timeout{300};
/// The first server of a probe has this long before the others are tried.
constexpr milliseconds first_target_time{100};
constexpr std::size_t max_targets = 5;
/// A sound server may be silent for somewhat less than this.
constexpr milliseconds server_silence_limit{1'700};
static_assert(server_silence_limit > http::longest_sound_silence);
constexpr milliseconds server_check_period{1'000};
/// Checks of a server within this time share a result.
constexpr milliseconds check_lifetime{100};
constexpr std::size_t max_checks = 256;
/// Servers close connections on which no request arrives.
constexpr milliseconds probe_connection_lifetime{1'000};

} // namespace

reach_monitor::reach_monitor(net::io_context& context, http::client_pool& pool,
                             const server_table& servers,
                             std::mt19937_64& random)
    : m_context(context), m_pool(pool), m_servers(servers), m_random(random),
      m_probe_ended(context)
{
    m_probe_ended.expires_at(std::chrono::steady_clock::time_point::max());
}

void reach_monitor::start(question_maker make_question,
                          std::function<void()> on_change)
{
    m_make_question = std::move(make_question);
    m_on_change = std::move(on_change);
    net::co_spawn(m_context, run(), net::detached);
}

net::awaitable<void> reach_monitor::run()
{
    while (true)
    {
        co_await daemon::pause(m_context, check_period);
        const time_point now = monotonic_clock::now();
        check_silent_servers(now);
        if (m_reach.is_probe_due(now))
        {
            co_await probe(reach_proof::answer);
        }
    }
}

bool reach_monitor::has_proof_since(time_point moment, reach_proof needed) const
{
    return moment < (needed == reach_proof::answer ? m_last_answer
                                                   : m_reach.last_reached());
}

net::awaitable<bool> reach_monitor::examine(time_point failed_at,
                                            reach_proof needed)
{
    m_reach.on_failure();
    while (m_reach.is_probing())
    {
        co_await m_probe_ended.async_wait(no_throw);
    }
    if (!is_cut_off() && !has_proof_since(failed_at, needed))
    {
        co_await probe(needed);
    }
    co_return is_cut_off();
}

std::vector<server_table::record_pointer> reach_monitor::choose_targets() const
{
    const time_point now = monotonic_clock::now();
    std::vector<reachability::probe_target> known;
    std::vector<server_table::record_pointer> records;
    for (const auto& [id, record] : m_servers.records())
    {
        if (record->accepts_orders(now))
        {
            known.push_back({id, record->entry.service});
            records.push_back(record);
        }
    }
    std::vector<server_table::record_pointer> targets;
    for (const std::size_t it :
         reachability::choose_targets(known, max_targets, m_random()))
    {
        targets.push_back(records[it]);
    }
    return targets;
}

net::awaitable<void> reach_monitor::probe(reach_proof needed)
{
    m_reach.on_probe_began(monotonic_clock::now());
    const std::vector<server_table::record_pointer> targets = choose_targets();
    const std::span<const server_table::record_pointer> all(targets);
    const auto it = std::make_shared<attempt>(m_context);
    if (!all.empty())
    {
        ask(it, all.first(1), needed);
        net::steady_timer others_at(m_context, first_target_time);
        others_at.async_wait([it](boost::system::error_code)
                             { it->changed.cancel(); });
        if (!it->is_decided())
        {
            co_await it->changed.async_wait(no_throw);
        }
    }
    if (all.size() > 1 && !it->has_reached)
    {
        ask(it, all.subspan(1), needed);
    }
    co_await wait(it);
    const bool has_changed = m_reach.on_probe_ended(
        it->has_reached, targets.size(), monotonic_clock::now());
    m_probe_ended.cancel();
    if (has_changed)
    {
        log_event(is_cut_off() ? severity::warning : severity::info,
                  is_cut_off() ? event_number::host_cut_off
                               : event_number::host_reconnected,
                  {{"probed_servers", targets.size()}});
        m_on_change();
        if (is_cut_off())
        {
            give_up_repeatable();
        }
    }
}

void reach_monitor::give_up_repeatable()
{
    // Only closes connections, so that the list does not change meanwhile.
    for (const waiting_exchange& it : m_waiting)
    {
        if (it.may_repeat())
        {
            it.waiting->give_up_if_silent(
                reachability::server_reach::silence_limit,
                "this host is cut off");
        }
    }
}

void reach_monitor::check_silent_servers(time_point now)
{
    std::set<server_table::record_pointer> silent;
    for (const waiting_exchange& it : m_waiting)
    {
        if (now >=
            std::max(it.began, it.server->last_contact) + server_silence_limit)
        {
            silent.insert(it.server);
        }
    }
    for (const auto& it : silent)
    {
        if (now >= it->last_check + server_check_period)
        {
            it->last_check = now;
            net::co_spawn(m_context, check(it), net::detached);
        }
    }
}

net::awaitable<void> reach_monitor::check(server_table::record_pointer server)
{
    const time_point began = monotonic_clock::now();
    const http::endpoint address = server->entry.address;
    const bool is_alive = co_await is_accepting(address);
    if (is_alive)
    {
        co_return;
    }
    const bool is_host_cut_off =
        co_await examine(began, reach_proof::connection);
    if (is_host_cut_off || server->last_contact >= began)
    {
        co_return;
    }
    for (const waiting_exchange& it : m_waiting)
    {
        if (it.server == server)
        {
            it.waiting->give_up_if_silent(server_silence_limit,
                                          "the server accepts no connection");
        }
    }
}

void reach_monitor::ask(const attempt_pointer& it,
                        std::span<const server_table::record_pointer> servers,
                        reach_proof needed)
{
    it->pending += servers.size();
    for (const auto& server : servers)
    {
        if (needed == reach_proof::answer)
        {
            net::co_spawn(m_context, wait_for_answer(it, server),
                          net::detached);
        }
        else
        {
            net::co_spawn(m_context, connect(it, server->entry.address),
                          net::detached);
        }
    }
}

void reach_monitor::end(const attempt_pointer& it, bool has_reached)
{
    it->has_reached = it->has_reached || has_reached;
    --it->pending;
    it->decided_at = monotonic_clock::now();
    it->changed.cancel();
}

net::awaitable<void> reach_monitor::connect(attempt_pointer it,
                                            http::endpoint server)
{
    bool has_connected = false;
    try
    {
        auto connection = co_await m_pool.connect(server, probe_timeout);
        connection->reusable_until =
            monotonic_clock::now() + probe_connection_lifetime;
        m_pool.keep(server, std::move(connection));
        has_connected = true;
    }
    catch (const boost::system::system_error&)
    {
        // Who waits for the attempt sees that it has not connected.
    }
    end(it, has_connected);
}

net::awaitable<void>
reach_monitor::wait_for_answer(attempt_pointer it,
                               server_table::record_pointer server)
{
    bool has_answered = false;
    try
    {
        auto connection =
            co_await m_pool.connect(server->entry.address, probe_timeout);
        connection->set_timeout(probe_timeout);
        http::request question = m_make_question(server->entry.id);
        co_await http::beast_http::async_write(connection->stream, question,
                                               net::use_awaitable);
        std::optional<http::response_head_parser> parser;
        co_await http::read_response_head(*connection, parser,
                                          question.method());
        has_answered = true;
        m_last_answer = monotonic_clock::now();
    }
    catch (const boost::system::system_error&)
    {
        // Who waits for the attempt sees that there was no answer.
    }
    end(it, has_answered);
}

net::awaitable<void> reach_monitor::wait(attempt_pointer it)
{
    while (!it->is_decided())
    {
        co_await it->changed.async_wait(no_throw);
    }
}

wait_guard::wait_guard(reach_monitor& monitor,
                       server_table::record_pointer server, exchange& waiting,
                       std::function<bool()> may_repeat)
    : m_monitor(monitor), m_entry(monitor.m_waiting.insert(
                              monitor.m_waiting.end(),
                              {std::move(server), &waiting,
                               std::move(may_repeat), monotonic_clock::now()}))
{
    m_monitor.m_reach.on_wait_began(m_entry->began);
}

wait_guard::~wait_guard()
{
    m_monitor.m_waiting.erase(m_entry);
    m_monitor.m_reach.on_wait_ended();
}

net::awaitable<bool> reach_monitor::is_accepting(http::endpoint server)
{
    const time_point now = monotonic_clock::now();
    const auto is_over = [now](const attempt& it)
    {
        return it.is_decided() && it.decided_at + check_lifetime < now;
    };
    if (m_checks.size() >= max_checks)
    {
        std::erase_if(m_checks,
                      [&](const auto& it) { return is_over(*it.second); });
    }
    attempt_pointer& known = m_checks[server];
    if (!known || is_over(*known))
    {
        known = std::make_shared<attempt>(m_context);
        known->pending = 1;
        net::co_spawn(m_context, connect(known, server), net::detached);
    }
    const attempt_pointer check = known;
    co_await wait(check);
    co_return check->has_reached;
}

} // namespace cicadahub::entry
