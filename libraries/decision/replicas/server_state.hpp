#pragma once

#include "decision/replicas/types.hpp"

namespace cicadahub::replicas
{

/// An order for a model that is on its way or being carried out.
struct pending_order
{
    order what;
    time_point sent_at{};
    time_point due_at{};
    bool is_accepted = false;
    /// Its answer was lost: it may be carried out now or later.
    bool is_uncertain = false;
    /// The model that an unload makes room for.
    std::optional<model_id> makes_room_for;
};

/// What the orderer knows of one server. Memory counts as used from the order
/// to load until the end of an unload is seen, whatever answers were lost.
class server_state
{
public:
    server_state(const serving::server_entry& entry, time_point now);

    /// Takes the report that was asked for at `asked_at`. Returns true if an
    /// order is seen to have ended or the models changed.
    bool on_report(const serving::server_report& report, time_point asked_at,
                   time_point now);

    /// Takes the platform's list, which tells the end of orders for models.
    /// Returns true if an order is seen to have ended.
    bool on_entry(const serving::server_entry& entry, time_point now);
    void on_order_sent(const order& it, milliseconds expected_time,
                       std::optional<model_id> makes_room_for, time_point now);
    void on_answer(const order& it, order_answer answer, time_point now);

    const server_id& id() const { return m_entry.id; }
    const serving::server_entry& entry() const { return m_entry; }
    const serving::holdings& models() const { return m_models; }
    std::uint64_t orders_accepted() const { return m_orders_accepted; }
    const std::optional<pending_order>& pending() const { return m_pending; }
    /// False until a report has said how many orders were accepted.
    bool is_confirmed() const { return m_is_confirmed; }
    /// Nothing is ordered until the server has been asked again.
    void require_report() { m_is_confirmed = false; }

    bool holds(const copy_name& copy) const;
    /// Serves the model now and is not about to drop it.
    bool serves(const model_id& model) const;
    bool is_loading(const model_id& model) const;
    bool is_usable() const { return !m_entry.is_leaving; }
    /// Takes no model order now: one is in progress or not yet answered, or
    /// the server's state is not known.
    bool is_order_blocked() const
    {
        return m_awaits_answer || m_pending || !m_is_confirmed;
    }
    bool awaits_answer() const { return m_awaits_answer; }

    /// Megabytes taken, loads that are on their way included.
    double used_megabytes(const serving::engine_spec& engine) const;
    std::uint32_t adapter_count() const;

    /// How long a load of the model takes from the nearest place.
    milliseconds load_time(const model_id& model,
                           const serving::model_spec& spec) const;
    bool has_cached_copy(const model_id& model) const;

private:
    void discard_uncertain_order();

    serving::server_entry m_entry;
    serving::holdings m_models;
    std::uint64_t m_orders_accepted = 0;
    bool m_is_confirmed = false;
    /// Last time at which an order is known to have changed the server, or may
    /// have; a report asked for soon after may still tell of the time before.
    time_point m_changed_at{};
    bool m_awaits_answer = false;
    std::optional<pending_order> m_pending;
};

} // namespace cicadahub::replicas
