#include "client_crowd.hpp"
#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace cicadahub::system_tests
{
namespace
{

constexpr std::size_t memory_mb = 96;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr std::size_t most_descriptors = 400;
constexpr std::size_t longest_body = 4 * 1024 * 1024;
/// A crowd of large bodies, which the memory limit cannot hold at once.
constexpr std::size_t large_crowd = 48;
/// More connections than descriptors.
constexpr std::size_t idle_crowd = 500;
/// Bytes by which bodies stop short of their end.
constexpr std::size_t missing_bytes = 1'000;

struct crowd_case
{
    const char* name;
    std::size_t size;
    crowd_bytes (*make)();
};

void PrintTo(const crowd_case& it, std::ostream* out)
{
    *out << it.name;
}

std::string head(const std::string& more)
{
    return "POST /post/x HTTP/1.1\r\nHost: trust.example\r\n"
           "Authorization: Bearer key-of-trust\r\nDeadline-Ms: 3000\r\n" +
           more;
}

std::string head_with_length(std::size_t bytes)
{
    return head("Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

std::string chunked_head()
{
    return head("Transfer-Encoding: chunked\r\n\r\n");
}

std::string chunk(const std::string& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

const std::string& block()
{
    static const std::string it(64 * 1024, 'x');
    return it;
}

constexpr std::size_t blocks_per_body = longest_body / (64 * 1024);

const std::vector<crowd_case>& crowd_cases()
{
    static const std::vector<crowd_case> cases{
        {"announced_over_the_limit", large_crowd,
         []() -> crowd_bytes
         {
             return {head_with_length(64 * longest_body), block(), 512};
         }},
        {"sent_over_the_limit", large_crowd,
         []() -> crowd_bytes
         {
             return {chunked_head(), chunk(block()), 512};
         }},
        {"whole_at_once", large_crowd,
         []() -> crowd_bytes
         {
             return {head_with_length(longest_body), block(), blocks_per_body};
         }},
        {"in_pieces_that_stop_short", large_crowd,
         []() -> crowd_bytes
         {
             return {head_with_length(longest_body) +
                         std::string(64 * 1024 - missing_bytes, 'x'),
                     block(), blocks_per_body - 1, 8 * 1024};
         }},
        {"large_chunks_that_stop_short", large_crowd,
         []() -> crowd_bytes
         {
             return {chunked_head(), chunk(std::string(512 * 1024, 'x')), 7};
         }},
        {"tiny_chunks_that_stop_short", large_crowd,
         []() -> crowd_bytes
         {
             std::string chunks;
             for (std::size_t n = 0; n < 64 * 1024; ++n)
             {
                 chunks += "1\r\nx\r\n";
             }
             return {chunked_head(), chunks, 40};
         }},
        {"heads_without_end", large_crowd,
         []() -> crowd_bytes
         {
             std::string fields;
             for (std::size_t n = 0; n < 1'000; ++n)
             {
                 fields += "a:b\r\n";
             }
             return {head(""), fields, 500};
         }},
        {"idle_connections", idle_crowd,
         []() -> crowd_bytes
         {
             return {};
         }},
    };
    return cases;
}

/// A host with limits on memory and descriptors, whose configuration allows
/// bodies of 4 MB.
class limited_host
{
public:
    limited_host()
    {
        std::ofstream(m_fleet.daemons[0].settings_file, std::ios::app)
            << "[limits]\nmemoryMb = " << memory_mb
            << "\nmaxFds = " << most_descriptors << "\n";
        const std::string path = "/v1/objects/config/main";
        auto object =
            parse_json_object(call(m_fleet.store, http::verb::get, path).body);
        boost::json::object& spec = object["spec"].as_object();
        spec["version"] = 2;
        spec["limits"] = {{"maxHeaderBytes", 16 * 1024},
                          {"maxBodyBytes", longest_body},
                          {"headerTimeoutMs", 10'000},
                          {"idleTimeoutMs", 75'000}};
        EXPECT_EQ(call(m_fleet.store, http::verb::put, path,
                       boost::json::serialize(object))
                      .status,
                  200U);
        m_fleet.start_daemon(0);
        EXPECT_TRUE(eventually([&] { return m_fleet.is_ready(0); }));
    }

    const std::string& address() const { return m_fleet.daemons[0].callers; }
    process& program() const { return *m_fleet.daemons[0].program; }

    /// Repeats a request until it is answered; the test's own time limit ends
    /// it.
    void serve_one(http::verb method, const std::string& path,
                   const std::string& body) const
    {
        unsigned status = 0;
        for (int n = 0; status != 200 && !program().has_ended(); ++n)
        {
            status = call(address(), method, path, body,
                          {{"Host", "trust.example"},
                           {"Request-Id", path + std::to_string(n)},
                           {"Authorization", "Bearer key-of-trust"},
                           {"Deadline-Ms", "3000"}})
                         .status;
        }
        EXPECT_EQ(status, 200U) << path;
    }

    void expect_within_limits() const
    {
        ASSERT_FALSE(program().has_ended()) << program().output();
        EXPECT_LE(program().peak_memory_bytes(), memory_mb * bytes_per_mb);
        EXPECT_LE(program().open_descriptors(), most_descriptors);
    }

private:
    platform_fleet m_fleet{1};
};

class untrusted_clients : public testing::TestWithParam<crowd_case>
{
};

// Guards against clients that exhaust the memory or the descriptors of a host,
// or keep it from serving others.
TEST_P(untrusted_clients, leave_a_host_within_its_limits)
{
    const limited_host host;
    {
        const client_crowd crowd(host.address(), GetParam().size,
                                 GetParam().make());
        crowd.wait_until_sent();
        host.expect_within_limits();
        host.serve_one(http::verb::get, "/read/x", "");
    }
    host.serve_one(http::verb::post, "/post/x", std::string(longest_body, 'x'));
    host.expect_within_limits();
}

INSTANTIATE_TEST_SUITE_P(entry, untrusted_clients,
                         testing::ValuesIn(crowd_cases()),
                         [](const auto& it)
                         { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
