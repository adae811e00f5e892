#pragma once

#include "decision/reachability/server_reach.hpp"
#include "entry/requests/exchange.hpp"
#include "entry/servers/server_table.hpp"
#include "http/client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// An exchange that waits for a server to which it goes directly.
struct waiting_exchange
{
    server_table::record_pointer server;
    exchange* waiting;
    std::function<bool()> may_repeat;
    time_point began;
};

/// What shows that this host reaches a server.
enum class reach_proof
{
    /// A connection that opens. The probe keeps it for requests.
    connection,
    /// An answer, on a connection of its own: something between this host and
    /// the servers may accept connections without a server behind it.
    answer,
};

/// When the connection of an exchange was lost.
enum class connection_loss
{
    not_opened,
    before_answer,
    within_answer,
};

enum class loss_cause
{
    /// This host is cut off from all servers.
    host,
    /// The server has ended while it had the request.
    crash,
    /// Anything else, such as a reset connection or a server that was gone
    /// before.
    other,
};

/// Finds out by probes whether this host reaches backend servers, and whether a
/// server still accepts connections.
class reach_monitor
{
public:
    /// Makes the request that a probe asks a server.
    using question_maker = std::function<http::request(const server_id&)>;

    reach_monitor(net::io_context& context, http::client_pool& pool,
                  const server_table& servers, std::mt19937_64& random);

    /// `on_change` is called when the host was cut off or is no longer, and
    /// when it begins or ends to ask others whether they reach servers.
    void start(question_maker make_question, std::function<void()> on_change);

    bool is_cut_off() const { return m_reach.is_cut_off(); }
    bool asks_others() const { return m_reach.asks_others(); }

    /// Bytes arrived from a server.
    void on_contact(time_point now) { m_reach.on_contact(now); }

    /// Bytes from a server reached another host at that time.
    void on_contact_elsewhere(time_point at)
    {
        m_reach.on_contact_elsewhere(at);
    }

    /// Last bytes from a server, by which another host can tell whether all
    /// servers have ended.
    time_point last_contact() const
    {
        return std::max(m_reach.last_contact(), m_last_answer);
    }

    /// Another host asks whether this one reaches servers. Returns whether
    /// bytes from a server arrive; probes the servers unless they arrive soon.
    net::awaitable<bool> confirm_contact();

    /// Called after a connection failed; returns whether the host is cut off,
    /// after a probe unless there was such a proof since `failed_at`.
    net::awaitable<bool> examine(time_point failed_at, reach_proof needed);

    /// Called after a connection to the server was lost.
    net::awaitable<loss_cause> find_cause(http::endpoint server,
                                          connection_loss loss);

    /// True if the server accepts a new connection and keeps it open until some
    /// time after `since`, a moment that has passed. Checks of one server
    /// within a short time share one connection.
    net::awaitable<bool> is_accepting(http::endpoint server, time_point since);

private:
    friend class wait_guard;

    /// An attempt to connect to one or several servers, which several
    /// coroutines may wait for.
    struct attempt
    {
        explicit attempt(net::io_context& context) : changed(context)
        {
            changed.expires_at(std::chrono::steady_clock::time_point::max());
        }

        bool is_decided() const { return has_reached || pending == 0; }

        /// Cancelled on each change.
        net::steady_timer changed;
        std::size_t pending = 0;
        /// One of the servers gave the proof.
        bool has_reached = false;
        /// One of them refused the connection.
        bool has_refused = false;
        time_point began{};
        time_point decided_at{};
        /// A connection counts if it is still open then.
        time_point open_until{};
    };
    using attempt_pointer = std::shared_ptr<attempt>;

    net::awaitable<void> run();
    net::awaitable<void> probe(reach_proof needed);
    net::awaitable<void> wait_for_probe();
    /// Waits while other hosts may still tell whether they reach servers.
    net::awaitable<void> wait_for_others();
    bool has_proof_since(time_point moment, reach_proof needed) const;
    /// This host is cut off: ends the exchanges that wait on silent connections
    /// and may be repeated.
    void give_up_repeatable();
    /// Checks servers that have been silent for long while exchanges wait.
    void check_silent_servers(time_point now);
    /// Ends the exchanges that wait for the server if it accepts no connection.
    net::awaitable<void> check(server_table::record_pointer server);
    std::vector<server_table::record_pointer> choose_targets() const;
    void ask(const attempt_pointer& it,
             std::span<const server_table::record_pointer> servers,
             reach_proof needed);
    net::awaitable<void> connect(attempt_pointer it, http::endpoint server);
    net::awaitable<void> wait_while_open(const attempt& it,
                                         http::client_connection& connection);
    net::awaitable<void> wait_for_answer(attempt_pointer it,
                                         server_table::record_pointer server);
    static void end(const attempt_pointer& it, bool has_reached);
    static void note_refusal(attempt& it,
                             const boost::system::system_error& reason);
    static reachability::probe_result result_of(const attempt& it);
    void log_verdict(bool was_cut_off, std::size_t targets) const;
    static net::awaitable<void> wait(attempt_pointer it);

    net::io_context& m_context;
    http::client_pool& m_pool;
    const server_table& m_servers;
    std::mt19937_64& m_random;
    question_maker m_make_question;
    std::function<void()> m_on_change;
    time_point m_last_answer{};
    reachability::server_reach m_reach;
    /// Cancelled when a probe ends.
    net::steady_timer m_probe_ended;
    std::map<http::endpoint, attempt_pointer> m_checks;
    std::list<waiting_exchange> m_waiting;
};

/// Counts an exchange as waiting for its server while the guard exists, so that
/// it is ended if the server or this host turns out to be cut off.
class wait_guard
{
public:
    /// `may_repeat` tells whether the request may be executed once more.
    wait_guard(reach_monitor& monitor, server_table::record_pointer server,
               exchange& waiting, std::function<bool()> may_repeat);
    ~wait_guard();
    wait_guard(const wait_guard&) = delete;
    wait_guard& operator=(const wait_guard&) = delete;

private:
    reach_monitor& m_monitor;
    std::list<waiting_exchange>::iterator m_entry;
};

} // namespace cicadahub::entry
