#include "platform_fleet.hpp"

#include <boost/asio/connect.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

namespace net = boost::asio;
namespace beast = boost::beast;

constexpr int hosts = 3;
constexpr std::size_t callers_per_host = 6;
constexpr milliseconds calm_time{700};
constexpr int grace_ms = 8'000;
constexpr unsigned served = 200;
constexpr unsigned refused = 503;

struct stop_case
{
    const char* name;
    /// Hosts that are stopped at the same moment.
    std::size_t stopped;
    /// How long the servers work on a request.
    int work_ms;
    /// Time between the first requests of two callers.
    milliseconds stagger{0};
    /// The servers name a limit, so that most requests are relayed.
    bool is_limited = false;
};

void PrintTo(const stop_case& it, std::ostream* out)
{
    *out << it.name;
}

/// Requests by their id, with the status of the answer; 0 if there was none.
class answer_book
{
public:
    void add(const std::string& id, unsigned status)
    {
        const std::lock_guard lock(m_mutex);
        m_statuses[id] = status;
    }

    const std::map<std::string, unsigned>& statuses() const
    {
        return m_statuses;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_statuses;
};

/// Sends requests that may run once, one after the other, on connections that
/// it keeps as long as the host does, until the host accepts none.
class keeping_caller
{
public:
    keeping_caller(std::string address, std::string name, answer_book& book)
        : m_address(std::move(address)), m_name(std::move(name)), m_book(book)
    {
    }

    void run()
    {
        while (connect())
        {
            while (send_next())
            {
            }
        }
    }

private:
    bool connect()
    {
        m_socket = net::ip::tcp::socket(m_context);
        const http::endpoint to = http::parse_endpoint(m_address);
        beast::error_code ec;
        m_socket.connect(to, ec);
        return !ec;
    }

    /// False if the connection has ended.
    bool send_next()
    {
        const std::string id = m_name + "-" + std::to_string(m_sent++);
        beast::http::request<beast::http::string_body> message{
            beast::http::verb::post, "/post/1", 11};
        message.set("Host", "trust.example");
        message.set("Request-Id", id);
        message.set("Authorization", "Bearer key-of-trust");
        message.set("Deadline-Ms", "7000");
        message.body() = "entry " + id;
        message.prepare_payload();
        beast::error_code ec;
        beast::http::write(m_socket, message, ec);
        beast::flat_buffer buf;
        beast::http::response<beast::http::string_body> got;
        if (!ec)
        {
            beast::http::read(m_socket, buf, got, ec);
        }
        m_book.add(id, ec ? 0 : got.result_int());
        return !ec && got.keep_alive();
    }

    std::string m_address;
    std::string m_name;
    answer_book& m_book;
    std::size_t m_sent = 0;
    net::io_context m_context;
    net::ip::tcp::socket m_socket{m_context};
};

class stopping_hosts : public testing::TestWithParam<stop_case>
{
};

// Guards against requests that a host takes late in its stop and cuts at the
// end, among them some that may not be repeated.
TEST_P(stopping_hosts, answer_what_they_have_passed_on)
{
    const stop_case& it = GetParam();
    platform_fleet fleet(hosts);
    for (const auto& server : fleet.services)
    {
        fleet.set_fault(server.address,
                        R"({"plain_ms":)" + std::to_string(it.work_ms) + "}");
        if (it.is_limited)
        {
            fleet.set_fault(server.address, R"({"limit":"4"})");
        }
    }
    answer_book book;
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < it.stopped * callers_per_host; ++n)
    {
        callers.emplace_back(
            [&, n]
            {
                std::this_thread::sleep_for(it.stagger * n);
                keeping_caller(fleet.daemons[n % it.stopped].callers,
                               "c" + std::to_string(n), book)
                    .run();
            });
    }
    std::this_thread::sleep_for(calm_time);
    for (std::size_t n = 0; n < it.stopped; ++n)
    {
        fleet.daemons[n].program->signal(SIGTERM);
    }
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    const auto runs = fleet.count_runs();
    std::size_t answered = 0;
    std::size_t cut = 0;
    for (const auto& [id, status] : book.statuses())
    {
        const auto known = runs.find(id);
        const std::int64_t n = known == runs.end() ? 0 : known->second;
        EXPECT_LE(n, 1) << id;
        EXPECT_TRUE(status != refused || n == 0) << id;
        answered += status == served ? 1 : 0;
        cut += status == 0 && n > 0 ? 1 : 0;
    }
    EXPECT_EQ(cut, 0U);
    EXPECT_EQ(answered > 0, it.work_ms < grace_ms);
    std::cout << answered << " of " << book.statuses().size() << " served\n";
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, stopping_hosts,
    testing::Values(stop_case{"short_work", 1, 200},
                    stop_case{"long_work", 1, 2'500},
                    stop_case{"work_that_outlasts_the_grace", 1, 12'000,
                              milliseconds(400)},
                    stop_case{"several_at_once", 2, 1'000},
                    stop_case{"relayed", 2, 300, milliseconds(0), true}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
