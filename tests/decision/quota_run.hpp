#pragma once

#include "decision/quota/local_rate.hpp"
#include "decision/quota/rate_owner.hpp"
#include "simulation.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace cicadahub::quota
{

inline const organisation_id organisation("o");

/// Reference model: a single bucket that sees every spend of the fleet. At no
/// time may the fleet have spent more than this bucket would have allowed.
class reference_bucket
{
public:
    explicit reference_bucket(rate_limit limit) : m_limit(limit) {}

    /// Returns the level after the spend; below zero if too much was spent.
    double spend(token_count tokens, time_point now)
    {
        const double gained = m_limit.tokens_per_second *
                              std::chrono::duration<double>(now - m_at).count();
        m_level = std::min(static_cast<double>(m_limit.burst.value()),
                           m_level + gained);
        m_at = now;
        m_level -= static_cast<double>(tokens.value());
        return m_level;
    }

    bool would_allow(token_count tokens, time_point now)
    {
        const double gained = m_limit.tokens_per_second *
                              std::chrono::duration<double>(now - m_at).count();
        return std::min(static_cast<double>(m_limit.burst.value()),
                        m_level + gained) >=
               static_cast<double>(tokens.value());
    }

private:
    rate_limit m_limit;
    double m_level = 0;
    time_point m_at{};
};

struct quota_case
{
    const char* name;
    std::uint64_t seed;
    /// Demand as a multiple of the rate.
    double demand;
    milliseconds owner_change{0};
    /// Share of the owner changes that are planned, with the lease released.
    double planned = 0;
    /// Share of the requests that go to the first daemon; the rest is spread
    /// evenly over all daemons.
    double skew = 0;
    double lost_messages = 0;
    milliseconds outage_every{0};

    friend void PrintTo(const quota_case& it, std::ostream* out)
    {
        *out << it.name;
    }
};

/// Simulates daemons that spend one organisation's rate, and a sequence of
/// owners.
class quota_run
{
public:
    explicit quota_run(const quota_case& it)
        : simulation(it.seed), m_case(it), m_reference(limit)
    {
        m_timing.slots = 12;
        for (int n = 0; n < daemons; ++n)
        {
            m_rates.push_back(std::make_unique<local_rate>(limit, m_timing,
                                                           simulation.now()));
            m_rates.back()->hold_slot(time_point(seconds(100'000)),
                                      simulation.now());
            m_has_request_in_flight.push_back(false);
        }
        take_over(false);
        arrive();
        for (std::size_t n = 0; n < m_rates.size(); ++n)
        {
            maintain_grants(n);
        }
        if (it.owner_change.count() > 0)
        {
            schedule_change();
        }
        if (it.outage_every.count() > 0)
        {
            schedule_outage();
        }
    }

    fakes::simulation simulation;
    std::uint64_t requests = 0;
    std::uint64_t spent = 0;
    /// Requests refused although the reference bucket would have allowed them.
    std::uint64_t refused_within_rate = 0;
    double lowest_level = 0;

private:
    static constexpr int daemons = 9;
    static constexpr std::int64_t cost = 20;
    const rate_limit limit{10'000, token_count(20'000)};

    void arrive()
    {
        const double per_second =
            m_case.demand * limit.tokens_per_second / static_cast<double>(cost);
        simulation.after(
            microseconds(static_cast<std::int64_t>(
                2e6 / per_second *
                static_cast<double>(simulation.pick(0, 1'000)) / 1'000)),
            [this]
            {
                const auto n = simulation.happens(m_case.skew)
                                   ? 0
                                   : simulation.pick(0, daemons - 1);
                ++requests;
                serve(static_cast<std::size_t>(n), 2);
                arrive();
            });
    }

    void serve(std::size_t n, int retries)
    {
        if (m_rates[n]->spend(token_count(cost), simulation.now()))
        {
            ++spent;
            lowest_level =
                std::min(lowest_level, m_reference.spend(token_count(cost),
                                                         simulation.now()));
            return;
        }
        if (retries > 0)
        {
            request_grant(n, [this, n, retries] { serve(n, retries - 1); });
            return;
        }
        refused_within_rate +=
            m_reference.would_allow(token_count(cost), simulation.now());
    }

    /// Requests tokens in advance and returns grants that expire soon.
    void maintain_grants(std::size_t n)
    {
        local_rate& rate = *m_rates[n];
        if (!m_has_request_in_flight[n] &&
            (rate.is_prefetch_due(simulation.now()) ||
             rate.has_expiring_grants(simulation.now())))
        {
            m_has_request_in_flight[n] = true;
            request_grant(
                n, [this, n] { m_has_request_in_flight[n] = false; }, 0);
        }
        simulation.after(milliseconds(50), [this, n] { maintain_grants(n); });
    }

    void request_grant(std::size_t n, std::function<void()> then,
                       std::int64_t needed = cost)
    {
        const time_point asked_at = simulation.now();
        const token_count wanted =
            m_rates[n]->tokens_to_request(token_count(needed), asked_at);
        const auto returns = m_rates[n]->take_expiring_grants(asked_at);
        const bool is_lost = simulation.happens(m_case.lost_messages);
        simulation.after(
            microseconds(simulation.pick(200, 3'000)),
            [=, this]
            {
                grant it;
                const bool is_answered = m_owner && !is_lost;
                if (m_owner && m_owner->is_owner())
                {
                    it = m_owner->on_request(organisation, wanted, returns,
                                             simulation.now());
                }
                const auto delay =
                    is_answered ? microseconds(simulation.pick(200, 3'000))
                                : microseconds(100'000);
                simulation.after(delay,
                                 [=, this]
                                 {
                                     if (is_answered)
                                     {
                                         m_rates[n]->on_granted(it, asked_at);
                                     }
                                     then();
                                 });
            });
    }

    void take_over(bool may_have_grants)
    {
        m_owner = std::make_unique<rate_owner>(m_timing);
        m_owner->set_rate(organisation, limit, simulation.now());
        m_owner->on_adopted(epoch_number(++m_epoch), may_have_grants,
                            simulation.now());
    }

    void schedule_change()
    {
        const std::int64_t mean = m_case.owner_change.count();
        simulation.after(simulation.pick_ms(mean / 2, mean * 3 / 2),
                         [this]
                         {
                             const bool is_planned =
                                 simulation.happens(m_case.planned) &&
                                 m_owner->can_release(simulation.now());
                             m_owner.reset();
                             // An expired lease is taken over only after
                             // its margin.
                             const auto gap = is_planned ? milliseconds(20)
                                                         : milliseconds(7'000);
                             simulation.after(gap,
                                              [this, is_planned]
                                              {
                                                  take_over(is_planned);
                                                  schedule_change();
                                              });
                         });
    }

    void schedule_outage()
    {
        simulation.after(m_case.outage_every,
                         [this]
                         {
                             m_owner.reset();
                             simulation.after(milliseconds(120'000),
                                              [this]
                                              {
                                                  take_over(false);
                                                  schedule_outage();
                                              });
                         });
    }

    quota_case m_case;
    quota_timing m_timing;
    reference_bucket m_reference;
    std::vector<std::unique_ptr<local_rate>> m_rates;
    std::vector<bool> m_has_request_in_flight;
    std::unique_ptr<rate_owner> m_owner;
    std::uint64_t m_epoch = 0;
};

} // namespace cicadahub::quota
