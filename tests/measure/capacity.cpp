#include "configuration/snapshot.hpp"
#include "core/digest.hpp"
#include "daemon/ledger_document.hpp"
#include "daemon/placement_document.hpp"
#include "decision/once/intent_ledger.hpp"
#include "decision/placement/placement_machine.hpp"
#include "decision/quota/rate_owner.hpp"
#include "decision/routing/routing_table.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <iostream>
#include <malloc.h>

// Prints how the processor time and memory of each role grow with its size, one
// row for each figure and size.

namespace
{

using namespace cicadahub;

/// Memory in use, without what the allocator keeps for reuse.
double allocated_mb()
{
    const struct mallinfo2 it = ::mallinfo2();
    return static_cast<double>(it.uordblks + it.hblkhd) / 1e6;
}

double microseconds_for(const std::function<void()>& work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - start)
        .count();
}

void print(const char* role, std::size_t size, const char* measure,
           double value)
{
    std::cout << std::left << std::setw(26) << role << std::right
              << std::setw(9) << size << "  " << std::left << std::setw(44)
              << measure << std::right << std::setw(12) << std::fixed
              << std::setprecision(3) << value << std::endl;
}

void measure_configuration(std::size_t adapters)
{
    const double before = allocated_mb();
    configuration::snapshot it;
    const auto apply = [&](const std::string& name, std::uint64_t version)
    {
        boost::json::object spec;
        spec["bytes"] = 4'000'000'000;
        it.apply(
            configuration::make_entry(name, object_version(version), spec));
    };
    const std::size_t models = adapters * 480 / 21'000;
    for (std::size_t n = 0; n < models; ++n)
    {
        apply("model.model-" + std::to_string(n), n + 1);
    }
    for (std::size_t n = 0; n < adapters; ++n)
    {
        apply("adapter.model-" + std::to_string(n % models) + ":adapter-" +
                  std::to_string(n),
              models + n + 1);
    }
    print("configuration", adapters, "memory of one copy, MB",
          allocated_mb() - before);
    configuration::snapshot copy;
    print("configuration", adapters, "one change: copy of the snapshot, us",
          microseconds_for([&] { copy = it; }));
}

placement::document make_document(std::size_t replicas)
{
    placement::document content;
    content.next_generation = replicas + 1;
    for (std::size_t n = 0; n < replicas; ++n)
    {
        placement::replica it;
        it.generation = generation_number(n + 1);
        it.model = model_id("model-" + std::to_string(n % 480) + ":adapter-" +
                            std::to_string(n));
        it.server = server_id("server-" + std::to_string(n));
        it.bytes = byte_count(1'000'000);
        it.state = placement::replica_state::loaded;
        content.replicas.push_back(std::move(it));
    }
    return content;
}

void measure_placement(std::size_t servers)
{
    const double before = allocated_mb();
    placement::placement_machine machine({}, {});
    std::vector<placement::server_spec> specs;
    std::vector<placement::item_spec> items;
    for (std::size_t n = 0; n < servers; ++n)
    {
        specs.push_back({server_id("server-" + std::to_string(n)),
                         byte_count(80'000'000'000), 8, true, false});
    }
    for (std::size_t n = 0; n < 480; ++n)
    {
        items.push_back({model_id("cold-" + std::to_string(n)),
                         byte_count(4'000'000'000), std::nullopt});
    }
    const placement::document content = make_document(servers);
    machine.on_items(items);
    time_point now(seconds(100));
    machine.on_servers(specs, now);
    print("placement", servers, "takeover, us",
          microseconds_for(
              [&] { machine.on_adopted(content, epoch_number(1), now); }));
    now += seconds(10);
    machine.on_committed(1, now);
    print("placement", servers, "idle tick, us",
          microseconds_for([&] { machine.on_tick(now); }));
    print("placement", servers, "wake of a cold model, us",
          microseconds_for(
              [&] {
                  machine.on_wake({1, items[0].id, now + seconds(10)}, now);
              }));
    print("placement", servers, "one server's report, us",
          microseconds_for([&] { machine.on_report(specs[0].id, {}, now); }));
    std::string text;
    print("placement", servers, "document serialised, us",
          microseconds_for(
              [&]
              { text = boost::json::serialize(daemon::to_json(content)); }));
    print("placement", servers, "document, KB",
          static_cast<double>(text.size()) / 1e3);
    print("placement", servers, "memory, MB", allocated_mb() - before);
}

void measure_quota(std::size_t organisations)
{
    const double before = allocated_mb();
    quota::rate_owner owner({});
    const time_point now{};
    for (std::size_t n = 0; n < organisations; ++n)
    {
        owner.set_rate(organisation_id(std::to_string(n)),
                       {1e6, token_count(1'000'000)}, now);
    }
    owner.on_adopted(epoch_number(1), false, now);
    constexpr int rounds = 100'000;
    const double us = microseconds_for(
        [&]
        {
            for (int n = 0; n < rounds; ++n)
            {
                const auto id = static_cast<std::size_t>(n) % organisations;
                owner.on_request(organisation_id(std::to_string(id)),
                                 token_count(1), {},
                                 now + microseconds(10 * n));
            }
        });
    print("quota", organisations, "one token request, us", us / rounds);
    print("quota", organisations, "memory, MB", allocated_mb() - before);
}

void measure_ledger(std::size_t intents)
{
    once::ledger_document content;
    for (std::size_t n = 0; n < intents; ++n)
    {
        once::intent it;
        it.request = once::fingerprint(sha256_hex(std::to_string(n)));
        it.attempt = once::attempt_id(std::to_string(n));
        it.state = once::intent_state::answered;
        it.answer =
            once::saved_answer{200, "application/json", std::string(60, 'x')};
        content.intents.emplace(once::intent_key("o/r/" + std::to_string(n)),
                                std::move(it));
    }
    std::string text;
    print("at most once", intents, "one write serialised, us",
          microseconds_for(
              [&]
              { text = boost::json::serialize(daemon::to_json(content)); }));
    print("at most once", intents, "one write, KB",
          static_cast<double>(text.size()) / 1e3);
}

void measure_routes(std::size_t servers)
{
    const double before = allocated_mb();
    routing::routing_table table;
    const double us = microseconds_for(
        [&]
        {
            for (std::size_t n = 0; n < servers; ++n)
            {
                routing::target it{server_id("server-" + std::to_string(n)),
                                   "10.0.0.1:8000", 8,
                                   std::make_shared<routing::server_load>()};
                table.servers.emplace(it.server, it);
                table.models[model_id("model-" + std::to_string(n * 3))]
                    .push_back(it);
            }
        });
    print("routes", servers, "one table built, us", us);
    print("routes", servers, "memory, MB", allocated_mb() - before);
}

} // namespace

int main()
{
    std::cout << std::left << std::setw(26) << "role" << std::right
              << std::setw(9) << "size"
              << "  " << std::left << std::setw(44) << "measure" << std::right
              << std::setw(12) << "value\n";
    for (const std::size_t size : {5'250u, 10'500u, 21'000u})
    {
        measure_configuration(size);
    }
    for (const std::size_t size : {1'750u, 3'500u, 7'000u})
    {
        measure_placement(size);
    }
    for (const std::size_t size : {100u, 1'000u, 10'000u})
    {
        measure_quota(size);
    }
    for (const std::size_t size : {1'000u, 2'000u, 4'000u})
    {
        measure_ledger(size);
    }
    for (const std::size_t size : {1'750u, 3'500u, 7'000u})
    {
        measure_routes(size);
    }
    return 0;
}
