#pragma once

#include "fleet/peer_link.hpp"
#include "platform/store.hpp"

#include <functional>
#include <map>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// One daemon as it has written itself down.
struct member
{
    /// Name with the number of its start, so that a restarted daemon is not
    /// taken for its former self.
    daemon_id id;
    net::ip::tcp::endpoint fleet_address;
    net::ip::tcp::endpoint operators_address;
    data_centre_id data_centre;
};

/// The daemons of the fleet and the links to them.
class member_directory
{
public:
    member_directory(net::io_context& context, platform::store& store,
                     std::string name, member self);

    /// Writes this daemon down; returns once that is known to be done.
    net::awaitable<void> register_self();
    net::awaitable<void> unregister_self();

    /// Takes one object of the collection of members.
    void apply(const platform::stored_object& it);
    void begin_list() { m_listed.clear(); }
    void end_list();

    const daemon_id& self() const { return m_self.id; }
    const std::map<daemon_id, member>& members() const { return m_members; }

    /// The link to a daemon; none if it is not known.
    std::shared_ptr<fleet::peer_link> link(const daemon_id& id) const;

    const std::map<daemon_id, std::shared_ptr<fleet::peer_link>>& links() const
    {
        return m_links;
    }

    /// Sends a notice to every other daemon.
    void notify_all(const std::string& key, const fleet::wire::Body& body);

    /// Place of this daemon in the order in which daemons try for a shard.
    std::uint32_t rank_for(const shard_id& shard) const;

    void stop();

private:
    void add(const std::string& name, member it);
    void remove(const std::string& name);

    net::io_context& m_context;
    platform::store& m_store;
    std::string m_name;
    member m_self;
    std::map<std::string, daemon_id> m_id_of_name;
    std::map<daemon_id, member> m_members;
    std::map<daemon_id, std::shared_ptr<fleet::peer_link>> m_links;
    std::set<std::string> m_listed;
};

} // namespace cicadahub::daemon
