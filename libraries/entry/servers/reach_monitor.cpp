#include "entry/servers/reach_monitor.hpp"

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
/// A check of a server that began longer ago is not shared.
constexpr milliseconds check_lifetime{100};
/// A process that ends may close its connections this long before its listening
/// socket; connections that it has not accepted are reset with that.
constexpr milliseconds settle_time{20};
constexpr milliseconds settle_poll{5};
constexpr std::size_t max_checks = 256;
/// Servers close connections on which no request arrives.
constexpr milliseconds probe_connection_lifetime{1'000};
/// Bytes from a server count as an answer to another host if they arrive this
/// long after it asked: they must not be older than the refusals that it saw.
constexpr milliseconds answer_delay{reachability::server_reach::contact_margin +
                                    milliseconds(20)};
constexpr milliseconds inquiry_poll{20};

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
    co_await wait_for_probe();
    const bool is_known = is_cut_off() || asks_others();
    if (!is_known && !has_proof_since(failed_at, needed))
    {
        co_await probe(needed);
    }
    co_await wait_for_others();
    co_return is_cut_off();
}

net::awaitable<void> reach_monitor::wait_for_probe()
{
    while (m_reach.is_probing())
    {
        co_await m_probe_ended.async_wait(no_throw);
    }
}

net::awaitable<void> reach_monitor::wait_for_others()
{
    while (m_reach.awaits_answers(monotonic_clock::now()))
    {
        co_await daemon::pause(m_context, inquiry_poll);
    }
}

net::awaitable<bool> reach_monitor::confirm_contact()
{
    // Its own probes tell it, and the next digest tells the others.
    if (is_cut_off() || asks_others())
    {
        co_return false;
    }
    const time_point counted_from = monotonic_clock::now() + answer_delay;
    co_await daemon::pause(m_context, answer_delay);
    if (last_contact() < counted_from)
    {
        co_await wait_for_probe();
    }
    if (last_contact() < counted_from && !asks_others())
    {
        co_await probe(reach_proof::answer);
    }
    co_return last_contact() >= counted_from;
}

net::awaitable<loss_cause> reach_monitor::find_cause(http::endpoint server,
                                                     connection_loss loss)
{
    const time_point failed_at = monotonic_clock::now();
    const bool was_open = loss != connection_loss::not_opened;
    bool is_gone = !was_open;
    if (was_open)
    {
        const bool is_alive = co_await is_accepting(server, failed_at);
        is_gone = !is_alive;
    }
    if (is_gone || loss == connection_loss::before_answer)
    {
        const bool is_host_cut_off =
            co_await examine(failed_at, was_open ? reach_proof::answer
                                                 : reach_proof::connection);
        if (is_host_cut_off)
        {
            co_return loss_cause::host;
        }
    }
    if (!was_open || !is_gone)
    {
        co_return loss_cause::other;
    }
    // The server may have been out of reach like all others, for a moment that
    // ended before this host looked whether it is cut off.
    const bool is_back = co_await is_accepting(server, monotonic_clock::now());
    co_return is_back ? loss_cause::other : loss_cause::crash;
}

std::vector<server_table::record_pointer> reach_monitor::choose_targets() const
{
    const time_point now = monotonic_clock::now();
    std::vector<reachability::probe_target> known;
    std::vector<server_table::record_pointer> records;
    for (const auto& [id, record] : m_servers.records())
    {
        if (record->accepts_probes(now))
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
    const bool was_cut_off = is_cut_off();
    const bool has_changed = m_reach.on_probe_ended(
        result_of(*it), targets.size(), monotonic_clock::now());
    m_probe_ended.cancel();
    if (has_changed)
    {
        log_verdict(was_cut_off, targets.size());
        m_on_change();
        if (is_cut_off())
        {
            give_up_repeatable();
        }
    }
}

void reach_monitor::log_verdict(bool was_cut_off, std::size_t targets) const
{
    if (asks_others())
    {
        log_event(severity::warning, event_number::servers_refuse,
                  {{"probed_servers", targets}});
    }
    if (is_cut_off() != was_cut_off)
    {
        log_event(is_cut_off() ? severity::warning : severity::info,
                  is_cut_off() ? event_number::host_cut_off
                               : event_number::host_reconnected,
                  {{"probed_servers", targets}});
    }
}

reachability::probe_result reach_monitor::result_of(const attempt& it)
{
    using reachability::probe_result;
    if (it.has_reached)
    {
        return probe_result::reached;
    }
    return it.has_refused ? probe_result::refused : probe_result::silent;
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
    const bool is_alive = co_await is_accepting(address, began);
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

void reach_monitor::note_refusal(attempt& it,
                                 const boost::system::system_error& reason)
{
    it.has_refused =
        it.has_refused || reason.code() == net::error::connection_refused;
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
        co_await wait_while_open(*it, *connection);
        has_connected = http::is_open_and_idle(*connection);
        if (has_connected)
        {
            connection->reusable_until =
                monotonic_clock::now() + probe_connection_lifetime;
            m_pool.keep(server, std::move(connection));
        }
    }
    catch (const boost::system::system_error& reason)
    {
        // Who waits for the attempt sees that it has not connected.
        note_refusal(*it, reason);
    }
    end(it, has_connected);
}

net::awaitable<void>
reach_monitor::wait_while_open(const attempt& it,
                               http::client_connection& connection)
{
    while (monotonic_clock::now() < it.open_until &&
           http::is_open_and_idle(connection))
    {
        co_await daemon::pause(m_context, settle_poll);
    }
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
    catch (const boost::system::system_error& reason)
    {
        // Who waits for the attempt sees that there was no answer.
        note_refusal(*it, reason);
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

net::awaitable<bool> reach_monitor::is_accepting(http::endpoint server,
                                                 time_point since)
{
    const time_point now = monotonic_clock::now();
    if (m_checks.size() >= max_checks)
    {
        std::erase_if(m_checks,
                      [](const auto& it) { return it.second->is_decided(); });
    }
    attempt_pointer& known = m_checks[server];
    const bool is_running =
        known && !known->is_decided() && now < known->began + check_lifetime;
    const bool is_refused = known && known->is_decided() &&
                            !known->has_reached && since <= known->decided_at;
    if (!is_running && !is_refused)
    {
        known = std::make_shared<attempt>(m_context);
        known->pending = 1;
        known->began = now;
        net::co_spawn(m_context, connect(known, server), net::detached);
    }
    const attempt_pointer check = known;
    check->open_until = std::max(check->open_until, since + settle_time);
    co_await wait(check);
    co_return check->has_reached;
}

} // namespace cicadahub::entry
