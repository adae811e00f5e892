#include "entry/fleet/digest_exchange.hpp"

#include "core/structured_log.hpp"
#include "daemon/pause.hpp"
#include "entry/servers/crash_notices.hpp"
#include "fleet/digest_codec.hpp"
#include "fleet/frame_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <limits>

namespace cicadahub::entry
{

namespace
{

/// Changes within this time are sent in one update.
constexpr milliseconds update_batching_delay{5};
/// Prevents a persistently failing socket from causing a busy loop.
constexpr milliseconds receive_retry_pause{100};
constexpr std::size_t largest_datagram_bytes = 60'000;
/// Datagrams fail in large numbers.
constexpr milliseconds failure_log_period{1'000};
/// Part of the link for datagrams. The rest carries requests and answers, which
/// wait for no more than a burst of datagrams.
constexpr double datagram_link_share = 0.5;
/// Peers whose addresses one digest lists, round-robin. A few suffice, since
/// most hosts are known from the store.
constexpr std::size_t max_peers_per_digest = 4;
/// Crashes and clearings are included in full digests for this long, so that
/// daemons that missed an update still learn of them.
constexpr milliseconds crash_notice_lifetime{3'000};
/// The host that sends to a server with a limit hears of it more often.
constexpr milliseconds limit_notice_lifetime{20'000};
constexpr std::size_t max_limit_notices = 256;
constexpr auto no_throw = net::as_tuple(net::use_awaitable);

net::ip::udp::endpoint datagram_endpoint(const http::endpoint& it)
{
    return {it.address(), it.port()};
}

/// True if the sender of the digest sends to servers with a limit, for which
/// the other hosts lend it their parts.
bool borrows_parts(const fleet::wire::Digest& it)
{
    return std::any_of(it.limited_servers.begin(), it.limited_servers.end(),
                       [](const auto& server) {
                           return !server.__isset.lent_to &&
                                  server.usable_part > 0;
                       });
}

} // namespace

digest_exchange::digest_exchange(entry_state& state, fill_handler fill,
                                 digest_handler on_digest,
                                 std::function<bool()> is_holder)
    : m_state(state), m_fill(std::move(fill)),
      m_on_digest(std::move(on_digest)), m_is_holder(std::move(is_holder)),
      m_socket(state.context, datagram_endpoint(state.settings.fleet)),
      m_timer(state.context),
      m_queue(state.settings.link_bytes_per_second * datagram_link_share),
      m_queue_timer(state.context)
{
    m_socket.non_blocking(true);
    for (const http::endpoint& it : state.settings.seed_hosts)
    {
        add_address(it);
    }
}

void digest_exchange::start()
{
    net::co_spawn(m_state.context, receive_loop(), net::detached);
    net::co_spawn(m_state.context, send_loop(), net::detached);
}

void digest_exchange::add_address(const http::endpoint& address)
{
    if (address != m_state.settings.fleet)
    {
        m_addresses.insert(datagram_endpoint(address));
        m_state.fleet.add_address(address, monotonic_clock::now());
    }
}

void digest_exchange::send_update_soon()
{
    if (!m_is_update_requested)
    {
        m_is_update_requested = true;
        m_timer.cancel();
    }
}

void digest_exchange::send_update_to_all_soon()
{
    m_is_update_for_all = true;
    send_update_soon();
}

void digest_exchange::send_next_update_to_all()
{
    m_is_update_for_all = true;
}

fleet::wire::Digest digest_exchange::make_digest(time_point now, bool is_update)
{
    fleet::wire::Digest it;
    it.sender = m_state.settings.name.value();
    it.incarnation = m_state.incarnation;
    it.number = ++m_number;
    it.data_centre = m_state.settings.data_centre.value();
    it.is_leaving = m_state.is_draining;
    it.is_cut_off = m_state.reach.is_cut_off();
    it.waits_for_record = m_state.continuity.waits_for_record();
    it.asks_for_contact = m_state.reach.asks_others();
    it.__set_server_contact_age_ms(std::chrono::duration_cast<milliseconds>(
                                       now - m_state.reach.last_contact())
                                       .count());
    it.processor_share = m_state.settings.processor_share;
    it.is_update = is_update;
    it.__set_sent_at_ms(
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
            .count());
    if (!is_update)
    {
        it.names_streams_by_path = true;
        it.hosts = static_cast<std::int32_t>(m_state.fleet.part_count(now));
    }
    it.__set_traffic_ms(m_state.traffic_since
                            ? 1 + std::chrono::duration_cast<milliseconds>(
                                      now - *m_state.traffic_since)
                                      .count()
                            : 0);
    const time_point since =
        is_update ? m_told_all_at : now - crash_notice_lifetime;
    add_crash_notices(it, m_state.suspects, since, now);
    add_crash_notices(it, m_state.crashing_parts, since, now);
    m_fill(it, now);
    for (const auto& [id, record] : m_state.servers.records())
    {
        // Hosts that the store turns away learn of leaves from the watchers.
        const bool is_news =
            record->has_announced_leaving && !record->is_leave_told_by_watcher;
        if (is_news || (it.watches_store && record->entry.is_leaving))
        {
            fleet::wire::LeavingServer leaving;
            leaving.server = id.value();
            leaving.incarnation = record->entry.incarnation;
            it.leaving_servers.push_back(std::move(leaving));
        }
    }
    add_limits(it, now);
    return it;
}

void digest_exchange::add_limits(fleet::wire::Digest& to, time_point now) const
{
    to.__isset.limited_servers = true;
    for (const auto& [id, record] : m_state.servers.records())
    {
        add_limit(to, *record, now);
    }
    // Other hosts may list them already.
    for (const auto& [id, it] : m_state.servers.unlisted())
    {
        add_limit(to, *it.record, now);
    }
}

void digest_exchange::add_limit(fleet::wire::Digest& to, server_record& server,
                                time_point now) const
{
    const auto heard_at = server.limit.heard_at();
    const auto named = server.limit.named_requests_per_second(now);
    const bool is_limited = server.limit.is_limited(now);
    const bool is_told =
        is_limited || (heard_at && now <= *heard_at + limit_notice_lifetime);
    if (!is_told || to.limited_servers.size() >= max_limit_notices)
    {
        return;
    }
    fleet::wire::LimitedServer& it = to.limited_servers.emplace_back();
    it.server = server.entry.id.value();
    it.incarnation = server.entry.incarnation;
    // A server that is only cold has ended no limit that it named before.
    it.age_ms = std::numeric_limits<std::int32_t>::max();
    if (heard_at)
    {
        it.age_ms = static_cast<std::int32_t>(
            std::chrono::duration_cast<milliseconds>(now - *heard_at).count());
    }
    if (!is_limited)
    {
        return;
    }
    if (named)
    {
        it.__set_requests_per_second(*named);
    }
    const milliseconds cold_left = server.cold.left_first_hand(now);
    if (cold_left > milliseconds(0))
    {
        it.__set_cold_left_ms(static_cast<std::int32_t>(cold_left.count()));
    }
    m_state.update_loan(server, now);
    it.own_part = m_state.fleet.own_part(now);
    it.usable_part = server.limit.part(now);
    const auto borrower =
        m_state.fleet.peers().find(m_state.limit_sender(server));
    if (server.lender.is_renewed() && borrower != m_state.fleet.peers().end())
    {
        it.__set_lent_to(borrower->first);
        it.lent_to_incarnation = borrower->second.digest.incarnation;
        it.lent_from_ms = borrower->second.digest.sent_at_ms;
    }
}

std::set<net::ip::udp::endpoint>
digest_exchange::borrower_addresses(const fleet::wire::Digest& loans) const
{
    std::set<net::ip::udp::endpoint> addresses;
    for (const fleet::wire::LimitedServer& it : loans.limited_servers)
    {
        const auto known = m_state.fleet.peers().find(it.lent_to);
        if (it.__isset.lent_to && known != m_state.fleet.peers().end())
        {
            addresses.insert(datagram_endpoint(known->second.address));
        }
    }
    return addresses;
}

void digest_exchange::add_pending_demand(fleet::wire::Digest& to,
                                         time_point now) const
{
    for (const replicas::pending_demand& item :
         m_state.waiting.pending_demand(now))
    {
        fleet::wire::WantedCopy wanted;
        wanted.model = item.copy.model.value();
        wanted.adapter =
            item.copy.adapter ? item.copy.adapter->value() : std::string();
        wanted.waiting = static_cast<std::int32_t>(item.waiting);
        wanted.slack_ms = static_cast<std::int32_t>(item.slack.count());
        if (item.version)
        {
            wanted.__set_version(item.version->value());
        }
        if (item.regions)
        {
            wanted.__set_allowed_regions(routing::to_text(*item.regions));
        }
        to.wants.push_back(std::move(wanted));
    }
}

void digest_exchange::add_usage(fleet::wire::Digest& to, time_point now)
{
    for (const auto& [copy, rate] : m_state.demand.copy_rates(now))
    {
        fleet::wire::CopyUsage usage;
        usage.model = copy.model.value();
        usage.adapter = copy.adapter ? copy.adapter->value() : std::string();
        usage.requests_per_second = rate;
        to.usage.push_back(std::move(usage));
    }
}

void digest_exchange::add_work(fleet::wire::Digest& to, bool has_models,
                               time_point now) const
{
    to.__isset.work = true;
    for (const auto& [id, record] : m_state.servers.records())
    {
        if (record->running == 0)
        {
            continue;
        }
        fleet::wire::ServerWork work;
        work.server = id.value();
        work.running = static_cast<std::int32_t>(record->running);
        const std::int64_t unread = record->unread.own(now);
        if (unread > 0)
        {
            work.__set_unread_tokens(unread);
        }
        if (has_models)
        {
            for (const auto& [model, n] : record->running_models)
            {
                work.models[model.value()] = static_cast<std::int32_t>(n);
            }
        }
        to.work.push_back(std::move(work));
    }
}

void digest_exchange::add_fleet_work(fleet::wire::Digest& to,
                                     time_point now) const
{
    to.__isset.work = true;
    for (const auto& [id, record] : m_state.servers.records())
    {
        fleet::wire::ServerWork work;
        work.server = id.value();
        work.running = static_cast<std::int32_t>(record->running +
                                                 record->running_elsewhere);
        const std::int64_t unread =
            record->unread.own(now) + record->unread.reported_elsewhere();
        if (unread > 0)
        {
            work.__set_unread_tokens(unread);
        }
        if (work.running > 0)
        {
            to.work.push_back(std::move(work));
        }
    }
}

void digest_exchange::add_demand(fleet::wire::Digest& to, time_point now)
{
    for (const auto& [name, rate] : m_state.demand.organisation_rates(now))
    {
        fleet::wire::OrganisationDemand demand;
        demand.organisation = name.value();
        demand.per_second = rate;
        const auto spent = m_state.rates.find(name);
        demand.spent = spent == m_state.rates.end() ? 0 : spent->second.spent();
        to.demand.push_back(std::move(demand));
    }
}

void digest_exchange::add_peers(fleet::wire::Digest& to)
{
    const auto& peers = m_state.fleet.peers();
    std::size_t n = std::min(max_peers_per_digest, peers.size());
    for (auto it = peers.upper_bound(m_last_listed_peer); n > 0; --n, ++it)
    {
        if (it == peers.end())
        {
            it = peers.begin();
        }
        to.peers.push_back(http::to_string(it->second.address));
        m_last_listed_peer = it->first;
    }
}

void digest_exchange::send(fleet::datagram_kind kind,
                           const fleet::wire::Digest& digest,
                           const std::set<net::ip::udp::endpoint>& to)
{
    if (to.empty())
    {
        return;
    }
    const auto bytes =
        std::make_shared<const std::string>(fleet::encode_digest(digest));
    // No host is always the last one to hear of something.
    auto it = std::next(
        to.begin(), static_cast<std::ptrdiff_t>(m_state.random() % to.size()));
    for (std::size_t n = 0; n < to.size(); ++n, ++it)
    {
        if (it == to.end())
        {
            it = to.begin();
        }
        m_queue.push(kind, {*it, bytes});
    }
    log_dropped();
    send_queued();
}

void digest_exchange::log_dropped()
{
    const std::size_t dropped = m_queue.take_dropped();
    if (dropped > 0)
    {
        log_event(severity::warning, event_number::updates_dropped,
                  {{"datagrams", dropped}});
    }
}

void digest_exchange::send_queued()
{
    const time_point now = monotonic_clock::now();
    while (const auto it = m_queue.pop(now))
    {
        boost::system::error_code ec;
        // The next digest replaces one that is lost.
        m_socket.send_to(net::buffer(*it->bytes), it->to, 0, ec);
        if (ec && now >= m_next_failure_log)
        {
            m_next_failure_log = now + failure_log_period;
            log_event(severity::warning, event_number::datagram_not_sent,
                      {{"bytes", it->bytes->size()},
                       {"to", it->to.address().to_string()},
                       {"reason", ec.message()}});
        }
    }
    if (m_queue.is_empty() || m_is_queue_timer_set)
    {
        return;
    }
    m_is_queue_timer_set = true;
    m_queue_timer.expires_after(m_queue.time_to_next(now));
    m_queue_timer.async_wait(
        [this](boost::system::error_code ec)
        {
            m_is_queue_timer_set = false;
            if (!ec)
            {
                send_queued();
            }
        });
}

std::set<net::ip::udp::endpoint>
digest_exchange::watcher_addresses(time_point now) const
{
    std::set<net::ip::udp::endpoint> addresses;
    for (const peer* it : m_state.fleet.watchers(now))
    {
        addresses.insert(datagram_endpoint(it->address));
    }
    return addresses;
}

std::set<net::ip::udp::endpoint> digest_exchange::holder_address() const
{
    const peer* holder = m_state.fleet.placement_holder();
    if (holder == nullptr || m_is_holder())
    {
        return {};
    }
    return {datagram_endpoint(holder->address)};
}

void digest_exchange::send_digest()
{
    const work_meter::scope metered(m_state.work, duty::digests_sent);
    const time_point now = monotonic_clock::now();
    const auto holder = holder_address();
    fleet::wire::Digest common = make_digest(now, false);
    add_demand(common, now);
    add_peers(common);
    fleet::wire::Digest for_holder = common;
    add_work(common, false, now);
    auto others = m_addresses;
    for (const auto& it : holder)
    {
        others.erase(it);
    }
    if (m_is_holder())
    {
        add_fleet_work(common, now);
    }
    send(fleet::datagram_kind::routine, common, others);
    m_told_all_at = now;
    if (!holder.empty())
    {
        add_work(for_holder, true, now);
        add_usage(for_holder, now);
        add_pending_demand(for_holder, now);
        send(fleet::datagram_kind::routine, for_holder, holder);
    }
}

void digest_exchange::send_streams(const fleet::wire::Digest& lists,
                                   const http::endpoint& to)
{
    fleet::wire::Digest message = lists;
    message.sender = m_state.settings.name.value();
    message.incarnation = m_state.incarnation;
    message.is_update = true;
    send(fleet::datagram_kind::urgent, message, {datagram_endpoint(to)});
}

void digest_exchange::send_digest_to(const http::endpoint& to)
{
    const time_point now = monotonic_clock::now();
    fleet::wire::Digest it = make_digest(now, false);
    add_known_crashes(it, m_state.suspects, m_state.crashing_parts, now);
    add_demand(it, now);
    add_work(it, false, now);
    send(fleet::datagram_kind::urgent, it, {datagram_endpoint(to)});
}

void digest_exchange::send_update(bool is_beacon)
{
    const work_meter::scope metered(m_state.work, duty::digests_sent);
    const time_point now = monotonic_clock::now();
    fleet::wire::Digest update = make_digest(now, true);
    const bool is_for_all = std::exchange(m_is_update_for_all, false) ||
                            m_is_holder() ||
                            (is_beacon && update.watches_store) ||
                            (is_beacon && borrows_parts(update));
    if (is_for_all)
    {
        send(fleet::datagram_kind::urgent, update, m_addresses);
        m_told_all_at = now;
    }
    else if (is_beacon)
    {
        auto addresses = watcher_addresses(now);
        addresses.merge(borrower_addresses(update));
        send(fleet::datagram_kind::urgent, update, addresses);
    }
    const auto holder = holder_address();
    if (!holder.empty())
    {
        // Receivers ignore a digest whose number is not higher than the last.
        update.number = ++m_number;
        add_work(update, true, now);
        add_pending_demand(update, now);
        send(fleet::datagram_kind::urgent, update, holder);
    }
}

void digest_exchange::on_stall(time_point now)
{
    m_silence_counts_from = now + fleet_view::silence_limit;
}

void digest_exchange::drop_silent_peers(time_point now)
{
    if (now < m_silence_counts_from || !m_state.fleet.drop_silent(now))
    {
        return;
    }
    m_state.on_fleet_work(m_is_holder());
    if (m_state.fleet.placement_holder() == nullptr && !m_is_holder())
    {
        m_state.servers.forget_published();
    }
}

net::awaitable<void> digest_exchange::send_loop()
{
    time_point next_digest_at{};
    time_point next_beacon_at{};
    while (true)
    {
        const time_point now = monotonic_clock::now();
        m_is_update_requested = false;
        if (now >= next_digest_at)
        {
            drop_silent_peers(now);
            m_state.update_rate_shares(now);
            m_state.servers.forget_unlisted(now);
            send_digest();
            next_digest_at = now + m_state.fleet.digest_period();
            next_beacon_at = now + fleet_view::beacon_period;
        }
        else
        {
            const bool is_beacon_due = now >= next_beacon_at;
            send_update(is_beacon_due);
            if (is_beacon_due)
            {
                drop_silent_peers(now);
                next_beacon_at = now + fleet_view::beacon_period;
            }
        }
        m_timer.expires_after(std::max<monotonic_clock::duration>(
            std::min(next_digest_at, next_beacon_at) - monotonic_clock::now(),
            milliseconds(1)));
        co_await m_timer.async_wait(no_throw);
        if (m_is_update_requested)
        {
            net::steady_timer batching(m_state.context, update_batching_delay);
            co_await batching.async_wait(no_throw);
        }
    }
}

net::awaitable<void> digest_exchange::receive_loop()
{
    std::vector<char> buf(largest_datagram_bytes);
    while (true)
    {
        net::ip::udp::endpoint from;
        auto [ec, n] = co_await m_socket.async_receive_from(net::buffer(buf),
                                                            from, no_throw);
        if (ec)
        {
            log_event(severity::warning, event_number::peer_frame_malformed,
                      {{"reason", ec.message()}});
            co_await daemon::pause(m_state.context, receive_retry_pause);
            continue;
        }
        try
        {
            on_datagram(std::string_view(buf.data(), n), from);
        }
        catch (const std::exception& reason)
        {
            // Ending the loop would leave this daemon deaf to all others.
            log_event(severity::error, event_number::peer_frame_malformed,
                      {{"from", from.address().to_string()},
                       {"reason", reason.what()}});
        }
    }
}

void digest_exchange::on_datagram(std::string_view datagram,
                                  const net::ip::udp::endpoint& from)
{
    const work_meter::scope metered(m_state.work, duty::digests_received);
    fleet::wire::Digest digest;
    try
    {
        digest = fleet::decode_digest(datagram);
    }
    catch (const fleet::malformed_frame& reason)
    {
        log_event(
            severity::warning, event_number::peer_frame_malformed,
            {{"from", from.address().to_string()}, {"reason", reason.what()}});
        return;
    }
    const std::string sender = digest.sender;
    if (sender == m_state.settings.name.value())
    {
        return;
    }
    const http::endpoint address(from.address(), from.port());
    add_address(address);
    for (const std::string& it : digest.peers)
    {
        try
        {
            add_address(http::parse_endpoint(it));
        }
        catch (const malformed_document& reason)
        {
            log_event(severity::warning, event_number::peer_frame_malformed,
                      {{"peer", sender}, {"reason", reason.what()}});
        }
    }
    m_state.continuity.on_message(digest, address);
    if (digest.number == 0)
    {
        return;
    }
    const auto known = m_state.fleet.peers().find(sender);
    const bool has_started =
        known == m_state.fleet.peers().end() ||
        known->second.digest.incarnation != digest.incarnation;
    if (m_state.fleet.on_digest(digest, address, monotonic_clock::now()))
    {
        if (has_started)
        {
            m_state.continuity.on_host_started();
        }
        m_on_digest(m_state.fleet.peers().at(sender));
        const bool is_any_crash_known =
            !m_state.crashing_parts.is_empty() || m_state.suspects.size() > 0;
        if (has_started && is_any_crash_known)
        {
            send_digest_to(address);
        }
    }
}

} // namespace cicadahub::entry
