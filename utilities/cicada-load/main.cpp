#include "load_runner.hpp"

#include "settings/program.hpp"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <thread>

namespace
{

using namespace cicadahub;

/// Lets all threads start before the first scheduled request.
constexpr milliseconds start_delay{100};

load::report_map run_load(const std::vector<load::flow>& flows,
                          const std::vector<http::endpoint>& targets,
                          const std::vector<load::scheduled_request>& schedule,
                          std::size_t threads)
{
    const time_point start = monotonic_clock::now() + start_delay;
    std::vector<load::report_map> parts(threads);
    std::vector<std::thread> running;
    for (std::size_t n = 0; n < threads; ++n)
    {
        std::vector<load::scheduled_request> part;
        for (std::size_t i = n; i < schedule.size(); i += threads)
        {
            part.push_back(schedule[i]);
        }
        running.emplace_back(
            [&, n, part = std::move(part)]
            {
                boost::asio::io_context context(1);
                load::load_runner runner(context, flows, targets, start);
                boost::asio::co_spawn(context, runner.run(part),
                                      boost::asio::detached);
                context.run();
                parts[n] = runner.reports();
            });
    }
    load::report_map total;
    for (std::size_t n = 0; n < threads; ++n)
    {
        running[n].join();
        for (const auto& [name, it] : parts[n])
        {
            total[name].merge(it);
        }
    }
    return total;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "cicada-load, open-loop load generator for daemons and engines.", ' ',
        CICADAHUB_VERSION);
    line.setExceptionHandling(false);
    load::flow single_flow;
    single_flow.name = "flow";
    TCLAP::MultiArg<std::string> targets(
        "t", "target",
        "Address to send to; several are used in round-robin order.", true,
        "ADDRESS:PORT");
    TCLAP::ValueArg<std::string> plan("p", "plan", "TOML file with the flows.",
                                      false, "", "FILE");
    TCLAP::ValueArg<std::string> key("k", "key", "API key of the caller.",
                                     false, "", "KEY");
    TCLAP::MultiArg<std::string> models("m", "model", "Model to request.",
                                        false, "MODEL");
    TCLAP::ValueArg<std::string> work_class(
        "c", "class", "Work class of the requests.", false, "default", "CLASS");
    TCLAP::ValueArg<double> rate("r", "rate", "Requests per second.", false, 10,
                                 "N");
    TCLAP::ValueArg<std::int64_t> tokens(
        "n", "max-tokens", "Tokens per response.", false, 16, "N");
    TCLAP::ValueArg<std::int64_t> duration(
        "d", "duration", "Duration in seconds.", false, 10, "S");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of the schedule.",
                                        false, 1, "N");
    TCLAP::ValueArg<std::size_t> threads(
        "j", "threads", "Number of sending threads.", false, 1, "N");
    TCLAP::ValueArg<std::string> json("o", "json", "File for the JSON report.",
                                      false, "", "FILE");
    TCLAP::SwitchArg stream("e", "stream", "Request streamed responses.");
    const std::vector<TCLAP::Arg*> arguments{
        &targets, &plan,     &key,  &models,  &work_class, &rate,
        &tokens,  &duration, &seed, &threads, &json,       &stream};
    for (TCLAP::Arg* it : arguments)
    {
        line.add(it);
    }
    line.parse(argc, argv);
    std::vector<load::flow> flows;
    if (plan.isSet())
    {
        flows = load::read_plan(plan.getValue());
    }
    else
    {
        single_flow.key = key.getValue();
        single_flow.models = models.getValue();
        single_flow.work_class = work_class.getValue();
        single_flow.requests_per_second = rate.getValue();
        single_flow.max_tokens = tokens.getValue();
        single_flow.is_stream = stream.getValue();
        if (single_flow.models.empty())
        {
            throw load::plan_error("either --model or --plan is required");
        }
        flows.push_back(single_flow);
    }
    std::vector<http::endpoint> endpoints;
    for (const std::string& it : targets.getValue())
    {
        endpoints.push_back(http::parse_endpoint(it));
    }
    const auto reports =
        run_load(flows, endpoints,
                 load::make_schedule(flows, seconds(duration.getValue()),
                                     seed.getValue()),
                 threads.getValue());
    load::print(reports);
    if (json.isSet())
    {
        std::ofstream(json.getValue())
            << boost::json::serialize(load::to_json(reports)) << "\n";
    }
    return settings::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cicadahub::settings::run_program("cicada-load",
                                            [&] { return run(argc, argv); });
}
