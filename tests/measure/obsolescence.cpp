#include "fleet/keyed_queue.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <deque>
#include <iomanip>
#include <iostream>
#include <vector>

// Compares two send queues: a bounded FIFO queue, which blocks the sender while
// it is full, and a queue that keeps only the newest entry of each key. A
// sender publishes changes of 200 keys to eight peers; one peer is blocked for
// 10 to 90% of the time, as in the evaluation of the paper that keyed_queue.hpp
// cites. Simulated time advances in steps of one millisecond.

namespace
{

using cicadahub::fleet::keyed_queue;

constexpr int peers = 8;
constexpr int keys = 200;
constexpr int steps = 60'000;
constexpr int changes_per_step = 2;
constexpr int sends_per_step = 4;
constexpr int slow_period_steps = 1'000;
constexpr std::size_t fifo_limit = 1'000;

struct change
{
    int key;
    int changed_at;
};

struct result
{
    std::size_t longest_queue = 0;
    double slow_staleness_ms = 0;
    double other_delay_ms = 0;
};

class fifo
{
public:
    void push(const change& it) { m_queue.push_back(it); }
    bool is_full() const { return m_queue.size() >= fifo_limit; }
    std::size_t size() const { return m_queue.size(); }
    bool pop(change& it)
    {
        if (m_queue.empty())
        {
            return false;
        }
        it = m_queue.front();
        m_queue.pop_front();
        return true;
    }

private:
    std::deque<change> m_queue;
};

class by_key
{
public:
    void push(const change& it) { m_queue.push(std::to_string(it.key), it); }
    bool is_full() const { return false; }
    std::size_t size() const { return m_queue.size(); }
    bool pop(change& it)
    {
        const auto next = m_queue.pop();
        if (next)
        {
            it = next->second;
        }
        return next.has_value();
    }

private:
    keyed_queue<change> m_queue;
};

template<class Queue>
result run(int slow_percent)
{
    boost::random::mt19937_64 random(1);
    boost::random::uniform_int_distribution<int> pick(0, keys - 1);
    std::vector<Queue> queues(peers);
    std::deque<change> backlog;
    std::vector<int> newest_change(keys, 0);
    std::vector<int> newest_at_slow(keys, 0);
    result it;
    double delays = 0;
    double delivered = 0;
    double staleness = 0;
    for (int now = 0; now < steps; ++now)
    {
        for (int n = 0; n < changes_per_step; ++n)
        {
            const int key = pick(random);
            newest_change[static_cast<std::size_t>(key)] = now;
            backlog.push_back({key, now});
        }
        const auto is_any_full = [&]
        {
            for (const Queue& each : queues)
            {
                if (each.is_full())
                {
                    return true;
                }
            }
            return false;
        };
        while (!backlog.empty() && !is_any_full())
        {
            for (Queue& each : queues)
            {
                each.push(backlog.front());
            }
            backlog.pop_front();
        }
        for (int peer = 0; peer < peers; ++peer)
        {
            const bool is_slow_now =
                peer == 0 && now % slow_period_steps <
                                 slow_period_steps * slow_percent / 100;
            Queue& from = queues[static_cast<std::size_t>(peer)];
            it.longest_queue = std::max(it.longest_queue, from.size());
            change next{};
            for (int n = 0; n < sends_per_step && !is_slow_now; ++n)
            {
                if (!from.pop(next))
                {
                    break;
                }
                if (peer == 0)
                {
                    newest_at_slow[static_cast<std::size_t>(next.key)] =
                        next.changed_at;
                }
                else
                {
                    delays += now - next.changed_at;
                    ++delivered;
                }
            }
        }
        for (std::size_t key = 0; key < keys; ++key)
        {
            if (newest_change[key] > newest_at_slow[key])
            {
                staleness += now - newest_at_slow[key];
            }
        }
    }
    it.slow_staleness_ms = staleness / steps / keys;
    it.other_delay_ms = delays / delivered;
    return it;
}

void print(int percent, const char* name, const result& it)
{
    std::cout << std::setw(6) << percent << "  " << std::left << std::setw(18)
              << name << std::right << std::setw(14) << it.longest_queue
              << std::setw(20) << std::fixed << std::setprecision(1)
              << it.slow_staleness_ms << std::setw(20) << it.other_delay_ms
              << "\n";
}

} // namespace

int main()
{
    std::cout << "slowed  queue                longest    slow peer stale, ms"
                 "  others' delay, ms\n";
    for (const int percent : {10, 30, 50, 70, 90})
    {
        print(percent, "FIFO", run<fifo>(percent));
        print(percent, "one entry per key", run<by_key>(percent));
    }
    return 0;
}
