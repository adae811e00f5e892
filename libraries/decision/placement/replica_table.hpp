#pragma once

#include "decision/placement/types.hpp"

#include <functional>

namespace cicadahub::placement
{

/// A replica and the state of its orders.
struct replica_record
{
    replica decided;
    /// State in the last document whose write is confirmed.
    std::optional<replica_state> committed;
    bool has_order_in_flight = false;
    /// True if the order in flight is a load, even if the replica has been
    /// marked for unloading since.
    bool has_load_in_flight = false;
    /// True if the weights come from the weight store.
    bool is_remote_load = true;
    /// Until this time an earlier load order may still reach the server.
    time_point late_order_until{};
    time_point ordered_at{};
    time_point loaded_at{};
    time_point retry_at{};
    time_point last_used{};
    std::uint32_t in_use = 0;
};

/// The decided replicas, indexed by server and by model, and the memory that
/// they reserve. Memory is reserved from the decision to load until the unload
/// is confirmed.
class replica_table
{
public:
    using record_map = std::map<generation_number, replica_record>;

    replica_record& add(replica it);
    void remove(generation_number generation);
    void clear();

    replica_record* find(generation_number generation);
    /// The replica of `model` on `server`, in any state.
    replica_record* find(const model_id& model, const server_id& server);

    void set_state(replica_record& record, replica_state state);

    byte_count used(const server_id& server) const;
    byte_count unloading(const server_id& server) const;
    std::size_t count(const server_id& server) const;
    /// Number of loads that count towards the weight store's limits.
    std::uint32_t loads_in_flight(bool of_adapters) const;

    const std::set<generation_number>& on_server(const server_id& server) const;
    const std::set<generation_number>& of_model(const model_id& model) const;
    /// Replicas that are being loaded or unloaded.
    const std::set<generation_number>& pending() const { return m_pending; }
    /// The adapters of `base` on its server, in any state.
    std::vector<generation_number> adapters_of(const replica& base) const;

    const record_map& records() const { return m_records; }

private:
    struct usage
    {
        std::int64_t bytes = 0;
        std::set<generation_number> replicas;
    };

    record_map m_records;
    std::map<server_id, usage> m_usage;
    std::map<model_id, std::set<generation_number>> m_by_model;
    std::set<generation_number> m_pending;
};

/// Base model of an adapter, taken from its name "MODEL:ADAPTER"; none for a
/// model.
std::optional<model_id> base_of(const model_id& id);

} // namespace cicadahub::placement
