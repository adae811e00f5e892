#pragma once

#include "core/units.hpp"
#include "process.hpp"

#include <atomic>
#include <thread>

namespace cicadahub::system_tests
{

/// Stops a process for the rest of each period once it has used an amount of
/// processor time in it, as a quota of a machine does.
class processor_quota
{
public:
    processor_quota(const process& it, std::chrono::microseconds amount,
                    milliseconds period)
        : m_process(it), m_amount(amount), m_period(period),
          m_thread([this] { run(); })
    {
    }
    ~processor_quota()
    {
        m_is_ended = true;
        m_thread.join();
    }
    processor_quota(const processor_quota&) = delete;
    processor_quota& operator=(const processor_quota&) = delete;

private:
    static constexpr std::chrono::microseconds check_period{100};

    void run()
    {
        while (!m_is_ended)
        {
            const time_point end = monotonic_clock::now() + m_period;
            const auto limit = m_process.processor_time() + m_amount;
            m_process.resume();
            while (monotonic_clock::now() < end &&
                   m_process.processor_time() < limit)
            {
                std::this_thread::sleep_for(check_period);
            }
            m_process.pause();
            std::this_thread::sleep_for(end - monotonic_clock::now());
        }
        m_process.resume();
    }

    const process& m_process;
    std::chrono::microseconds m_amount;
    milliseconds m_period;
    std::atomic<bool> m_is_ended{false};
    std::thread m_thread;
};

} // namespace cicadahub::system_tests
