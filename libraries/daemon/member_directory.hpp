#pragma once

#include "fleet/peer_link.hpp"
#include "platform/store.hpp"

#include <functional>
#include <map>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// One daemon as registered in the platform.
struct member
{
    /// Name with a random incarnation suffix, so that a restarted daemon is not
    /// mistaken for its previous incarnation.
    daemon_id id;
    net::ip::tcp::endpoint fleet_address;
    net::ip::tcp::endpoint operators_address;
    data_centre_id data_centre;
};

/// The daemons of the fleet and the connections to them.
class member_directory
{
public:
    member_directory(net::io_context& context, platform::store& store,
                     std::string name, member self);

    /// Registers this daemon in the platform; retries until the write is known
    /// to be applied.
    net::awaitable<void> register_self();
    net::awaitable<void> unregister_self();

    /// Applies one object of the members collection.
    void apply(const platform::stored_object& it);
    void begin_list() { m_listed.clear(); }
    void end_list();

    const daemon_id& self() const { return m_self.id; }
    const std::map<daemon_id, member>& members() const { return m_members; }

    /// The connection to another daemon; null if the daemon is not known.
    std::shared_ptr<fleet::peer_link> link(const daemon_id& id) const;

    const std::map<daemon_id, std::shared_ptr<fleet::peer_link>>& links() const
    {
        return m_links;
    }

    /// Sends a notice to every other daemon, in place of any notice with the
    /// same key that is still queued.
    void notify_all(const std::string& key, const fleet::wire::Body& body);

    /// Rank of this daemon among the candidates for a shard by rendezvous
    /// hashing; 0 is the preferred holder.
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
