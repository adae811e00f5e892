#pragma once

#include "platform_fleet.hpp"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace cicadahub::system_tests
{

/// Engines that are started again, as new ones, a while after they crashed.
class restarted_engines
{
public:
    static constexpr std::size_t count = 8;
    static constexpr milliseconds restart_time{1'000};
    static constexpr milliseconds poll_period{20};

    restarted_engines(platform_fleet& fleet, std::string faults)
        : m_fleet(fleet), m_faults(std::move(faults))
    {
        for (std::size_t n = 0; n < fleet.engines.size(); ++n)
        {
            fleet.set_fault(fleet.engines[n].address, m_faults);
            m_indexes.push_back(n);
        }
        for (std::size_t n = 0; n < count; ++n)
        {
            start_one();
        }
        m_thread = std::thread([this] { run(); });
    }

    ~restarted_engines()
    {
        m_is_over = true;
        m_thread.join();
    }

    restarted_engines(const restarted_engines&) = delete;
    restarted_engines& operator=(const restarted_engines&) = delete;

    std::vector<time_point> crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

    /// Number of crashes other than those of engines that were killed.
    std::size_t own_crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes.size() - m_killed_crashes;
    }

    void kill(std::size_t n)
    {
        const std::lock_guard lock(m_mutex);
        if (n >= m_indexes.size())
        {
            return;
        }
        process& engine = *m_fleet.engines[m_indexes[n]].program;
        if (!engine.has_ended())
        {
            engine.kill();
            m_killed.insert(m_indexes[n]);
        }
    }

    void kill_a_third()
    {
        for (std::size_t n = 0; n < (count + 2) / 3; ++n)
        {
            kill(n);
        }
    }

private:
    void start_one()
    {
        const std::size_t at =
            m_fleet.add_worker("engines", "c" + std::to_string(++m_started),
                               {"--megabytes", "250", "--preload", "m1"});
        m_fleet.set_fault(m_fleet.engines[at].address, m_faults);
        m_indexes.push_back(at);
    }

    void run()
    {
        std::vector<time_point> ended;
        while (!m_is_over)
        {
            std::this_thread::sleep_for(poll_period);
            const std::lock_guard lock(m_mutex);
            const time_point now = monotonic_clock::now();
            std::erase_if(m_indexes,
                          [&](std::size_t it)
                          {
                              auto& engine = m_fleet.engines[it];
                              if (!engine.program->has_ended())
                              {
                                  return false;
                              }
                              call(m_fleet.store, http::verb::delete_,
                                   "/v1/objects/servers/" + engine.id);
                              m_crashes.push_back(now);
                              m_killed_crashes += m_killed.count(it);
                              ended.push_back(now);
                              return true;
                          });
            while (!ended.empty() && ended.front() + restart_time <= now)
            {
                ended.erase(ended.begin());
                start_one();
            }
        }
    }

    platform_fleet& m_fleet;
    std::string m_faults;
    std::mutex m_mutex;
    std::vector<std::size_t> m_indexes;
    std::vector<time_point> m_crashes;
    std::set<std::size_t> m_killed;
    std::size_t m_killed_crashes = 0;
    int m_started = 0;
    std::atomic<bool> m_is_over = false;
    std::thread m_thread;
};

} // namespace cicadahub::system_tests
