#include "http/server.hpp"

#include "endless_responses.hpp"

#include <boost/asio/connect.hpp>
#include <gtest/gtest.h>

#include <future>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace cicadahub::http
{
namespace
{

/// Request whose last part is sent again and again until the server closes.
using endless_request = fakes::endless_response;

struct empty_handler
{
    net::awaitable<void> serve(request&, reply_writer& reply)
    {
        response answer{status::ok, 11};
        answer.prepare_payload();
        co_await reply.send(std::move(answer));
    }
};

std::vector<endless_request> endless_requests()
{
    const std::string line = "POST /aaaaaa HTTP/1.1\r\n";
    const std::string padded =
        line + "Padding: " + std::string(64 - line.size() - 11, 'a') + "\r\n";
    const std::string field = "Field: " + std::string(64 - 9, 'a') + "\r\n";
    const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(64, 'a');
    return {
        {"bytes_that_are_no_head", "", letters},
        {"target", "POST /", letters},
        {"field", line + "Field: ", letters},
        {"fields", padded, field},
        {"chunk_size", chunked, "0000"},
        {"chunk_extension", chunked + "1;", letters},
        {"chunk_extensions", chunked,
         "1;" + std::string(4'000, 'a') + "\r\n1\r\n"},
        {"trailer", chunked + "0\r\nField: ", letters},
        {"trailers", chunked + "0\r\n", field},
        {"chunks", chunked, "40\r\n" + letters + "\r\n"},
    };
}

class endless_callers : public testing::TestWithParam<endless_request>
{
};

// Guards against memory that a caller without an end of its request takes.
TEST_P(endless_callers, are_refused_long_before_the_timeout)
{
    constexpr std::size_t most_sent_bytes = 8 * 1024 * 1024;
    net::io_context context(1);
    empty_handler handler;
    server_limits limits;
    limits.body_bytes = 64 * 1024;
    limits.read_timeout = milliseconds(3'000);
    server<empty_handler> subject({net::ip::address_v4::loopback(), 0}, limits,
                                  {{context, handler}});
    subject.start();
    std::thread serving([&] { context.run(); });
    net::io_context callers;
    net::ip::tcp::socket caller(callers);
    caller.connect(subject.local_endpoint());
    boost::system::error_code ec;
    const time_point began = monotonic_clock::now();
    std::size_t sent = net::write(caller, net::buffer(GetParam().start), ec);
    const std::string block = fakes::repeated(GetParam().block);
    while (!ec && sent < 4 * most_sent_bytes)
    {
        sent += net::write(caller, net::buffer(block), ec);
    }
    EXPECT_LE(sent, most_sent_bytes);
    EXPECT_LT(monotonic_clock::now() - began, limits.read_timeout);
    context.stop();
    serving.join();
}

INSTANTIATE_TEST_SUITE_P(server, endless_callers,
                         testing::ValuesIn(endless_requests()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

/// Leaves the process without a free descriptor while it exists.
class no_free_descriptor
{
public:
    no_free_descriptor()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        const int next = ::dup(STDIN_FILENO);
        ::close(next);
        rlimit lower = m_former;
        lower.rlim_cur = static_cast<rlim_t>(next);
        ::setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~no_free_descriptor() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    no_free_descriptor(const no_free_descriptor&) = delete;
    no_free_descriptor& operator=(const no_free_descriptor&) = delete;

private:
    rlimit m_former{};
};

// Guards against a processor that is busy with connections that cannot be
// accepted, and against a server that accepts none afterwards.
TEST(server, waits_while_no_descriptor_is_free)
{
    constexpr std::size_t most_handlers = 100;
    net::io_context context(1);
    empty_handler handler;
    server<empty_handler> subject({net::ip::address_v4::loopback(), 0},
                                  server_limits{}, {{context, handler}});
    subject.start();
    net::io_context callers;
    net::ip::tcp::socket caller(callers);
    caller.open(net::ip::tcp::v4());
    {
        const no_free_descriptor none;
        caller.connect(subject.local_endpoint());
        EXPECT_LE(context.run_for(milliseconds(300)), most_handlers);
    }
    net::write(caller, net::buffer("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27));
    context.run_for(milliseconds(300));
    EXPECT_GT(caller.available(), 0U);
}

struct refusing_handler
{
    net::awaitable<void> serve(request&, reply_writer&)
    {
        throw refused_error({refusal_kind::no_capacity, true, seconds(1)});
    }
};

/// Sends the bytes; returns what the server has sent once `is_end` holds for
/// it, or after a time limit.
template<class Handler>
std::string exchange_bytes(const std::string& bytes,
                           const std::function<bool(std::string_view)>& is_end)
{
    net::io_context context(1);
    Handler handler;
    server<Handler> subject({net::ip::address_v4::loopback(), 0},
                            server_limits{}, {{context, handler}});
    subject.start();
    net::io_context callers;
    net::ip::tcp::socket caller(callers);
    caller.connect(subject.local_endpoint());
    net::write(caller, net::buffer(bytes));
    std::string text;
    const time_point limit = monotonic_clock::now() + seconds(20);
    while (!is_end(text) && monotonic_clock::now() < limit)
    {
        context.run_for(milliseconds(5));
        std::array<char, 4096> buf{};
        const std::size_t n = std::min(caller.available(), buf.size());
        text.append(buf.data(), caller.read_some(net::buffer(buf.data(), n)));
    }
    return text;
}

// Guards against a refusal of a HEAD request whose body stands where the caller
// expects the next response.
TEST(server, refuses_head_requests_without_a_body)
{
    const std::string text = exchange_bytes<refusing_handler>(
        "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n"
        "HEAD /b HTTP/1.1\r\nHost: a\r\n\r\n",
        [](std::string_view it) {
            return it.find("HTTP/1.1", 1) != it.npos && it.ends_with("\n\r\n");
        });
    EXPECT_NE(text.find("\r\n\r\nHTTP/1.1 503"), std::string::npos) << text;
    EXPECT_TRUE(text.ends_with("\r\n\r\n")) << text;
}

struct expectation
{
    const char* name;
    std::size_t length;
    const char* status;
};

class expectations : public testing::TestWithParam<expectation>
{
};

// Guards against clients that wait for leave to send a body, or get it for one
// over the limit.
TEST_P(expectations, are_answered)
{
    const std::string text = exchange_bytes<empty_handler>(
        "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        "Content-Length: " +
            std::to_string(GetParam().length) + "\r\n\r\n",
        [](std::string_view it) { return it.find("\r\n\r\n") != it.npos; });
    EXPECT_TRUE(text.starts_with(GetParam().status)) << text;
}

INSTANTIATE_TEST_SUITE_P(
    server, expectations,
    testing::Values(expectation{"legal", 4'194'304, "HTTP/1.1 100"},
                    expectation{"too_long", 4'194'305, "HTTP/1.1 413"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::http
