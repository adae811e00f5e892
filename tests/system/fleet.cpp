#include "fleet.hpp"

#include "core/digest.hpp"
#include "core/errors.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <thread>

namespace cicadahub::system_tests
{

namespace
{

constexpr std::string_view api = "/apis/cicadahub.example/v1/";
constexpr milliseconds poll_pause{20};

std::string key_spec(const std::string& key, const std::string& organisation)
{
    boost::json::object spec;
    spec["organisation"] = organisation;
    spec["sha256"] = hash_of_key(key).value();
    return boost::json::serialize(spec);
}

boost::json::object parse_or_empty(const std::string& text)
{
    try
    {
        return parse_json_object(text);
    }
    catch (const malformed_document&)
    {
        return {};
    }
}

} // namespace

std::string answer::refusal() const
{
    constexpr std::string_view prefix = "urn:cicadahub:problem:";
    const boost::json::object json = parse_or_empty(body);
    const std::string type = json_reader(json).text_or("type", "");
    return type.starts_with(prefix) ? type.substr(prefix.size()) : "";
}

bool answer::is_not_run() const
{
    const boost::json::object json = parse_or_empty(body);
    return json_reader(json).boolean_or("not_run", false);
}

answer call(const std::string& address, http::verb method,
            const std::string& target, const std::string& body,
            const std::vector<std::pair<std::string, std::string>>& fields,
            milliseconds timeout)
{
    boost::asio::io_context context(1);
    http::client_pool pool(context, milliseconds(5'000), 0);
    http::request message = http::make_request(method, target, body);
    for (const auto& [name, value] : fields)
    {
        message.set(name, value);
    }
    auto result = boost::asio::co_spawn(
        context,
        http::fetch(pool, http::parse_endpoint(address), message, timeout),
        boost::asio::use_future);
    context.run();
    try
    {
        const http::response response = result.get();
        return {response.result_int(), response.body()};
    }
    catch (const boost::system::system_error&)
    {
        return {};
    }
}

std::int64_t read_stat(const std::string& address, const std::string& member)
{
    const answer it = call(address, http::verb::get, "/stats");
    return it.status == 0
               ? 0
               : json_reader(parse_json_object(it.body)).integer(member);
}

bool eventually(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point end = monotonic_clock::now() + limit;
    while (monotonic_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return condition();
}

fleet::fleet(int daemon_count, int engine_count, engine_options options)
    : m_options(std::move(options))
{
    platform = start_standin({"platform"});
    weights = start_standin({"weights", "--loads-per-second", "100",
                             "--bytes-per-second", "20000"});
    plain_service = start_standin({"service"});
    for (int n = 0; n < engine_count; ++n)
    {
        engines.push_back(start_standin(
            {"engine", "--weights", weights.address, "--memory",
             m_options.memory, "--fencing", m_options.fencing, "--token-us",
             m_options.token_us, "--slots", m_options.slots}));
        add_host("engine-" + std::to_string(n),
                 engine_spec(static_cast<std::size_t>(n)));
    }
    add_host("ledger-0", R"({"role":"service","routes":["ledger","open"],)"
                         R"("address":")" +
                             plain_service.address + "\"}");
    for (int n = 0; n < daemon_count; ++n)
    {
        add_daemon(std::string(1, static_cast<char>('a' + n)));
    }
    apply("class", "default",
          R"({"first_token_within_ms":8000,"refusals_percent":1})");
    apply("organisation", "a",
          R"({"tokens_per_second":1000000,"burst_tokens":1000000})");
    apply("key", "a", key_spec("key-of-a", "a"));
    apply("model", "m1", R"({"bytes":4000})");
    apply("model", "m2", R"({"bytes":4000})");
    apply("route", "ledger", R"({"class":"default"})");
    const std::int64_t last =
        apply("route", "open",
              R"({"class":"default","open":true,"idempotent":true})");
    EXPECT_TRUE(is_applied_everywhere("route", "open", last));
}

fleet::standin fleet::start_standin(std::vector<std::string> arguments)
{
    standin it;
    it.address = free_address();
    arguments.insert(arguments.end(), {"--listen", it.address});
    it.program =
        std::make_unique<process>("utilities/cicada-standin", arguments);
    EXPECT_TRUE(eventually(
        [&]
        { return call(it.address, http::verb::get, "/stats").status != 0; }));
    return it;
}

std::size_t fleet::add_daemon(const std::string& name)
{
    daemon it;
    it.callers = free_address();
    it.operators = free_address();
    it.settings_file = m_folder + "/" + name + ".toml";
    write_settings(it, name);
    daemons.push_back(std::move(it));
    restart_daemon(daemons.size() - 1);
    return daemons.size() - 1;
}

void fleet::write_settings(const daemon& it, const std::string& name) const
{
    std::ofstream(it.settings_file)
        << "[daemon]\nname = \"" << name << "\"\ndata_centre = \"dc-1\"\n"
        << "[listen]\ncallers = \"" << it.callers << "\"\noperators = \""
        << it.operators << "\"\nfleet = \"" << free_address() << "\"\n"
        << "[platform]\naddress = \"" << platform.address
        << "\"\ncall_timeout_ms = 500\n"
        << "[lease]\nduration_ms = 1500\nrenewal_ms = 300\nmargin_ms = 300\n"
        << "[weights]\nmodel_loads_per_second = 50.0\n"
        << "[backend]\nreport_every_ms = 100\norder_timeout_ms = 3000\n"
        << "order_lifetime_ms = 4000\ngap_limit_ms = 1500\n"
        << "[callers]\nread_timeout_ms = 500\nbody_bytes = 65536\n"
        << "header_bytes = 4096\n"
        << "[drain]\nnotice_ms = 200\n";
}

void fleet::restart_daemon(std::size_t n)
{
    daemon& it = daemons[n];
    it.program.reset();
    it.program = std::make_unique<process>(
        "services/cicadad",
        std::vector<std::string>{"--settings", it.settings_file});
    EXPECT_TRUE(eventually([&] { return is_ready(it); }))
        << it.program->output();
}

bool fleet::is_ready(const daemon& it) const
{
    return call(it.callers, http::verb::get, "/readyz").status == 200;
}

std::int64_t fleet::apply(const std::string& kind, const std::string& name,
                          const std::string& spec, std::size_t n)
{
    const answer it = call(daemons[n].operators, http::verb::put,
                           "/configuration/" + kind + "/" + name, spec);
    EXPECT_EQ(it.status, 200u) << it.body;
    return it.status == 200
               ? json_reader(parse_json_object(it.body)).integer("version")
               : 0;
}

bool fleet::is_applied_everywhere(const std::string& kind,
                                  const std::string& name, std::int64_t version)
{
    const auto has_version = [&](const daemon& it)
    {
        const answer seen = call(it.operators, http::verb::get,
                                 "/configuration/" + kind + "/" + name);
        return seen.status == 200 &&
               json_reader(parse_json_object(seen.body)).integer("version") >=
                   version;
    };
    return eventually(
        [&]
        { return std::all_of(daemons.begin(), daemons.end(), has_version); });
}

answer fleet::complete(std::size_t n, const std::string& model,
                       const std::string& key, int tokens, bool is_stream,
                       const std::string& prompt)
{
    boost::json::object body;
    body["model"] = model;
    body["prompt"] = prompt;
    body["max_tokens"] = tokens;
    body["stream"] = is_stream;
    return call(daemons[n].callers, http::verb::post, "/v1/completions",
                boost::json::serialize(body),
                {{"Authorization", "Bearer " + key}});
}

void fleet::set_fault(const standin& at, const std::string& json) const
{
    EXPECT_EQ(call(at.address, http::verb::put, "/faults", json).status, 200u);
}

void fleet::add_host(const std::string& name, const std::string& spec) const
{
    const answer it =
        call(platform.address, http::verb::post, std::string(api) + "hosts",
             R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + "}");
    EXPECT_EQ(it.status, 201u) << it.body;
}

void fleet::update_host(const std::string& name, const std::string& spec) const
{
    const std::string path = std::string(api) + "hosts/" + name;
    boost::json::object object =
        parse_json_object(call(platform.address, http::verb::get, path).body);
    object["spec"] = parse_json_object(spec);
    EXPECT_EQ(call(platform.address, http::verb::put, path,
                   boost::json::serialize(object))
                  .status,
              200u);
}

std::string fleet::holder_of(const std::string& shard, std::size_t n)
{
    const answer it = call(daemons[n].operators, http::verb::get, "/shards");
    const boost::json::object json = parse_or_empty(it.body);
    for (const auto& item : json_reader(json).array("items"))
    {
        const json_reader reader(item.as_object());
        if (reader.text("shard") == shard)
        {
            const std::string holder = reader.text("holder");
            return holder.substr(0, holder.find('.'));
        }
    }
    return "";
}

std::size_t fleet::holder_index(const std::string& shard, std::size_t n)
{
    std::string name;
    EXPECT_TRUE(eventually(
        [&]
        {
            name = holder_of(shard, n);
            return !name.empty();
        }));
    return static_cast<std::size_t>(name[0] - 'a');
}

std::int64_t fleet::engine_total(const std::string& member) const
{
    std::int64_t sum = 0;
    for (const standin& it : engines)
    {
        sum += read_stat(it.address, member);
    }
    return sum;
}

std::string fleet::engine_spec(std::size_t n, const std::string& more) const
{
    return R"({"role":"engine","memory_bytes":)" + m_options.memory +
           R"(,"slots":)" + m_options.slots + R"(,"fencing":)" +
           (m_options.fencing == "honour" ? "true" : "false") + more +
           R"(,"address":")" + engines[n].address + "\"}";
}

bool fleet::is_memory_respected() const
{
    return std::all_of(engines.begin(), engines.end(),
                       [](const standin& it)
                       {
                           return read_stat(it.address, "most_bytes") <=
                                  read_stat(it.address, "memory_bytes");
                       });
}

} // namespace cicadahub::system_tests
