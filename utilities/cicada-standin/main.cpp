#include "engine_standin.hpp"
#include "object_store_standin.hpp"
#include "platform_standin.hpp"
#include "service_standin.hpp"
#include "weight_store_standin.hpp"
#include "worker_standin.hpp"

#include "core/errors.hpp"

#include "settings/program.hpp"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <tclap/CmdLine.h>

#include <iostream>
#include <thread>

namespace
{

using namespace cicadahub;

/// Serves until SIGTERM or SIGINT.
template<class Handler>
void serve(const std::string& address, http::server_limits limits,
           std::vector<http::server_lane<Handler>> lanes)
{
    http::server<Handler> server(http::parse_endpoint(address), limits, lanes);
    boost::asio::signal_set signals(lanes.front().context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](boost::system::error_code, int)
        {
            for (const auto& lane : lanes)
            {
                lane.context.stop();
            }
        });
    server.start();
    std::cout << "listening " << http::to_string(server.local_endpoint())
              << std::endl;
    std::vector<std::thread> threads;
    threads.reserve(lanes.size());
    for (const auto& lane : lanes)
    {
        threads.emplace_back(
            [&context = lane.context]
            {
                const auto work = boost::asio::make_work_guard(context);
                context.run();
            });
    }
    for (std::thread& it : threads)
    {
        it.join();
    }
}

template<class Handler, class... Arguments>
void serve_on_one_thread(const std::string& address, Arguments... arguments)
{
    boost::asio::io_context context(1);
    Handler handler(context, arguments...);
    http::server_limits limits;
    limits.body_bytes = 64 * 1024 * 1024;
    limits.idle_timeout = milliseconds(3'600'000);
    serve<Handler>(address, limits, {{context, handler}});
}

void serve_engine(const std::string& address,
                  const standin::engine_settings& settings, int threads)
{
    standin::engine_state state(settings);
    std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
    std::vector<std::unique_ptr<standin::engine_standin>> engines;
    std::vector<http::server_lane<standin::engine_standin>> lanes;
    for (int n = 0; n < threads; ++n)
    {
        contexts.push_back(std::make_unique<boost::asio::io_context>(1));
        engines.push_back(
            std::make_unique<standin::engine_standin>(*contexts.back(), state));
        lanes.push_back({*contexts.back(), *engines.back()});
    }
    http::server_limits limits;
    limits.idle_timeout = milliseconds(3'600'000);
    serve<standin::engine_standin>(address, limits, lanes);
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("cicada-standin, simulators of the systems around "
                        "cicadahub, for tests.",
                        ' ', CICADAHUB_VERSION);
    line.setExceptionHandling(false);
    std::vector<std::string> roles{"platform", "weights", "engine",
                                   "service",  "objects", "worker"};
    TCLAP::ValuesConstraint<std::string> is_role(roles);
    TCLAP::UnlabeledValueArg<std::string> role("role", "System to simulate.",
                                               true, "", &is_role);
    TCLAP::ValueArg<std::string> listen(
        "l", "listen", "Address to listen on; port 0 selects a free port.",
        false, "127.0.0.1:0", "ADDRESS:PORT");
    TCLAP::ValueArg<std::int64_t> memory("", "memory",
                                         "Engine: memory in bytes.", false,
                                         16'000'000'000, "BYTES");
    TCLAP::ValueArg<std::int64_t> slots(
        "", "slots", "Engine: concurrent requests at full speed.", false, 8,
        "N");
    TCLAP::ValueArg<std::string> fencing(
        "", "fencing", "Engine: honour or ignore fencing tokens.", false,
        "honour", "honour|ignore");
    TCLAP::ValueArg<std::int64_t> prefill(
        "", "prefill-us", "Engine: time to the first token in microseconds.",
        false, 2'000, "US");
    TCLAP::ValueArg<std::int64_t> token_gap(
        "", "token-us", "Engine: time between tokens in microseconds.", false,
        2'000, "US");
    TCLAP::ValueArg<std::string> weights("", "weights",
                                         "Engine: address of the weight store.",
                                         false, "", "ADDRESS:PORT");
    TCLAP::ValueArg<int> threads("", "threads", "Engine: number of threads.",
                                 false, 1, "N");
    TCLAP::MultiArg<std::string> preloaded(
        "", "preload", "Engine, worker: a model loaded at start.", false,
        "MODEL");
    TCLAP::ValueArg<double> rate("", "loads-per-second",
                                 "Weight store: transfer starts per second.",
                                 false, 3, "N");
    TCLAP::ValueArg<std::int64_t> full_speed(
        "", "full-speed-loads",
        "Weight store: concurrent transfers at full speed.", false, 4, "N");
    TCLAP::ValueArg<double> bandwidth(
        "", "bytes-per-second", "Weight store: bandwidth of one transfer.",
        false, 1e9, "BYTES");
    TCLAP::ValueArg<std::string> store("", "store",
                                       "Worker: address of the metadata store.",
                                       false, "", "ADDRESS:PORT");
    TCLAP::ValueArg<std::string> id("", "id", "Worker: its id.", false,
                                    "worker", "ID");
    TCLAP::ValueArg<std::string> service("", "service",
                                         "Worker: the service it belongs to.",
                                         false, "engines", "NAME");
    TCLAP::ValueArg<std::int64_t> megabytes(
        "", "megabytes", "Worker: memory for weights; 0 for a plain service.",
        false, 0, "MB");
    TCLAP::ValueArg<std::string> version("", "software-version",
                                         "Worker: version of its software.",
                                         false, "v1", "VERSION");
    TCLAP::ValueArg<std::string> zone("", "zone", "Worker: its data centre.",
                                      false, "dc-1", "NAME");
    const std::vector<TCLAP::Arg*> arguments{
        &zone,    &bandwidth, &full_speed, &rate,    &preloaded, &threads,
        &weights, &token_gap, &prefill,    &fencing, &slots,     &memory,
        &listen,  &store,     &id,         &service, &megabytes, &version};
    for (TCLAP::Arg* it : arguments)
    {
        line.add(it);
    }
    line.add(role);
    line.parse(argc, argv);
    if (role.getValue() == "platform")
    {
        serve_on_one_thread<standin::platform_standin>(listen.getValue());
    }
    else if (role.getValue() == "weights")
    {
        serve_on_one_thread<standin::weight_store_standin>(
            listen.getValue(),
            standin::weight_store_settings{
                rate.getValue(), full_speed.getValue(), bandwidth.getValue()});
    }
    else if (role.getValue() == "service")
    {
        serve_on_one_thread<standin::service_standin>(listen.getValue());
    }
    else if (role.getValue() == "objects")
    {
        serve_on_one_thread<standin::object_store_standin>(listen.getValue());
    }
    else if (role.getValue() == "worker")
    {
        standin::worker_settings settings;
        settings.id = id.getValue();
        settings.service = service.getValue();
        settings.data_centre = zone.getValue();
        settings.address = listen.getValue();
        settings.store = http::parse_endpoint(store.getValue());
        settings.slots = slots.getValue();
        settings.megabytes = megabytes.getValue();
        settings.software_version = version.getValue();
        settings.models.insert(preloaded.getValue().begin(),
                               preloaded.getValue().end());
        serve_on_one_thread<standin::worker_standin>(listen.getValue(),
                                                     settings);
    }
    else
    {
        standin::engine_settings settings;
        settings.memory_bytes = memory.getValue();
        settings.slots = slots.getValue();
        settings.is_fencing = fencing.getValue() == "honour";
        settings.prefill = microseconds(prefill.getValue());
        settings.token_gap = microseconds(token_gap.getValue());
        if (!weights.getValue().empty())
        {
            settings.weight_store = http::parse_endpoint(weights.getValue());
        }
        settings.preloaded.insert(preloaded.getValue().begin(),
                                  preloaded.getValue().end());
        serve_engine(listen.getValue(), settings, threads.getValue());
    }
    return settings::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cicadahub::settings::run_program("cicada-standin",
                                            [&] { return run(argc, argv); });
}
