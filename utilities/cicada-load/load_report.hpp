#pragma once

#include "core/units.hpp"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace cicadahub::load
{

/// Samples of one latency metric. All of them are kept, so that percentiles are
/// exact.
class time_samples
{
public:
    void add(microseconds it) { m_samples.push_back(it.count()); }
    void merge(const time_samples& other);
    /// In milliseconds; 0 if there is no sample.
    double percentile(double percent) const;
    boost::json::object to_json() const;

private:
    std::vector<std::int64_t> m_samples;
};

/// Results of one flow.
struct flow_report
{
    std::string work_class;
    std::string organisation;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Failed connections and interrupted responses.
    std::uint64_t failed = 0;
    std::map<std::string, std::uint64_t> refused;
    time_samples first_token;
    time_samples token_gap;
    time_samples total_time;

    void merge(const flow_report& other);
};

using report_map = std::map<std::string, flow_report>;

boost::json::object to_json(const report_map& reports);
void print(const report_map& reports);

} // namespace cicadahub::load
