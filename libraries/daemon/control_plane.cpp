#include "daemon/control_plane.hpp"

#include "core/digest.hpp"
#include "core/event_log.hpp"
#include "core/json_reader.hpp"
#include "daemon/pause.hpp"
#include "daemon/placement_document.hpp"
#include "daemon/settings_parts.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadahub::daemon
{

namespace
{

constexpr std::size_t idle_connections_per_peer = 16;
constexpr milliseconds owner_retry{50};
/// Maximum wait for the other daemons to acknowledge a crash notice.
constexpr milliseconds crash_notice_timeout{200};
constexpr milliseconds notice_poll{2};
/// Subtracted from the deadline sent to the owner, so that a refusal which the
/// owner sends at that deadline still arrives in time.
constexpr milliseconds reply_allowance{20};

routing::target target_of(const host_entry& it)
{
    return {it.id, http::to_string(it.address), it.slots, it.load};
}

refusal_kind refusal_kind_from_name(const std::string& name)
{
    for (std::size_t i = 0; i < refusal_kind_count; ++i)
    {
        const auto kind = static_cast<refusal_kind>(i);
        if (name_of(kind) == name)
        {
            return kind;
        }
    }
    return refusal_kind::no_capacity;
}

} // namespace

control_plane::control_plane(net::io_context& context,
                             const settings::daemon_settings& settings,
                             caller::published_state& state)
    : m_context(context), m_settings(settings), m_state(state),
      m_pool(context, settings.backend_connect_timeout,
             idle_connections_per_peer),
      m_store(m_pool, http::parse_endpoint(settings.platform_address),
              timing_of(settings)),
      m_engines(m_pool, settings.order_timeout, settings.platform_call_timeout),
      m_members(context, m_store, settings.daemon_name, self_of(settings)),
      m_placement_shard(
          context, m_store, m_members.self(), shard_id("placement-0"),
          lease_timing_of(settings),
          [this] { return m_members.rank_for(shard_id("placement-0")); },
          [this](epoch_number epoch)
          {
              audit_takeover(m_placement_shard, epoch);
              m_placement.on_won(epoch);
          },
          [this] { m_placement.on_lost(); }),
      m_quota_shard(
          context, m_store, m_members.self(), shard_id("quota-0"),
          lease_timing_of(settings),
          [this] { return m_members.rank_for(shard_id("quota-0")); },
          [this](epoch_number epoch)
          {
              audit_takeover(m_quota_shard, epoch);
              m_rates.on_won(epoch);
          },
          [this] { m_rates.on_lost(); }),
      m_once_shard(
          context, m_store, m_members.self(), shard_id("once-0"),
          lease_timing_of(settings),
          [this] { return m_members.rank_for(shard_id("once-0")); },
          [this](epoch_number epoch)
          {
              audit_takeover(m_once_shard, epoch);
              m_idempotency.on_won(epoch);
          },
          [this] { m_idempotency.on_lost(); }),
      m_slot(context, m_store, m_members,
             static_cast<std::uint32_t>(settings.quota_slots),
             slot_timing_of(settings)),
      m_shard_client(m_members, [this](fleet::wire::Body body)
                     { return on_message(std::move(body)); }),
      m_rate_limiter(quota_timing_of(settings)),
      m_placement(
          context, m_store, m_hosts, m_engines,
          [this] { return m_placement_shard.is_held(); }, limits_of(settings),
          placement_timing_of(settings), settings.backend_report_every,
          [this](const placement::order_action& it) { audit_order(it); }),
      m_rates(context, m_quota_shard, m_slot, m_shard_client, m_rate_limiter),
      m_idempotency(context, m_store, m_once_shard, m_shard_client,
                    ledger_timing_of(settings)),
      m_configuration_follower(
          context, m_store, platform::collection::configurations,
          [this](const auto& it) { on_configuration_object(it); },
          [this](bool is_full_list)
          {
              publish_configuration();
              m_pending_lists -= is_full_list ? 1 : 0;
              update_readiness();
          },
          watch_pace_of(settings)),
      m_host_follower(
          context, m_store, platform::collection::hosts,
          [this](const auto& it) { m_hosts.apply(it); },
          [this](bool is_full_list)
          {
              if (is_full_list)
              {
                  m_hosts.end_list();
                  m_hosts.begin_list();
                  --m_pending_lists;
              }
              m_placement.on_hosts_changed();
              publish_routes();
              update_readiness();
          },
          watch_pace_of(settings)),
      m_member_follower(
          context, m_store, platform::collection::members,
          [this](const auto& it) { m_members.apply(it); },
          [this](bool is_full_list)
          {
              if (is_full_list)
              {
                  m_members.end_list();
                  m_members.begin_list();
              }
          },
          watch_pace_of(settings)),
      m_lease_follower(
          context, m_store, platform::collection::leases,
          [this](const auto& it)
          {
              m_placement_shard.apply(it);
              m_quota_shard.apply(it);
              m_once_shard.apply(it);
              m_slot.apply(it);
          },
          [this](bool) { m_slot.start(); }, watch_pace_of(settings)),
      m_placement_follower(
          context, m_store, platform::collection::placements,
          [this](const auto& it) { on_placement_object(it); },
          [this](bool is_full_list)
          {
              publish_routes();
              m_pending_lists -= is_full_list ? 1 : 0;
              update_readiness();
          },
          watch_pace_of(settings)),
      m_receiver(*this)
{
}

void control_plane::set_withdraw_handler(withdraw_handler handler)
{
    m_on_withdrawn = std::move(handler);
}

void control_plane::set_audit_handler(audit_handler handler)
{
    m_on_audit = std::move(handler);
}

void control_plane::audit_takeover(const shard_elector& shard,
                                   epoch_number epoch)
{
    audit_entry entry;
    entry.actor = m_members.self().value();
    entry.action = "take shard";
    entry.target = shard.shard().value();
    entry.before = object_version(epoch.value() - 1);
    entry.after = object_version(epoch.value());
    m_on_audit(std::move(entry));
}

void control_plane::audit_order(const placement::order_action& it)
{
    audit_entry entry;
    entry.actor = m_members.self().value();
    entry.action = it.kind == placement::order_kind::load ? "load" : "unload";
    entry.target = it.target.model.value() + " on " + it.target.server.value();
    entry.after = object_version(it.target.generation.value());
    m_on_audit(std::move(entry));
}

void control_plane::bind()
{
    m_listener.emplace(
        m_context, http::parse_endpoint(m_settings.fleet_address), m_receiver);
}

void control_plane::start()
{
    m_listener->start();
    m_configuration_follower.start();
    m_host_follower.start();
    m_member_follower.start();
    m_lease_follower.start();
    m_placement_follower.start();
    m_placement_shard.start();
    m_quota_shard.start();
    m_once_shard.start();
    m_rates.start();
    net::co_spawn(m_context, m_members.register_self(), net::detached);
}

net::awaitable<void> control_plane::release_shards()
{
    co_await m_placement_shard.release();
    co_await m_quota_shard.release();
    co_await m_once_shard.release();
}

net::awaitable<void> control_plane::leave()
{
    co_await m_slot.release();
    co_await m_members.unregister_self();
}

void control_plane::update_readiness()
{
    if (m_pending_lists <= 0 && !m_state.is_ready)
    {
        m_state.is_ready = true;
        CICADAHUB_EVENT(INFO, daemon_ready)
            << "daemon=" << m_members.self()
            << " configuration=" << m_configuration.version();
    }
}

void control_plane::on_configuration_object(const platform::stored_object& it)
{
    try
    {
        const auto entry =
            configuration::make_entry(it.name, it.version, it.spec);
        const auto& entries = m_configuration.entries();
        const auto former = entries.find(it.name);
        std::optional<key_hash> withdrawn;
        if (entry.kind == configuration::object_kind::key &&
            former != entries.end() && !former->second.is_deleted)
        {
            withdrawn =
                key_hash(json_reader(former->second.spec).text("sha256"));
        }
        if (!m_configuration.apply(entry))
        {
            return;
        }
        CICADAHUB_EVENT(INFO, configuration_applied)
            << "object=" << it.name << " version=" << it.version;
        if (withdrawn && m_configuration.find_key(*withdrawn) == nullptr)
        {
            CICADAHUB_EVENT(INFO, key_withdrawn) << "key=" << entry.name;
            publish_configuration();
            m_on_withdrawn(*withdrawn);
        }
    }
    catch (const malformed_document& reason)
    {
        CICADAHUB_EVENT(WARNING, malformed_object)
            << "object=" << it.name << " reason=" << reason.what();
    }
}

void control_plane::publish_configuration()
{
    std::vector<placement::item_spec> items;
    for (const auto& [id, it] : m_configuration.models())
    {
        items.push_back({id, it.bytes, std::nullopt});
    }
    for (const auto& [id, it] : m_configuration.adapters())
    {
        items.push_back({id, it.bytes, it.base});
    }
    m_placement.on_items(items);
    std::map<organisation_id, quota::rate_limit> rates;
    for (const auto& [id, it] : m_configuration.organisations())
    {
        rates.emplace(id, quota::rate_limit{it.tokens_per_second, it.burst});
    }
    m_rates.set_rates(rates);
    m_state.configuration.publish(m_configuration);
}

void control_plane::on_placement_object(const platform::stored_object& it)
{
    if (it.name != placement_object_name)
    {
        return;
    }
    try
    {
        m_placement_document = placement_from_json(it.spec);
    }
    catch (const malformed_document& reason)
    {
        CICADAHUB_EVENT(ERROR, malformed_object)
            << "object=" << it.name << " reason=" << reason.what();
    }
}

void control_plane::publish_routes()
{
    routing::routing_table table;
    for (const auto& [id, host] : m_hosts.hosts())
    {
        if (host.is_leaving)
        {
            continue;
        }
        const routing::target target = target_of(host);
        table.servers.emplace(id, target);
        for (const route_id& route : host.routes)
        {
            table.services[route].push_back(target);
        }
    }
    for (const placement::replica& it : m_placement_document.replicas)
    {
        const auto server = table.servers.find(it.server);
        if (it.state == placement::replica_state::loaded &&
            server != table.servers.end())
        {
            table.models[it.model].push_back(server->second);
        }
    }
    m_state.routes.publish(std::move(table));
}

void control_plane::on_accepted(const platform::stored_object& it)
{
    on_configuration_object(it);
    publish_configuration();
    fleet::wire::ConfigurationNotice notice;
    notice.name = it.name;
    notice.version = static_cast<std::int64_t>(it.version.value());
    notice.spec = boost::json::serialize(it.spec);
    fleet::wire::Body body;
    body.__set_configuration_notice(notice);
    m_members.notify_all("configuration." + it.name, body);
}

void control_plane::on_configuration_notice(
    const fleet::wire::ConfigurationNotice& notice)
{
    platform::stored_object it;
    it.name = notice.name;
    it.version = object_version(static_cast<std::uint64_t>(notice.version));
    try
    {
        it.spec = parse_json_object(notice.spec);
    }
    catch (const malformed_document& reason)
    {
        CICADAHUB_EVENT(WARNING, malformed_object)
            << "object=" << it.name << " reason=" << reason.what();
        return;
    }
    on_configuration_object(it);
    publish_configuration();
}

net::awaitable<caller::wake_answer> control_plane::wake(model_id model,
                                                        time_point deadline)
{
    co_return co_await net::co_spawn(
        m_context, wake_on_control_thread(std::move(model), deadline),
        net::use_awaitable);
}

net::awaitable<caller::wake_answer>
control_plane::wake_on_control_thread(model_id model, time_point deadline)
{
    while (monotonic_clock::now() < deadline)
    {
        const auto answer = co_await ask_owner(model, deadline);
        const auto* reason = answer ? std::get_if<refusal>(&*answer) : nullptr;
        const bool is_final =
            answer && (!reason || reason->kind != refusal_kind::not_ready);
        if (is_final)
        {
            co_return *answer;
        }
        co_await pause(m_context, owner_retry);
    }
    co_return refusal{refusal_kind::target_unreachable, true,
                      m_settings.lease_duration};
}

net::awaitable<std::optional<caller::wake_answer>>
control_plane::ask_owner(const model_id& model, time_point deadline)
{
    const auto patience = std::chrono::duration_cast<milliseconds>(
        deadline - monotonic_clock::now());
    fleet::wire::WakeRequest request;
    request.model = model.value();
    request.patience_us = microseconds(patience - reply_allowance).count();
    fleet::wire::Body body;
    body.__set_wake_request(request);
    const auto reply = co_await m_shard_client.call(m_placement_shard,
                                                    std::move(body), patience);
    if (!reply)
    {
        co_return std::nullopt;
    }
    const fleet::wire::WakeReply& it = reply->wake_reply;
    if (it.refusal.empty())
    {
        co_return caller::wake_answer(server_id(it.server));
    }
    co_return caller::wake_answer(refusal{refusal_kind_from_name(it.refusal),
                                          true,
                                          milliseconds(it.retry_after_ms)});
}

net::awaitable<std::optional<refusal>>
control_plane::spend(organisation_id organisation, token_count tokens,
                     time_point deadline)
{
    co_return co_await net::co_spawn(
        m_context, m_rates.spend(std::move(organisation), tokens, deadline),
        net::use_awaitable);
}

net::awaitable<once::dispatch_decision>
control_plane::request_dispatch(once::intent_key key, once::fingerprint request,
                                once::attempt_id attempt, time_point deadline)
{
    co_return co_await net::co_spawn(
        m_context,
        m_idempotency.request_dispatch(std::move(key), std::move(request),
                                       std::move(attempt), deadline),
        net::use_awaitable);
}

void control_plane::report_outcome(once::intent_key key,
                                   once::attempt_id attempt,
                                   std::optional<once::saved_answer> answer,
                                   bool is_not_run)
{
    net::co_spawn(m_context,
                  m_idempotency.report_outcome(std::move(key),
                                               std::move(attempt),
                                               std::move(answer), is_not_run),
                  net::detached);
}

net::awaitable<std::uint32_t>
control_plane::report_crash(suspicion::fingerprint request)
{
    co_return co_await net::co_spawn(
        m_context, broadcast_crash(std::move(request)), net::use_awaitable);
}

net::awaitable<std::uint32_t>
control_plane::broadcast_crash(suspicion::fingerprint request)
{
    const std::uint32_t crashes = m_suspects.on_crash(request);
    CICADAHUB_EVENT(WARNING, request_suspected)
        << "request=" << request << " crashes=" << crashes;
    fleet::wire::SuspectNotice notice;
    notice.fingerprint = request.value();
    notice.crashes = static_cast<std::int32_t>(crashes);
    fleet::wire::Body body;
    body.__set_suspect_notice(notice);
    const auto finished_count = std::make_shared<std::size_t>(0);
    std::size_t notified_count = 0;
    for (const auto& [id, link] : m_members.links())
    {
        ++notified_count;
        net::co_spawn(
            m_context,
            [link = link, body, finished_count]() -> net::awaitable<void>
            {
                try
                {
                    co_await link->call(body, crash_notice_timeout);
                }
                catch (const fleet::peer_unavailable&)
                {
                    // An unreachable daemon is not waited for.
                }
                ++*finished_count;
            },
            net::detached);
    }
    const time_point limit = monotonic_clock::now() + crash_notice_timeout;
    while (*finished_count < notified_count && monotonic_clock::now() < limit)
    {
        co_await pause(m_context, notice_poll);
    }
    co_return crashes;
}

void control_plane::report_completed(suspicion::fingerprint request)
{
    net::post(m_context, [this, request] { broadcast_completed(request); });
}

void control_plane::broadcast_completed(const suspicion::fingerprint& request)
{
    m_suspects.on_completed(request);
    fleet::wire::SuspectNotice notice;
    notice.fingerprint = request.value();
    notice.crashes = 0;
    fleet::wire::Body body;
    body.__set_suspect_notice(notice);
    m_members.notify_all("suspect." + request.value(), body);
}

net::awaitable<fleet::wire::Body>
control_plane::on_wake_request(fleet::wire::WakeRequest request)
{
    fleet::wire::WakeReply reply;
    caller::wake_answer answer = refusal{refusal_kind::not_ready, true};
    if (m_placement.is_owner())
    {
        answer = co_await m_placement.wake(
            model_id(request.model),
            monotonic_clock::now() + microseconds(request.patience_us));
    }
    if (const auto* server = std::get_if<server_id>(&answer))
    {
        reply.server = server->value();
    }
    else
    {
        const refusal& reason = std::get<refusal>(answer);
        reply.refusal = name_of(reason.kind);
        reply.retry_after_ms = reason.retry_after.count();
    }
    fleet::wire::Body body;
    body.__set_wake_reply(reply);
    co_return body;
}

net::awaitable<fleet::wire::Body>
control_plane::on_message(fleet::wire::Body body)
{
    fleet::wire::Body reply;
    reply.__set_acknowledgement({});
    if (body.__isset.wake_request)
    {
        reply = co_await on_wake_request(body.wake_request);
    }
    else if (body.__isset.configuration_notice)
    {
        on_configuration_notice(body.configuration_notice);
    }
    else if (body.__isset.allowance_request)
    {
        reply = m_rates.on_request(body.allowance_request);
    }
    else if (body.__isset.intent_request)
    {
        reply = co_await m_idempotency.on_intent_request(body.intent_request);
    }
    else if (body.__isset.outcome_request)
    {
        reply = m_idempotency.on_outcome_request(body.outcome_request);
    }
    else if (body.__isset.suspect_notice)
    {
        m_suspects.on_notice(
            suspicion::fingerprint(body.suspect_notice.fingerprint),
            static_cast<std::uint32_t>(body.suspect_notice.crashes));
    }
    co_return reply;
}

} // namespace cicadahub::daemon
