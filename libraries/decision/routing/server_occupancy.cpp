#include "decision/routing/server_occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahub::routing
{

namespace
{

using milliseconds_double = std::chrono::duration<double, std::milli>;

/// Variance of an observation at its own moment, where 1 is that of the number
/// of requests. Statements leave out requests on their way to the server; the
/// reports are a sum over moments up to a second apart.
constexpr double statement_noise = 0.01;
constexpr double report_noise = 0.2;
/// An observation that would count less than this is left out.
constexpr double negligible_weight = 0.01;

constexpr milliseconds min_backoff{3};
constexpr milliseconds max_backoff{100};
/// Pauses grow while one rejection follows another without a free slot between
/// them, since requests that began together also end together; but the longest
/// that is drawn is no longer than a request takes, and this bounds it too.
constexpr double longest_backoff_part = 2.0 / 3;
constexpr milliseconds longest_backoff{1'000};
constexpr std::uint32_t most_doublings = 8;
/// The pause after a rejection is drawn around the time in which this many
/// slots become free, since other hosts wait for them too.
constexpr double slots_awaited = 2;

/// Correlation of the number of requests now with that at the observation, if
/// the time that a request takes is distributed exponentially.
double correlation(milliseconds_double age, milliseconds_double request_time)
{
    return std::exp(-std::max(0.0, age.count()) /
                    std::max(1.0, request_time.count()));
}

/// Best linear estimate of a deviation from the mean from several observations
/// that are independent of one another.
class deviation_estimate
{
public:
    void add(double observed, double weight, double noise)
    {
        if (weight < negligible_weight)
        {
            return;
        }
        const double variance = 1 - weight * weight + noise;
        m_sum += weight * observed / variance;
        m_precision += weight * weight / variance;
    }

    double value() const { return m_sum / m_precision; }
    double variance() const { return 1 / m_precision; }

private:
    double m_sum = 0;
    /// That of the mean is 1.
    double m_precision = 1;
};

} // namespace

void server_occupancy::on_statement(const load_statement& it, std::uint32_t own,
                                    time_point now)
{
    const std::uint32_t all = it.running + it.waiting;
    m_statement = it;
    m_stated = {static_cast<double>(all - std::min(all, own)), now};
    if (it.waiting == 0 && it.running < it.slots)
    {
        m_rejections = 0;
    }
    update_mean(m_stated.elsewhere, now);
}

void server_occupancy::on_report(std::uint32_t running, time_point counted_at,
                                 time_point now)
{
    m_report = observation{static_cast<double>(running), counted_at};
    update_mean(m_report->elsewhere, now);
}

void server_occupancy::update_mean(double observed, time_point now)
{
    const double weight =
        m_mean_at ? 1 - correlation(now - *m_mean_at, mean_time) : 1;
    m_mean += weight * (observed - m_mean);
    m_mean_at = now;
}

void server_occupancy::on_rejected(time_point sent_at,
                                   milliseconds request_time, double draw,
                                   time_point now)
{
    // Requests that were sent before another one was rejected tell nothing new.
    if (sent_at < m_rejected_at)
    {
        return;
    }
    m_rejected_at = now;
    const milliseconds_double length =
        slots_awaited * milliseconds_double(request_time) /
        std::max(1.0, static_cast<double>(slots()));
    const auto first = std::clamp(length, milliseconds_double(min_backoff),
                                  milliseconds_double(max_backoff));
    const auto longest =
        std::max(first, std::min(longest_backoff_part *
                                     milliseconds_double(request_time),
                                 milliseconds_double(longest_backoff)));
    const auto limited =
        std::min(first * static_cast<double>(
                             1U << std::min(m_rejections, most_doublings)),
                 longest);
    ++m_rejections;
    constexpr double least_part = 0.5;
    m_full_until = now + std::chrono::duration_cast<monotonic_clock::duration>(
                             (least_part + draw) * limited);
}

bool server_occupancy::has_statement(time_point now) const
{
    return m_statement && now <= m_stated.at + statement_retention;
}

std::uint32_t server_occupancy::slots() const
{
    return m_statement ? m_statement->slots : 0;
}

occupancy_estimate
server_occupancy::running_elsewhere(milliseconds request_time,
                                    time_point now) const
{
    // The number varies like one with a Poisson distribution.
    const auto deviation_of = [](double running, double part)
    {
        return std::sqrt(std::max(0.0, running) * part);
    };
    if (!has_statement(now))
    {
        const double reported = m_report ? m_report->elsewhere : 0;
        return {reported, deviation_of(reported, 1)};
    }
    const milliseconds_double age = now - m_stated.at;
    deviation_estimate estimate;
    estimate.add(m_stated.elsewhere - m_mean, correlation(age, request_time),
                 statement_noise);
    const double by_statement = m_mean + estimate.value();
    double all = by_statement;
    if (m_report)
    {
        estimate.add(m_report->elsewhere - m_mean,
                     correlation(now - m_report->at, request_time),
                     report_noise);
        all = m_mean + estimate.value();
    }
    const bool was_queue_empty =
        age <= request_time && m_statement->waiting == 0;
    const double running =
        std::max(0.0, was_queue_empty ? std::min(by_statement, all) : all);
    return {running,
            deviation_of(std::max(m_mean, running), estimate.variance())};
}

milliseconds server_occupancy::time_to_try(time_point now) const
{
    return now < m_full_until
               ? std::chrono::ceil<milliseconds>(m_full_until - now)
               : milliseconds(0);
}

} // namespace cicadahub::routing
