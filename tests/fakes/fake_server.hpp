#pragma once

#include "decision/placement/types.hpp"
#include "simulation.hpp"

namespace cicadahub::fakes
{

/// Simulates the memory of a backend server, without requests. It rejects
/// orders with a stale fencing token only if its specification says so.
class fake_server
{
public:
    using reply = std::function<void(placement::order_result)>;
    /// Called when a load begins, to check that the load is allowed.
    using load_check = std::function<void(const placement::replica&)>;

    fake_server(simulation& simulation, placement::server_spec spec,
                load_check on_load)
        : m_simulation(simulation), m_spec(std::move(spec)),
          m_on_load(std::move(on_load))
    {
    }

    void receive(const placement::order_action& order, reply answer)
    {
        if (m_spec.is_fencing && order.fence < m_fence)
        {
            answer(placement::order_result::refused_by_fence);
            return;
        }
        m_fence = std::max(m_fence, order.fence);
        if (order.kind == placement::order_kind::load)
        {
            load(order.target, std::move(answer));
        }
        else
        {
            unload(order.target.model, std::move(answer));
        }
    }

    /// The server process crashes and restarts with empty memory.
    void crash()
    {
        ++m_boot;
        m_loaded.clear();
        m_loading.clear();
    }

    placement::server_report report() const
    {
        placement::server_report it;
        for (const auto& [model, bytes] : m_loaded)
        {
            it.loaded.insert(model);
        }
        for (const auto& [model, bytes] : m_loading)
        {
            it.loading.insert(model);
        }
        return it;
    }

    std::int64_t used() const
    {
        std::int64_t bytes = 0;
        for (const auto* from : {&m_loaded, &m_loading})
        {
            for (const auto& [model, it] : *from)
            {
                bytes += it;
            }
        }
        return bytes;
    }

    const placement::server_spec& spec() const { return m_spec; }
    std::size_t loading_count() const { return m_loading.size(); }
    std::uint64_t loads() const { return m_loads; }

    double failure_rate = 0;
    std::int64_t load_ms_low = 100;
    std::int64_t load_ms_high = 900;

private:
    void load(const placement::replica& it, reply answer)
    {
        if (m_loaded.contains(it.model))
        {
            answer(placement::order_result::done);
            return;
        }
        if (m_simulation.happens(failure_rate))
        {
            answer(placement::order_result::failed);
            return;
        }
        if (m_loading.emplace(it.model, it.bytes.value()).second)
        {
            m_on_load(it);
            ++m_loads;
        }
        const auto time = m_simulation.pick_ms(load_ms_low, load_ms_high);
        m_simulation.after(time,
                           [this, it, answer, boot = m_boot]
                           {
                               if (boot != m_boot)
                               {
                                   return;
                               }
                               const auto at = m_loading.find(it.model);
                               if (at != m_loading.end())
                               {
                                   m_loaded.insert(m_loading.extract(at));
                               }
                               answer(m_loaded.contains(it.model)
                                          ? placement::order_result::done
                                          : placement::order_result::failed);
                           });
    }

    void unload(const model_id& model, reply answer)
    {
        m_loaded.erase(model);
        m_loading.erase(model);
        answer(placement::order_result::done);
    }

    simulation& m_simulation;
    placement::server_spec m_spec;
    load_check m_on_load;
    epoch_number m_fence;
    std::uint64_t m_boot = 0;
    std::uint64_t m_loads = 0;
    std::map<model_id, std::int64_t> m_loaded;
    std::map<model_id, std::int64_t> m_loading;
};

} // namespace cicadahub::fakes
