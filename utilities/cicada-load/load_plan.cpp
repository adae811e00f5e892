#include "load_plan.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <toml++/toml.h>

#include <algorithm>

namespace cicadahub::load
{

namespace
{

flow read_flow(const std::string& name, const toml::table& table)
{
    flow it;
    it.name = name;
    it.work_class = table["class"].value_or(it.work_class);
    it.organisation = table["organisation"].value_or(it.organisation);
    it.key = table["key"].value_or(it.key);
    it.requests_per_second =
        table["requests_per_second"].value_or(it.requests_per_second);
    it.max_tokens = table["max_tokens"].value_or(it.max_tokens);
    it.prompt_bytes = table["prompt_bytes"].value_or(it.prompt_bytes);
    it.is_stream = table["stream"].value_or(it.is_stream);
    if (const toml::array* models = table["models"].as_array())
    {
        for (const toml::node& model : *models)
        {
            it.models.push_back(model.value_or(std::string()));
        }
    }
    if (it.models.empty() || it.requests_per_second <= 0)
    {
        throw plan_error("flow." + name +
                         " requires models and requests_per_second above 0");
    }
    return it;
}

} // namespace

std::vector<flow> read_plan(const std::string& file)
{
    std::vector<flow> flows;
    try
    {
        const toml::table document = toml::parse_file(file);
        if (const toml::table* tables = document["flow"].as_table())
        {
            for (const auto& [name, node] : *tables)
            {
                if (node.is_table())
                {
                    flows.push_back(
                        read_flow(std::string(name.str()), *node.as_table()));
                }
            }
        }
    }
    catch (const toml::parse_error& reason)
    {
        throw plan_error(file + ": " + std::string(reason.description()));
    }
    if (flows.empty())
    {
        throw plan_error(file + " defines no flow");
    }
    return flows;
}

std::vector<scheduled_request> make_schedule(const std::vector<flow>& flows,
                                             seconds duration,
                                             std::uint64_t seed)
{
    boost::random::mt19937_64 random(seed);
    std::vector<scheduled_request> schedule;
    const double end = static_cast<double>(duration.count());
    for (std::size_t n = 0; n < flows.size(); ++n)
    {
        boost::random::exponential_distribution<double> gap(
            flows[n].requests_per_second);
        boost::random::uniform_int_distribution<std::size_t> pick(
            0, flows[n].models.size() - 1);
        for (double at = gap(random); at < end; at += gap(random))
        {
            const microseconds time(static_cast<std::int64_t>(at * 1e6));
            schedule.push_back({time, n, pick(random)});
        }
    }
    std::sort(schedule.begin(), schedule.end(),
              [](const auto& left, const auto& right)
              { return left.at < right.at; });
    return schedule;
}

} // namespace cicadahub::load
