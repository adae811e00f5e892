#pragma once

#include "decision/replicas/types.hpp"
#include "simulation.hpp"

#include <deque>
#include <functional>

namespace cicadahub::fakes
{

/// Fake backend server of the users' platform. It accepts numbered orders, one
/// at a time, and its reports are delayed. Any order with the expected number
/// is executed; `on_overcommit` is called if the result exceeds its memory or
/// adapter slots.
class fake_engine
{
public:
    struct size
    {
        double megabytes = 100;
        double model_megabytes = 30;
        std::size_t adapter_places = 3;
    };

    fake_engine(simulation& simulation, server_id id, size capacity,
                std::function<void(const std::string&)> on_overcommit,
                std::function<void()> on_change)
        : m_simulation(simulation), m_id(std::move(id)), m_size(capacity),
          m_on_overcommit(std::move(on_overcommit)),
          m_on_change(std::move(on_change))
    {
        record_state();
    }

    replicas::order_answer receive(const replicas::order& it)
    {
        if (it.incarnation != m_incarnation)
        {
            return replicas::order_answer::refused;
        }
        if (m_is_busy || it.expected != m_orders)
        {
            return replicas::order_answer::conflict;
        }
        return it.copy.adapter ? carry_out_adapter(it) : carry_out_model(it);
    }

    /// The process crashes and restarts; the models on its disk remain.
    void crash()
    {
        ++m_incarnation;
        m_orders = 0;
        m_is_busy = false;
        m_models.clear();
        m_incoming.clear();
        m_history.clear();
        record_state();
        m_on_change();
    }

    serving::server_entry entry() const
    {
        serving::server_entry it;
        it.id = m_id;
        it.incarnation = m_incarnation;
        it.models = m_models;
        it.on_disk = m_on_disk;
        it.revision = object_version(m_revision);
        return it;
    }

    /// The state as it was `report_age` ago.
    serving::server_report report() const
    {
        const time_point at = m_simulation.now() - report_age;
        auto it = m_history.rbegin();
        while (std::next(it) != m_history.rend() && it->first > at)
        {
            ++it;
        }
        return it->second;
    }

    bool holds(const model_id& model) const { return m_models.contains(model); }
    std::uint64_t loads() const { return m_loads; }

private:
    static constexpr milliseconds report_age{200};
    static constexpr std::size_t history_limit = 64;

    void record_state()
    {
        ++m_revision;
        serving::server_report it;
        it.orders_accepted = m_orders;
        it.is_busy = m_is_busy;
        it.models = m_models;
        for (const auto& [model, adapter] : m_incoming)
        {
            it.models[model].insert(adapter);
        }
        it.on_disk = m_on_disk;
        m_history.emplace_back(m_simulation.now(), std::move(it));
        if (m_history.size() > history_limit)
        {
            m_history.pop_front();
        }
    }

    std::size_t adapter_count() const
    {
        std::size_t n = m_incoming.size();
        for (const auto& [model, adapters] : m_models)
        {
            n += adapters.size();
        }
        return n;
    }

    replicas::order_answer carry_out_adapter(const replicas::order& it)
    {
        const auto held = m_models.find(it.copy.model);
        const std::pair key{it.copy.model, *it.copy.adapter};
        if (it.kind == replicas::order_kind::unload)
        {
            if (held == m_models.end() || held->second.erase(key.second) == 0)
            {
                return replicas::order_answer::holds;
            }
            ++m_orders;
            record_state();
            return replicas::order_answer::holds;
        }
        if (held == m_models.end())
        {
            return replicas::order_answer::refused;
        }
        if (held->second.contains(key.second) || m_incoming.contains(key))
        {
            return replicas::order_answer::holds;
        }
        ++m_orders;
        m_incoming.insert(key);
        if (adapter_count() > m_size.adapter_places)
        {
            m_on_overcommit("adapters at " + m_id.value());
        }
        record_state();
        m_simulation.after(m_simulation.pick_ms(5, 12),
                           [this, key, incarnation = m_incarnation]
                           {
                               if (incarnation != m_incarnation ||
                                   m_incoming.erase(key) == 0)
                               {
                                   return;
                               }
                               const auto model = m_models.find(key.first);
                               if (model != m_models.end())
                               {
                                   model->second.insert(key.second);
                               }
                               record_state();
                           });
        return replicas::order_answer::accepted;
    }

    replicas::order_answer carry_out_model(const replicas::order& it)
    {
        const bool is_load = it.kind == replicas::order_kind::load;
        const model_id& model = it.copy.model;
        if (m_models.contains(model) == is_load)
        {
            return replicas::order_answer::holds;
        }
        const double after =
            m_size.model_megabytes * static_cast<double>(m_models.size() + 1);
        if (is_load && after > m_size.megabytes)
        {
            m_on_overcommit(model.value() + " at " + m_id.value());
        }
        ++m_orders;
        m_is_busy = true;
        m_loads += is_load ? 1 : 0;
        record_state();
        milliseconds time = m_simulation.pick_ms(0, 300);
        if (is_load)
        {
            time = m_on_disk.contains(model)
                       ? m_simulation.pick_ms(300, 900)
                       : m_simulation.pick_ms(3'000, 8'000);
        }
        m_simulation.after(time,
                           [this, model, is_load, incarnation = m_incarnation]
                           {
                               if (incarnation == m_incarnation)
                               {
                                   end_order(model, is_load);
                               }
                           });
        return replicas::order_answer::accepted;
    }

    void end_order(const model_id& model, bool is_load)
    {
        m_is_busy = false;
        if (is_load)
        {
            m_models[model];
            m_on_disk.insert(model);
        }
        else
        {
            m_models.erase(model);
            std::erase_if(m_incoming,
                          [&](const auto& it) { return it.first == model; });
        }
        record_state();
        m_on_change();
    }

    simulation& m_simulation;
    server_id m_id;
    size m_size;
    std::function<void(const std::string&)> m_on_overcommit;
    std::function<void()> m_on_change;
    std::int64_t m_incarnation = 1;
    std::uint64_t m_revision = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_loads = 0;
    bool m_is_busy = false;
    serving::holdings m_models;
    std::set<std::pair<model_id, adapter_id>> m_incoming;
    std::set<model_id> m_on_disk;
    std::deque<std::pair<time_point, serving::server_report>> m_history;
};

} // namespace cicadahub::fakes
