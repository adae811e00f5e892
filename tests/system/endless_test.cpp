#include "platform_fleet.hpp"

#include "core/refusal.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

namespace net = boost::asio;

constexpr std::size_t megabyte = 1024 * 1024;
/// A host has 160 MB. A quarter is left for bytes that the system has received
/// or not sent yet, which count too but are not resident memory of the process.
constexpr std::size_t most_resident_bytes = 120 * megabyte;
constexpr std::size_t concurrent_requests = 40;
/// The requests have 8 s (streams) or 3 s (calls).
constexpr milliseconds most_waiting{2'500};

struct endless_case
{
    const char* name;
    const char* place;
    bool is_stream;
};

void PrintTo(const endless_case& it, std::ostream* out)
{
    *out << it.name;
}

/// Callers that send a request and then read nothing.
class silent_callers
{
public:
    void add(const std::string& address, const std::string& request)
    {
        net::ip::tcp::socket& it = m_sockets.emplace_back(m_context);
        it.connect(http::parse_endpoint(address));
        net::write(it, net::buffer(request));
    }

private:
    net::io_context m_context;
    std::vector<net::ip::tcp::socket> m_sockets;
};

class endless_answers : public testing::TestWithParam<endless_case>
{
protected:
    endless_answers()
    {
        m_fleet.add_worker(
            "engines", "e3",
            {"--megabytes", "250", "--preload", "m1", "--slots", "64"});
        m_fleet.add_worker("ledger", "l3", {"--slots", "64"});
        EXPECT_TRUE(eventually(
            [&] { return m_fleet.stream(0, "warm", "m1").status == 200; }));
        EXPECT_TRUE(eventually([&] { return read(0).status == 200; }));
    }

    answer read(std::size_t n) const
    {
        return m_fleet.plain(0, "read-" + std::to_string(n), http::verb::get,
                             "/read/1");
    }

    answer request(std::size_t n) const
    {
        return GetParam().is_stream
                   ? m_fleet.stream(0, "stream-" + std::to_string(n), "m1",
                                    "key-of-trust", "/once/x")
                   : m_fleet.plain(0, "call-" + std::to_string(n),
                                   http::verb::post, "/post/1");
    }

    /// A request of the other kind, whose servers have no fault.
    answer other_request() const
    {
        return GetParam().is_stream ? read(0)
                                    : m_fleet.stream(0, "other", "m1");
    }

    const std::vector<platform_fleet::worker>& servers() const
    {
        return GetParam().is_stream ? m_fleet.engines : m_fleet.services;
    }

    std::int64_t total(const std::string& member) const
    {
        std::int64_t sum = 0;
        for (const auto& it : servers())
        {
            sum += read_stat(it.address, member);
        }
        return sum;
    }

    void begin_fault() const
    {
        for (const auto& it : servers())
        {
            m_fleet.set_fault(it.address, std::string(R"({"endless":")") +
                                              GetParam().place + "\"}");
        }
    }

    void expect_bounded_memory_with_silent_callers() const
    {
        begin_fault();
        silent_callers callers;
        for (std::size_t n = 0; n < concurrent_requests; ++n)
        {
            const std::string id = "silent-" + std::to_string(n);
            std::string head =
                GetParam().is_stream
                    ? "POST /once/x HTTP/1.1\r\nModel: m1\r\nToken-Count: "
                      "20,16\r\nPrompt-Prefix: aa:10,bb:10\r\n"
                      "Deadline-Ms: 8000\r\n"
                    : "POST /post/1 HTTP/1.1\r\nDeadline-Ms: 3000\r\n";
            head += "Host: trust.example\r\nRequest-Id: " + id +
                    "\r\nAuthorization: Bearer key-of-trust\r\n"
                    "Content-Length: 0\r\n\r\n";
            callers.add(m_fleet.daemons[0].callers, head);
        }
        std::this_thread::sleep_for(most_waiting);
        EXPECT_GT(total("endless_bytes"), 0);
        EXPECT_EQ(other_request().status, 200U);
        EXPECT_LT(m_fleet.daemons[0].program->peak_memory_bytes(),
                  most_resident_bytes);
    }

    platform_fleet m_fleet{1};
};

// Guards against a process killed for its memory, and against callers and
// servers kept until the deadline, because of responses that never end.
TEST_P(endless_answers, fail_at_once_and_leave_memory_bounded)
{
    begin_fault();
    const std::int64_t runs_before = total("runs");
    std::vector<std::future<std::pair<answer, monotonic_clock::duration>>> seen;
    for (std::size_t n = 0; n < concurrent_requests; ++n)
    {
        seen.push_back(std::async(
            std::launch::async,
            [this, n]
            {
                const auto at = monotonic_clock::now();
                answer it = request(n);
                return std::pair(std::move(it), monotonic_clock::now() - at);
            }));
    }
    EXPECT_EQ(other_request().status, 200U);
    std::int64_t promises = 0;
    for (auto& it : seen)
    {
        const auto [got, took] = it.get();
        EXPECT_NE(got.status, 200U);
        EXPECT_LT(took, most_waiting) << got.status;
        promises += promises_not_run(got.status) ? 1 : 0;
    }
    const std::int64_t runs = total("runs") - runs_before;
    EXPECT_GT(runs, 0);
    EXPECT_LE(promises, static_cast<std::int64_t>(concurrent_requests) - runs);
    EXPECT_EQ(other_request().status, 200U);
    EXPECT_TRUE(
        eventually([&] { return total("running") == 0; }, milliseconds(1'000)));
    const auto& program = *m_fleet.daemons[0].program;
    RecordProperty("peak_memory_bytes",
                   std::to_string(program.peak_memory_bytes()));
    EXPECT_LT(program.peak_memory_bytes(), most_resident_bytes);
}

// Guards against a process killed for its memory while its callers do not read.
TEST_P(endless_answers, leave_memory_bounded_while_callers_do_not_read)
{
    expect_bounded_memory_with_silent_callers();
}

class endless_streams : public endless_answers
{
};

// The same, with events that a caller might want.
TEST_P(endless_streams, leave_memory_bounded_while_callers_do_not_read)
{
    expect_bounded_memory_with_silent_callers();
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, endless_answers,
    testing::Values(
        endless_case{"head_of_call", "head", false},
        endless_case{"head_of_stream", "head", true},
        endless_case{"interim_of_call", "interim", false},
        endless_case{"interim_of_stream", "interim", true},
        endless_case{"body", "body", false},
        endless_case{"event", "body", true},
        endless_case{"chunk_extension_of_call", "chunk_extension", false},
        endless_case{"chunk_extension_of_stream", "chunk_extension", true}),
    [](const auto& it) { return std::string(it.param.name); });

INSTANTIATE_TEST_SUITE_P(platform_path, endless_streams,
                         testing::Values(endless_case{"events", "events",
                                                      true}),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
