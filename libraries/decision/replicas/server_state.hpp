#pragma once

#include "decision/replicas/types.hpp"

namespace cicadahub::replicas
{

/// An order for a model that was sent and is not known to have ended.
struct pending_order
{
    order what;
    time_point sent_at{};
    time_point due_at{};
    bool is_accepted = false;
    /// The answer was lost: the order may still be carried out.
    bool is_uncertain = false;
    /// For an unload, the model that is to be loaded in its place.
    std::optional<model_id> makes_room_for;
};

/// State of one server as known to the daemon that sends the orders. Memory
/// counts as used from the order to load until the unload is confirmed, even
/// when answers are lost.
class server_state
{
public:
    server_state(const serving::server_entry& entry, time_point now);

    /// Applies a report; `requested_at` is when it was requested. Returns true
    /// if it shows that an order has ended or that the models have changed.
    bool on_report(const serving::server_report& report,
                   time_point requested_at, time_point now);

    /// Applies the server's entry in the platform's list, which shows when an
    /// order for a model has ended. Returns true if one has.
    bool on_entry(const serving::server_entry& entry, time_point now);
    void on_order_sent(const order& it, milliseconds expected_time,
                       std::optional<model_id> makes_room_for, time_point now);
    void on_answer(const order& it, order_answer answer, time_point now);

    const server_id& id() const { return m_entry.id; }
    const serving::server_entry& entry() const { return m_entry; }
    const serving::holdings& models() const { return m_models; }
    std::uint64_t orders_accepted() const { return m_orders_accepted; }
    const std::optional<pending_order>& pending() const { return m_pending; }
    /// False until a report has stated how many orders the server accepted.
    bool is_confirmed() const { return m_is_confirmed; }
    /// True while the server wants nothing from this host.
    void set_paused(bool it) { m_is_paused = it; }
    /// True while the server is cold, and so slow.
    void set_cold(bool it) { m_is_cold = it; }
    bool is_cold() const { return m_is_cold; }
    /// True while operators want nothing to be sent to its data centre.
    void set_evacuated(bool it) { m_is_evacuated = it; }
    /// Blocks orders until the next report confirms the state.
    void require_report() { m_is_confirmed = false; }

    bool holds(const copy_name& copy) const;
    /// True if the model is loaded and is not being unloaded.
    bool serves(const model_id& model) const;
    bool is_loading(const model_id& model) const;
    bool is_usable() const { return !m_entry.is_leaving && !m_is_evacuated; }
    /// Region of its data centre; empty if that is not known.
    void set_region(std::optional<region_id> it) { m_region = std::move(it); }
    bool suits(const server_filter& it) const
    {
        return (!it.version || *it.version == m_entry.version) &&
               (!it.regions || (m_region && it.regions->contains(*m_region)));
    }
    /// True if no order can be sent now: one is in progress or not yet
    /// answered, the server's state is not confirmed, or the server wants
    /// nothing.
    bool is_order_blocked() const
    {
        return m_awaits_answer || m_pending || !m_is_confirmed || m_is_paused;
    }
    bool awaits_answer() const { return m_awaits_answer; }

    /// Megabytes in use, including a load in progress.
    double used_megabytes(const serving::engine_spec& engine) const;
    std::uint32_t adapter_count() const;

    /// Expected duration of a load from the fastest source that has the
    /// weights: host memory, disk or the weight store.
    milliseconds load_time(const model_id& model,
                           const serving::model_spec& spec) const;
    bool has_cached_copy(const model_id& model) const;

private:
    void discard_uncertain_order();

    serving::server_entry m_entry;
    serving::holdings m_models;
    std::uint64_t m_orders_accepted = 0;
    bool m_is_confirmed = false;
    /// Last time at which an order changed the server, or may have. A report
    /// requested soon after may still describe the earlier state.
    time_point m_changed_at{};
    bool m_awaits_answer = false;
    bool m_is_paused = false;
    bool m_is_cold = false;
    bool m_is_evacuated = false;
    std::optional<region_id> m_region;
    std::optional<pending_order> m_pending;
};

} // namespace cicadahub::replicas
