#include "operators/operator_handler.hpp"

#include "core/event_log.hpp"
#include "core/json_reader.hpp"

namespace cicadahub::operators
{

namespace
{

using configuration::object_kind;

http::response ok(boost::json::value json)
{
    return http::json_response(http::status::ok, boost::json::serialize(json));
}

boost::json::object entry_to_json(const configuration::stored_entry& it)
{
    return {{"kind", configuration::name_of(it.kind)},
            {"name", it.name},
            {"version", it.version.value()},
            {"deleted", it.is_deleted},
            {"spec", it.spec}};
}

boost::json::object
request_counts_to_json(const caller::request_counts_key& key,
                       const caller::request_counts& it)
{
    boost::json::object refused;
    for (std::size_t i = 0; i < it.refused.size(); ++i)
    {
        if (it.refused[i] > 0)
        {
            refused[name_of(static_cast<refusal_kind>(i))] = it.refused[i];
        }
    }
    return {{"class", key.first.value()},
            {"organisation", key.second.value()},
            {"served_in_target", it.served_in_target},
            {"served_late", it.served_late},
            {"failed", it.failed},
            {"tokens", it.tokens},
            {"refused", std::move(refused)}};
}

boost::json::object accepted_to_json(object_kind kind, const std::string& name,
                                     object_version version)
{
    return {{"kind", configuration::name_of(kind)},
            {"name", name},
            {"version", version.value()}};
}

const char* name_of(placement::replica_state it)
{
    switch (it)
    {
    case placement::replica_state::loading:
        return "loading";
    case placement::replica_state::loaded:
        return "loaded";
    case placement::replica_state::unloading:
        break;
    }
    return "unloading";
}

} // namespace

operator_handler::operator_handler(daemon::control_plane& control,
                                   daemon::audit_log& audit,
                                   caller::published_state& state,
                                   request_counts_reader read_request_counts)
    : m_control(control), m_audit(audit), m_state(state),
      m_read_request_counts(std::move(read_request_counts))
{
}

net::awaitable<void> operator_handler::serve(http::request& message,
                                             http::reply_writer& reply)
{
    http::response it;
    try
    {
        it = co_await answer(message);
    }
    catch (const malformed_document& reason)
    {
        CICADAHUB_EVENT(INFO, configuration_refused) << reason.what();
        boost::json::object problem = parse_json_object(
            problem_document({refusal_kind::malformed_request}));
        problem["detail"] = reason.what();
        it = http::json_response(http::status::bad_request,
                                 boost::json::serialize(problem));
    }
    catch (const platform::platform_error&)
    {
        throw refused_error({refusal_kind::platform_unavailable});
    }
    co_await reply.send(std::move(it));
}

net::awaitable<http::response>
operator_handler::answer(const http::request& message)
{
    constexpr std::string_view prefix = "/configuration/";
    const std::string_view path = http::path_of(message.target());
    if (path.starts_with(prefix))
    {
        co_return co_await answer_configuration(message,
                                                path.substr(prefix.size()));
    }
    if (path == "/fares")
    {
        co_return request_counts();
    }
    if (path == "/replicas")
    {
        co_return replicas();
    }
    if (path == "/shards")
    {
        co_return shards();
    }
    if (path == "/members")
    {
        co_return members();
    }
    if (path == "/audit")
    {
        co_return co_await audit();
    }
    throw refused_error({refusal_kind::unknown_path});
}

net::awaitable<http::response>
operator_handler::answer_configuration(const http::request& message,
                                       std::string_view rest)
{
    const std::size_t slash = rest.find('/');
    const auto kind = configuration::kind_of(rest.substr(0, slash));
    if (!kind)
    {
        throw refused_error({refusal_kind::unknown_path});
    }
    const std::string name(
        slash == std::string_view::npos ? "" : rest.substr(slash + 1));
    if (message.method() == http::verb::get)
    {
        co_return name.empty() ? list_entries(*kind) : get_entry(*kind, name);
    }
    if (message.method() == http::verb::put)
    {
        boost::json::object spec = parse_json_object(message.body());
        configuration::check_spec(*kind, name, spec);
        co_return co_await apply(message, *kind, name, std::move(spec));
    }
    if (message.method() == http::verb::delete_)
    {
        // A tombstone keeps its version, so that an older copy of the object
        // that arrives late cannot restore it.
        boost::json::object tombstone;
        tombstone["deleted"] = true;
        co_return co_await apply(message, *kind, name, std::move(tombstone));
    }
    throw refused_error({refusal_kind::method_not_allowed});
}

net::awaitable<http::response>
operator_handler::apply(const http::request& message, object_kind kind,
                        std::string name, boost::json::object spec)
{
    const std::string object = configuration::object_name(kind, name);
    auto former = co_await m_control.store().read(
        platform::collection::configurations, object);
    if (!former)
    {
        if (spec.contains("deleted"))
        {
            throw refused_error({refusal_kind::unknown_path});
        }
        former.emplace();
        former->name = object;
    }
    const object_version before = former->version;
    const platform::write_result result = co_await m_control.store().write(
        platform::collection::configurations, std::move(*former), spec);
    if (result.outcome == platform::write_outcome::conflict)
    {
        throw refused_error({refusal_kind::conflict});
    }
    if (result.outcome == platform::write_outcome::unknown)
    {
        throw refused_error({refusal_kind::outcome_unknown, false});
    }
    platform::stored_object accepted;
    accepted.name = object;
    accepted.version = result.version;
    accepted.spec = spec;
    m_control.on_accepted(accepted);
    const auto who = message.find(operator_header);
    daemon::audit_entry entry;
    entry.actor = who == message.end() ? "unnamed" : std::string(who->value());
    entry.action = spec.contains("deleted") ? "delete" : "apply";
    entry.target = object;
    entry.before = before;
    entry.after = result.version;
    m_audit.append(std::move(entry));
    co_return ok(accepted_to_json(kind, name, result.version));
}

http::response operator_handler::list_entries(object_kind kind) const
{
    boost::json::array items;
    const auto configuration = m_state.configuration.copy();
    for (const auto& [name, it] : configuration->entries())
    {
        if (it.kind == kind && !it.is_deleted)
        {
            items.push_back(entry_to_json(it));
        }
    }
    return ok({{"items", std::move(items)}});
}

http::response operator_handler::get_entry(object_kind kind,
                                           std::string_view name) const
{
    const auto configuration = m_state.configuration.copy();
    const auto& entries = configuration->entries();
    const auto at = entries.find(configuration::object_name(kind, name));
    if (at == entries.end())
    {
        throw refused_error({refusal_kind::unknown_path});
    }
    return ok(entry_to_json(at->second));
}

http::response operator_handler::request_counts() const
{
    boost::json::array items;
    for (const auto& [key, it] : m_read_request_counts())
    {
        items.push_back(request_counts_to_json(key, it));
    }
    return ok({{"items", std::move(items)}});
}

http::response operator_handler::replicas() const
{
    boost::json::array items;
    for (const placement::replica& it : m_control.placement_document().replicas)
    {
        items.push_back({{"model", it.model.value()},
                         {"server", it.server.value()},
                         {"state", name_of(it.state)},
                         {"generation", it.generation.value()},
                         {"bytes", it.bytes.value()}});
    }
    return ok({{"items", std::move(items)}});
}

http::response operator_handler::shards() const
{
    boost::json::array items;
    for (const daemon::shard_elector* it : m_control.shards())
    {
        const auto& lease = it->observed();
        items.push_back({{"shard", it->shard().value()},
                         {"holder", lease.holder.value()},
                         {"epoch", lease.epoch.value()},
                         {"released", lease.is_released}});
    }
    return ok({{"items", std::move(items)}});
}

http::response operator_handler::members() const
{
    boost::json::array items;
    for (const auto& [id, it] : m_control.members().members())
    {
        items.push_back({{"daemon", id.value()},
                         {"operators", http::to_string(it.operators_address)},
                         {"data_centre", it.data_centre.value()}});
    }
    return ok({{"items", std::move(items)}});
}

net::awaitable<http::response> operator_handler::audit()
{
    const platform::listing segments =
        co_await m_control.store().list(platform::collection::audits);
    boost::json::array items;
    for (const platform::stored_object& segment : segments.objects)
    {
        for (const auto& it : json_reader(segment.spec).array("entries"))
        {
            items.push_back(it);
        }
    }
    boost::json::object json;
    json["items"] = std::move(items);
    co_return ok(std::move(json));
}

} // namespace cicadahub::operators
