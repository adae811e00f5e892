#pragma once

#include "core/units.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstdlib>
#include <functional>
#include <map>

namespace cicadahub::fakes
{

/// Added to the seed of every randomised run; 0 except in `meta/soak`.
inline std::uint64_t seed_offset()
{
    const char* text = std::getenv("CICADAHUB_SEED_OFFSET");
    return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

/// A discrete-event simulation: virtual clock, event queue and the run's only
/// random generator, so that a seed reproduces the run.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : m_random(seed + seed_offset()) {}

    time_point now() const { return m_now; }
    std::uint64_t steps() const { return m_steps; }

    void after(microseconds delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    /// Runs all events up to `end` and sets the clock to `end`.
    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end)
        {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            ++m_steps;
            node.mapped()();
        }
        m_now = end;
    }

    std::int64_t pick(std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(low, high)(
            m_random);
    }

    milliseconds pick_ms(std::int64_t low, std::int64_t high)
    {
        return milliseconds(pick(low, high));
    }

    bool happens(double probability)
    {
        return boost::random::uniform_real_distribution<double>(0, 1)(
                   m_random) < probability;
    }

    boost::random::mt19937_64& random() { return m_random; }

private:
    boost::random::mt19937_64 m_random;
    time_point m_now{};
    std::uint64_t m_steps = 0;
    std::multimap<time_point, std::function<void()>> m_events;
};

} // namespace cicadahub::fakes
