#include "load_report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace cicadahub::load
{

namespace
{

constexpr std::array percents{50.0, 90.0, 99.0, 99.9};
constexpr double us_per_ms = 1000;

void print_times(const std::string& name, const time_samples& it)
{
    std::cout << "  " << std::left << std::setw(14) << name << std::right
              << std::fixed << std::setprecision(3);
    for (const double percent : percents)
    {
        std::cout << std::setw(12) << it.percentile(percent);
    }
    std::cout << "\n";
}

std::string percent_name(double percent)
{
    return percent == std::floor(percent)
               ? "p" + std::to_string(static_cast<int>(percent))
               : "p99.9";
}

} // namespace

void time_samples::merge(const time_samples& other)
{
    m_samples.insert(m_samples.end(), other.m_samples.begin(),
                     other.m_samples.end());
}

double time_samples::percentile(double percent) const
{
    if (m_samples.empty())
    {
        return 0;
    }
    std::vector<std::int64_t> sorted = m_samples;
    const double last = static_cast<double>(sorted.size() - 1);
    const auto rank =
        static_cast<std::ptrdiff_t>(std::ceil(last * percent / 100));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return static_cast<double>(sorted[static_cast<std::size_t>(rank)]) /
           us_per_ms;
}

boost::json::object time_samples::to_json() const
{
    boost::json::object json;
    for (const double percent : percents)
    {
        json[percent_name(percent) + "_ms"] = percentile(percent);
    }
    json["count"] = m_samples.size();
    return json;
}

void flow_report::merge(const flow_report& other)
{
    work_class = other.work_class;
    organisation = other.organisation;
    sent += other.sent;
    answered += other.answered;
    failed += other.failed;
    for (const auto& [reason, n] : other.refused)
    {
        refused[reason] += n;
    }
    first_token.merge(other.first_token);
    token_gap.merge(other.token_gap);
    total_time.merge(other.total_time);
}

boost::json::object to_json(const report_map& reports)
{
    boost::json::object json;
    for (const auto& [name, it] : reports)
    {
        boost::json::object refused;
        for (const auto& [reason, n] : it.refused)
        {
            refused[reason] = n;
        }
        json[name] = {{"class", it.work_class},
                      {"organisation", it.organisation},
                      {"sent", it.sent},
                      {"answered", it.answered},
                      {"failed", it.failed},
                      {"refused", std::move(refused)},
                      {"first_token", it.first_token.to_json()},
                      {"token_gap", it.token_gap.to_json()},
                      {"whole", it.total_time.to_json()}};
    }
    return json;
}

void print(const report_map& reports)
{
    for (const auto& [name, it] : reports)
    {
        std::cout << name << " (class " << it.work_class << ", organisation "
                  << it.organisation << "): sent " << it.sent << ", answered "
                  << it.answered << ", failed " << it.failed << "\n";
        for (const auto& [reason, n] : it.refused)
        {
            std::cout << "  refused " << reason << ": " << n << "\n";
        }
        std::cout << "  " << std::left << std::setw(14) << "ms" << std::right;
        for (const double percent : percents)
        {
            std::cout << std::setw(12) << percent_name(percent);
        }
        std::cout << "\n";
        print_times("first token", it.first_token);
        print_times("token gap", it.token_gap);
        print_times("whole answer", it.total_time);
    }
}

} // namespace cicadahub::load
