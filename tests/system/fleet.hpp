#pragma once

#include "core/json_reader.hpp"
#include "http/client.hpp"
#include "process.hpp"

#include <boost/json.hpp>

#include <functional>
#include <memory>

namespace cicadahub::system_tests
{

/// The parts of a response that tests check.
struct answer
{
    unsigned status = 0;
    std::string body;

    /// Refusal name from the problem type; empty if the body has none.
    std::string refusal() const;
    bool is_not_run() const;
};

/// Makes one HTTP call on a new connection; the status is 0 if the connection
/// failed or timed out.
answer call(const std::string& address, http::verb method,
            const std::string& target, const std::string& body = {},
            const std::vector<std::pair<std::string, std::string>>& fields = {},
            milliseconds timeout = milliseconds(30'000));

/// Reads a counter from `GET /stats` of a simulator; 0 if it cannot be reached.
std::int64_t read_stat(const std::string& address, const std::string& member);

/// Polls until the condition holds; returns false if it does not within the
/// time limit.
bool eventually(const std::function<bool()>& condition,
                milliseconds limit = milliseconds(20'000));

struct engine_options
{
    std::string fencing = "honour";
    std::string memory = "16000";
    std::string token_us = "1000";
    std::string slots = "8";
};

/// Runs daemons and the simulated systems around them as processes on
/// loopback.
class fleet
{
public:
    struct daemon
    {
        std::unique_ptr<process> program;
        std::string callers;
        std::string operators;
        std::string settings_file;
    };

    struct standin
    {
        std::unique_ptr<process> program;
        std::string address;
    };

    explicit fleet(int daemon_count, int engines = 2,
                   engine_options options = {});

    /// Starts another daemon and waits until it is ready; returns its index.
    std::size_t add_daemon(const std::string& name);
    void restart_daemon(std::size_t n);

    /// Applies a configuration object through daemon `n`; returns its version.
    std::int64_t apply(const std::string& kind, const std::string& name,
                       const std::string& spec, std::size_t n = 0);

    /// Waits until every daemon serves this version of the object or a newer
    /// one.
    bool is_applied_everywhere(const std::string& kind, const std::string& name,
                               std::int64_t version);

    answer complete(std::size_t n, const std::string& model,
                    const std::string& key = "key-of-a", int tokens = 2,
                    bool is_stream = false, const std::string& prompt = "p");

    void set_fault(const standin& at, const std::string& json) const;
    void add_host(const std::string& name, const std::string& spec) const;
    void update_host(const std::string& name, const std::string& spec) const;

    /// Name of the daemon that holds the shard's lease according to daemon `n`;
    /// empty if that is unknown.
    std::string holder_of(const std::string& shard, std::size_t n);
    /// Index of the daemon that holds the shard's lease according to daemon
    /// `n`; waits until there is a holder.
    std::size_t holder_index(const std::string& shard, std::size_t n);

    std::int64_t engine_total(const std::string& member) const;
    std::string engine_spec(std::size_t n, const std::string& more = "") const;
    bool is_memory_respected() const;

    standin platform;
    standin weights;
    standin plain_service;
    std::vector<standin> engines;
    std::vector<daemon> daemons;

private:
    static standin start_standin(std::vector<std::string> arguments);
    void write_settings(const daemon& it, const std::string& name) const;
    bool is_ready(const daemon& it) const;

    engine_options m_options;
    std::string m_folder = make_folder();
};

} // namespace cicadahub::system_tests
