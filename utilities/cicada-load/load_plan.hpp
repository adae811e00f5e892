#pragma once

#include "core/units.hpp"
#include "settings/program.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadahub::load
{

/// A load plan that is malformed or incomplete.
class plan_error : public settings::usage_error
{
public:
    using usage_error::usage_error;
};

/// A stream of similar requests of one class and organisation.
struct flow
{
    std::string name;
    std::string work_class = "default";
    std::string organisation;
    std::string key;
    std::vector<std::string> models;
    double requests_per_second = 10;
    std::int64_t max_tokens = 16;
    std::int64_t prompt_bytes = 64;
    bool is_stream = false;
};

/// A request with its send time, which is computed before the run starts.
struct scheduled_request
{
    microseconds at{0};
    std::size_t flow = 0;
    std::size_t model = 0;
};

/// Reads the flows from a TOML file; each is a table `flow.NAME`.
std::vector<flow> read_plan(const std::string& file);

/// Generates Poisson arrivals for every flow, sorted by time.
std::vector<scheduled_request> make_schedule(const std::vector<flow>& flows,
                                             seconds duration,
                                             std::uint64_t seed);

} // namespace cicadahub::load
