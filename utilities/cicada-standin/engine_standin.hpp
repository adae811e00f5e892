#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "response_faults.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace cicadahub::standin
{

namespace net = boost::asio;

struct engine_settings
{
    std::int64_t memory_bytes = 0;
    std::int64_t slots = 8;
    bool is_fencing = true;
    microseconds prefill{2'000};
    microseconds token_gap{2'000};
    std::optional<http::endpoint> weight_store;
    /// Models loaded at start, for tests of the request path without placement.
    std::set<std::string> preloaded;
};

/// State shared by the threads of one engine.
struct engine_state
{
    explicit engine_state(engine_settings it);

    const engine_settings settings;
    const std::string boot_id;
    std::mutex mutex;
    std::map<std::string, std::int64_t> loaded;
    std::map<std::string, std::int64_t> loading;
    std::map<std::string, std::int64_t> running_by_model;
    std::set<std::string> on_disk;
    std::uint64_t fence = 0;
    std::int64_t running = 0;
    std::int64_t most_running = 0;
    std::uint64_t loads = 0;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t keys_seen = 0;
    std::uint64_t refused_by_fence = 0;
    std::int64_t most_bytes = 0;
    std::string crash_on;
    std::atomic<bool> is_silent{false};
    bool fails_loads = false;
    std::int64_t busy_answers = 0;
    response_faults faults;
};

/// Simulates a model engine with an OpenAI-style API; there is one instance for
/// each thread. `PUT /faults` sets `crash_on` (the process exits when a request
/// body contains this text), `silent` (requests hang without an answer),
/// `fail_loads` (loads fail), those of `response_faults`, and `busy` (number of
/// requests, after those with a fault of their response, that are not executed
/// but answered with 503). `GET /stats` returns counters.
class engine_standin
{
public:
    engine_standin(net::io_context& context, engine_state& state);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    net::awaitable<void> complete(const http::request& message,
                                  http::reply_writer& reply);
    /// Sends a response that names the request.
    net::awaitable<void> send(http::response it, const http::request& message,
                              http::reply_writer& reply);
    net::awaitable<void> stream(const http::request& message,
                                const std::string& model, std::int64_t tokens,
                                http::reply_writer& reply);
    net::awaitable<http::response> load(const http::request& message,
                                        std::string_view name_member);
    net::awaitable<http::response> unload(const http::request& message,
                                          std::string_view name_member);
    net::awaitable<void> fetch_weights(const std::string& model,
                                       std::int64_t bytes);
    bool has_stale_fence(const http::request& message);
    http::response report();
    http::response stats();
    http::response set_faults(const http::request& message);
    net::awaitable<void> wait(microseconds time);

    net::io_context& m_context;
    engine_state& m_state;
    http::client_pool m_pool;
};

} // namespace cicadahub::standin
