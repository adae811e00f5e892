#pragma once

#include "decision/ownership/shard_lease.hpp"
#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// Acquires, renews and releases the lease of one shard in the platform.
class shard_elector
{
public:
    /// Called with the fencing number when the shard is won.
    using won_handler = std::function<void(epoch_number)>;
    /// Called when the shard is lost or released.
    using lost_handler = std::function<void()>;
    /// Rank of this daemon among the candidates for the shard; none if it must
    /// not compete for the shard now.
    using rank_handler = std::function<std::optional<std::uint32_t>()>;

    shard_elector(net::io_context& context, platform::store& store,
                  daemon_id self, shard_id shard,
                  ownership::lease_timing timing, rank_handler rank,
                  won_handler on_won, lost_handler on_lost);

    void start();

    /// Releases the shard before its lease expires, for a planned stop, and
    /// stops competing for it.
    net::awaitable<void> release();

    /// The same, but goes on competing for the shard, as far as the rank
    /// allows.
    net::awaitable<void> resign();

    /// Applies an object of the leases collection; ignores those of other
    /// shards.
    void apply(const platform::stored_object& it);

    /// Another daemon reported that it holds the lease, and in which version of
    /// the lease object.
    void on_holder_reported(const daemon_id& holder, epoch_number epoch,
                            object_version version);

    /// The platform's store was restored from an older copy.
    void on_store_restored();

    /// The holder no longer reports that it holds the lease. It may have
    /// released it, so the lease object is read from the platform.
    void on_holder_claim_ended();

    object_version version() const { return m_lease.version(); }
    const shard_id& shard() const { return m_shard; }
    bool is_held() const { return m_lease.is_held(monotonic_clock::now()); }
    epoch_number epoch() const { return m_lease.epoch(); }
    bool was_acquired_without_wait() const
    {
        return m_lease.was_acquired_without_wait();
    }
    /// The lease as this daemon last observed it, with its holder.
    const ownership::lease_record& observed() const
    {
        return m_lease.observed();
    }

private:
    net::awaitable<void> run();
    net::awaitable<void> read_initial_state();
    net::awaitable<void> renew_or_win();
    net::awaitable<void> write(ownership::lease_write it);
    net::awaitable<void> read_back();
    void announce_change();

    net::io_context& m_context;
    platform::store& m_store;
    shard_id m_shard;
    ownership::shard_lease m_lease;
    rank_handler m_rank;
    won_handler m_on_won;
    lost_handler m_on_lost;
    std::vector<std::string> m_write_marks;
    std::optional<epoch_number> m_announced_epoch;
    bool m_is_stopped = false;
    bool m_is_writing = false;
};

} // namespace cicadahub::daemon
