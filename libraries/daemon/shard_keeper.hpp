#pragma once

#include "daemon/member_directory.hpp"
#include "decision/ownership/shard_lease.hpp"
#include "platform/store.hpp"

#include <functional>

namespace cicadahub::daemon
{

/// Runs the lease of one shard against the platform.
class shard_keeper
{
public:
    /// Called when the shard is won, with its fencing number, and when it is
    /// lost or given up.
    using won_handler = std::function<void(epoch_number)>;
    using lost_handler = std::function<void()>;

    shard_keeper(net::io_context& context, platform::store& store,
                 const member_directory& members, shard_id shard,
                 ownership::lease_timing timing, won_handler on_won,
                 lost_handler on_lost);

    void start();

    /// Gives the shard up early, as at a planned stop, and tries no more.
    net::awaitable<void> release();

    /// Takes an object of the collection of leases.
    void apply(const platform::stored_object& it);

    const shard_id& shard() const { return m_shard; }
    bool is_held() const { return m_lease.is_held(monotonic_clock::now()); }
    epoch_number epoch() const { return m_lease.epoch(); }
    bool was_taken_early() const { return m_lease.was_taken_early(); }
    /// The daemon that holds the shard, as far as this one knows.
    const ownership::lease_record& observed() const
    {
        return m_lease.observed();
    }

private:
    net::awaitable<void> run();
    net::awaitable<void> first_read();
    net::awaitable<void> write(ownership::lease_write it);
    net::awaitable<void> read_back();
    void note_change();

    net::io_context& m_context;
    platform::store& m_store;
    const member_directory& m_members;
    shard_id m_shard;
    ownership::shard_lease m_lease;
    won_handler m_on_won;
    lost_handler m_on_lost;
    std::vector<std::string> m_write_marks;
    std::optional<epoch_number> m_announced;
    bool m_is_stopped = false;
    bool m_is_writing = false;
};

} // namespace cicadahub::daemon
