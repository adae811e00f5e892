#include "platform_fleet.hpp"
#include "processor_quota.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace cicadahub::system_tests
{
namespace
{

namespace net = boost::asio;
constexpr auto no_throw = net::as_tuple(net::use_awaitable);

constexpr int hosts = 4;
/// Not a watcher of the store: these are the first two hosts by name.
constexpr std::size_t starved = 3;
/// configApplyMs of the deployments whose hosts have the least processor.
constexpr milliseconds apply_limit{3'000};
constexpr const char* added_prefix = "/added/";
constexpr unsigned not_found = 404;

/// Callers that each send the next request once the last one is answered, on
/// connections that they keep.
class steady_callers
{
public:
    struct answered
    {
        time_point sent_at;
        unsigned status = 0;
    };

    steady_callers(const std::string& address, int count)
        : m_address(http::parse_endpoint(address))
    {
        for (int n = 0; n < count; ++n)
        {
            net::co_spawn(m_context, call_repeatedly(n), net::detached);
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    /// Ends the calls; returns those that were answered.
    std::vector<answered> end()
    {
        m_context.stop();
        m_thread.join();
        return std::move(m_answered);
    }

private:
    net::awaitable<void> call_repeatedly(int n)
    {
        while (true)
        {
            boost::beast::tcp_stream stream(m_context);
            auto [ec] = co_await stream.async_connect(m_address, no_throw);
            for (int number = 0; !ec; ++number)
            {
                ec = co_await call_once(stream, std::to_string(n) + "-" +
                                                    std::to_string(number));
            }
            net::steady_timer pause(m_context, milliseconds(50));
            co_await pause.async_wait(no_throw);
        }
    }

    net::awaitable<boost::system::error_code>
    call_once(boost::beast::tcp_stream& stream, const std::string& id)
    {
        http::request message{http::verb::get, std::string(added_prefix) + "1",
                              11};
        message.set(http::field::host, "trust.example");
        message.set(http::field::authorization, "Bearer key-of-trust");
        message.set("Request-Id", id);
        message.set("Deadline-Ms", "8000");
        const time_point sent_at = monotonic_clock::now();
        auto [write_error, written] =
            co_await http::beast_http::async_write(stream, message, no_throw);
        if (write_error)
        {
            co_return write_error;
        }
        boost::beast::flat_buffer buf;
        http::response got;
        auto [ec, n] =
            co_await http::beast_http::async_read(stream, buf, got, no_throw);
        if (!ec)
        {
            m_answered.push_back({sent_at, got.result_int()});
        }
        co_return !ec && !got.keep_alive() ? net::error::eof : ec;
    }

    http::endpoint m_address;
    net::io_context m_context{1};
    std::vector<answered> m_answered;
    std::thread m_thread;
};

struct starvation
{
    const char* name;
    int callers;
    /// Processor time that the host gets in each period.
    std::chrono::microseconds processor_time;
};

void PrintTo(const starvation& it, std::ostream* out)
{
    *out << it.name;
}

class starved_hosts : public testing::TestWithParam<starvation>
{
protected:
    /// A configuration of some 110 KB.
    static std::vector<std::string> next_prefixes()
    {
        constexpr int count = 400;
        std::vector<std::string> prefixes{added_prefix};
        for (int n = 0; n < count; ++n)
        {
            prefixes.push_back("/more-" + std::to_string(n) + "/");
        }
        return prefixes;
    }
};

// Guards against hosts that serve by an old configuration because they have too
// little processor for the requests that they get.
TEST_P(starved_hosts, apply_a_confirmed_configuration_in_time)
{
    constexpr milliseconds quota_period{300};
    platform_fleet fleet(hosts);
    steady_callers callers(fleet.daemons[starved].callers, GetParam().callers);
    time_point due;
    {
        const processor_quota quota(*fleet.daemons[starved].program,
                                    GetParam().processor_time, quota_period);
        std::this_thread::sleep_for(seconds(4));
        fleet.write_configuration(2, {"key-of-trust"}, next_prefixes());
        due = monotonic_clock::now() + apply_limit;
        std::this_thread::sleep_for(apply_limit + seconds(5));
    }
    // With all of the processor the host answers what still waits.
    std::this_thread::sleep_for(seconds(2));
    int by_an_older_one = 0;
    int by_this_one = 0;
    for (const auto& it : callers.end())
    {
        if (it.sent_at > due)
        {
            ++(it.status == not_found ? by_an_older_one : by_this_one);
        }
    }
    EXPECT_EQ(by_an_older_one, 0);
    EXPECT_GT(by_this_one, 0);
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, starved_hosts,
    testing::Values(
        starvation{"few_callers", 400, std::chrono::microseconds(2'000)},
        starvation{"many_callers", 1'000, std::chrono::microseconds(3'000)}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
