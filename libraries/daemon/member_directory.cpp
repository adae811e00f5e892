#include "daemon/member_directory.hpp"

#include "core/event_log.hpp"
#include "core/json_reader.hpp"
#include "daemon/pause.hpp"
#include "http/types.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cicadahub::daemon
{

namespace
{

constexpr milliseconds register_pause{200};

member read_member(const platform::stored_object& object)
{
    const json_reader spec(object.spec);
    member it;
    it.id = daemon_id(spec.text("id"));
    it.fleet_address = http::parse_endpoint(spec.text("fleet"));
    it.operators_address = http::parse_endpoint(spec.text("operators"));
    it.data_centre = data_centre_id(spec.text("data_centre"));
    return it;
}

boost::json::object spec_of(const member& it)
{
    return {{"id", it.id.value()},
            {"fleet", http::to_string(it.fleet_address)},
            {"operators", http::to_string(it.operators_address)},
            {"data_centre", it.data_centre.value()}};
}

std::uint64_t rendezvous_weight(const daemon_id& daemon, const shard_id& shard)
{
    const std::string text = shard.value() + "\n" + daemon.value();
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

member_directory::member_directory(net::io_context& context,
                                   platform::store& store, std::string name,
                                   member self)
    : m_context(context), m_store(store), m_name(std::move(name)),
      m_self(std::move(self))
{
    m_members.emplace(m_self.id, m_self);
}

net::awaitable<void> member_directory::register_self()
{
    for (;;)
    {
        try
        {
            auto former =
                co_await m_store.read(platform::collection::members, m_name);
            if (!former)
            {
                former.emplace();
                former->name = m_name;
            }
            const auto result =
                co_await m_store.write(platform::collection::members,
                                       std::move(*former), spec_of(m_self));
            if (result.outcome == platform::write_outcome::applied)
            {
                co_return;
            }
        }
        catch (const error&)
        {
            // The platform is unreachable: retry. The daemon does not become
            // ready before the platform answers.
        }
        co_await pause(m_context, register_pause);
    }
}

net::awaitable<void> member_directory::unregister_self()
{
    try
    {
        co_await m_store.remove(platform::collection::members, m_name);
    }
    catch (const error&)
    {
        // The other daemons notice by their broken connections.
    }
}

void member_directory::apply(const platform::stored_object& object)
{
    if (object.name == m_name)
    {
        return;
    }
    if (json_reader(object.spec).boolean_or("deleted", false))
    {
        remove(object.name);
        return;
    }
    m_listed.insert(object.name);
    try
    {
        add(object.name, read_member(object));
    }
    catch (const malformed_document& reason)
    {
        CICADAHUB_EVENT(WARNING, malformed_object)
            << "member=" << object.name << " reason=" << reason.what();
    }
}

void member_directory::add(const std::string& name, member it)
{
    const auto known = m_id_of_name.find(name);
    if (known != m_id_of_name.end() && known->second == it.id)
    {
        return;
    }
    remove(name);
    const daemon_id id = it.id;
    auto link =
        std::make_shared<fleet::peer_link>(m_context, id, it.fleet_address);
    link->start();
    m_links[id] = std::move(link);
    m_id_of_name[name] = id;
    m_members.emplace(id, std::move(it));
}

void member_directory::remove(const std::string& name)
{
    const auto known = m_id_of_name.find(name);
    if (known == m_id_of_name.end())
    {
        return;
    }
    const auto link = m_links.find(known->second);
    if (link != m_links.end())
    {
        link->second->stop();
        m_links.erase(link);
    }
    m_members.erase(known->second);
    m_id_of_name.erase(known);
}

void member_directory::end_list()
{
    std::vector<std::string> removed;
    for (const auto& [name, id] : m_id_of_name)
    {
        if (!m_listed.contains(name))
        {
            removed.push_back(name);
        }
    }
    for (const std::string& name : removed)
    {
        remove(name);
    }
}

std::shared_ptr<fleet::peer_link>
member_directory::link(const daemon_id& id) const
{
    const auto at = m_links.find(id);
    return at == m_links.end() ? nullptr : at->second;
}

void member_directory::notify_all(const std::string& key,
                                  const fleet::wire::Body& body)
{
    for (const auto& [id, link] : m_links)
    {
        link->notify(key, body);
    }
}

std::uint32_t member_directory::rank_for(const shard_id& shard) const
{
    const std::uint64_t own = rendezvous_weight(m_self.id, shard);
    return static_cast<std::uint32_t>(
        std::count_if(m_members.begin(), m_members.end(),
                      [&](const auto& it)
                      { return rendezvous_weight(it.first, shard) > own; }));
}

void member_directory::stop()
{
    for (const auto& [id, link] : m_links)
    {
        link->stop();
    }
    m_links.clear();
}

} // namespace cicadahub::daemon
