#include "decision/replicas/server_state.hpp"

namespace cicadahub::replicas
{

namespace
{

/// Reports describe a server as it was a few hundred milliseconds earlier.
constexpr milliseconds report_lag{500};

} // namespace

server_state::server_state(const serving::server_entry& entry, time_point now)
    : m_entry(entry), m_models(entry.models), m_changed_at(now)
{
}

bool server_state::on_report(const serving::server_report& report,
                             time_point requested_at, time_point now)
{
    if (report.orders_accepted < m_orders_accepted)
    {
        // Outdated: it does not include an order that this daemon knows to be
        // accepted.
        return false;
    }
    m_orders_accepted = report.orders_accepted;
    m_entry.in_memory = report.in_memory;
    m_entry.on_disk = report.on_disk;
    if (m_pending && report.orders_accepted > m_pending->what.expected)
    {
        const bool is_loaded =
            report.models.contains(m_pending->what.copy.model);
        const bool should_be_loaded = m_pending->what.kind == order_kind::load;
        if (report.is_busy || (is_loaded != should_be_loaded &&
                               now < m_pending->due_at + report_lag))
        {
            return false;
        }
        m_pending.reset();
        m_models = report.models;
        m_changed_at = now;
        m_is_confirmed = true;
        return true;
    }
    // While the server carries out an order of an earlier lease holder, the
    // report does not show what that order is about to change.
    if (report.is_busy || requested_at < m_changed_at + report_lag)
    {
        return false;
    }
    discard_uncertain_order();
    m_is_confirmed = true;
    const bool has_changed = report.models != m_models;
    m_models = report.models;
    return has_changed;
}

void server_state::discard_uncertain_order()
{
    // If the order still arrives, the server accepts it only if it expects an
    // order with this number. The next order has the same number, so at most
    // one of the two is carried out.
    if (m_pending && m_pending->is_uncertain)
    {
        m_pending.reset();
    }
}

bool server_state::on_entry(const serving::server_entry& entry, time_point now)
{
    if (entry.revision == m_entry.revision)
    {
        // A server may say that it leaves before the list does.
        m_entry.is_leaving = entry.is_leaving;
        return false;
    }
    m_entry = entry;
    if (!m_pending || !m_pending->is_accepted)
    {
        return false;
    }
    // The entry may describe the server before the order, so the pending order
    // may be taken as ended too early. This is safe: the server refuses the
    // next order while this one is in progress.
    const model_id& model = m_pending->what.copy.model;
    const bool should_be_loaded = m_pending->what.kind == order_kind::load;
    if (entry.models.contains(model) != should_be_loaded)
    {
        return false;
    }
    if (should_be_loaded)
    {
        m_models[model];
    }
    else
    {
        m_models.erase(model);
    }
    m_pending.reset();
    m_changed_at = now;
    return true;
}

void server_state::on_order_sent(const order& it, milliseconds expected_time,
                                 std::optional<model_id> makes_room_for,
                                 time_point now)
{
    m_awaits_answer = true;
    if (!it.copy.adapter)
    {
        m_pending = pending_order{it,    now,   now + expected_time,
                                  false, false, std::move(makes_room_for)};
    }
}

void server_state::on_answer(const order& it, order_answer answer,
                             time_point now)
{
    m_awaits_answer = false;
    if (answer == order_answer::withheld)
    {
        // The server is as it was, and the next plan decides anew.
        if (!it.copy.adapter)
        {
            m_pending.reset();
        }
        return;
    }
    m_changed_at = now;
    const bool is_adapter_unload =
        it.copy.adapter && it.kind == order_kind::unload;
    if (answer == order_answer::accepted || answer == order_answer::holds)
    {
        // An adapter is unloaded immediately, and the server answers this in
        // the same way as an order that changed nothing. If it did change
        // nothing, the number counted here is too high: the server refuses the
        // next order, and the number is read again from a report.
        if (answer == order_answer::accepted || is_adapter_unload)
        {
            m_orders_accepted = std::max(m_orders_accepted, it.expected + 1);
        }
        if (it.copy.adapter && it.kind == order_kind::load)
        {
            m_models[it.copy.model].insert(*it.copy.adapter);
        }
        else if (it.copy.adapter)
        {
            m_models[it.copy.model].erase(*it.copy.adapter);
        }
        else if (answer == order_answer::holds)
        {
            m_pending.reset();
            m_is_confirmed = false;
        }
        else if (m_pending)
        {
            m_pending->is_accepted = true;
        }
        return;
    }
    if (answer == order_answer::unknown)
    {
        // The order may still be carried out: its memory stays counted, and
        // the next report shows whether the server accepted it.
        if (m_pending && !it.copy.adapter)
        {
            m_pending->is_uncertain = true;
        }
        m_is_confirmed = false;
        return;
    }
    if (!it.copy.adapter)
    {
        m_pending.reset();
    }
    // The known number of accepted orders is wrong; the next report has the
    // right one. With 0 here, no report is rejected as outdated.
    m_orders_accepted = 0;
    m_is_confirmed = false;
}

bool server_state::holds(const copy_name& copy) const
{
    const auto it = m_models.find(copy.model);
    if (it == m_models.end() || !serves(copy.model))
    {
        return false;
    }
    return !copy.adapter || it->second.contains(*copy.adapter);
}

bool server_state::serves(const model_id& model) const
{
    if (!m_models.contains(model))
    {
        return false;
    }
    return !m_pending || m_pending->what.copy.model != model ||
           m_pending->what.kind != order_kind::unload;
}

bool server_state::is_loading(const model_id& model) const
{
    return m_pending && m_pending->what.copy.model == model &&
           m_pending->what.kind == order_kind::load;
}

double server_state::used_megabytes(const serving::engine_spec& engine) const
{
    const auto size_of = [&](const model_id& model, std::size_t adapters)
    {
        const auto spec = engine.models.find(model);
        // The size of a model that is no longer configured is unknown; it
        // counts as the server's whole memory.
        if (spec == engine.models.end())
        {
            return engine.megabytes;
        }
        return spec->second.megabytes +
               static_cast<double>(adapters) * spec->second.adapter_megabytes;
    };
    double sum = 0;
    for (const auto& [model, adapters] : m_models)
    {
        sum += size_of(model, adapters.size());
    }
    if (m_pending && m_pending->what.kind == order_kind::load &&
        !m_models.contains(m_pending->what.copy.model))
    {
        sum += size_of(m_pending->what.copy.model, 0);
    }
    return sum;
}

std::uint32_t server_state::adapter_count() const
{
    std::size_t n = 0;
    for (const auto& [model, adapters] : m_models)
    {
        n += adapters.size();
    }
    return static_cast<std::uint32_t>(n);
}

bool server_state::has_cached_copy(const model_id& model) const
{
    return m_entry.in_memory.contains(model) || m_entry.on_disk.contains(model);
}

milliseconds server_state::load_time(const model_id& model,
                                     const serving::model_spec& spec) const
{
    if (m_entry.in_memory.contains(model))
    {
        return spec.load_from_memory;
    }
    return m_entry.on_disk.contains(model) ? spec.load_from_disk
                                           : spec.load_from_store;
}

} // namespace cicadahub::replicas
