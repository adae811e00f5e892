#include "platform_fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace cicadahub::system_tests
{
namespace
{

constexpr std::size_t daemon_count = 9;
constexpr std::size_t callers_per_daemon = 2;
constexpr milliseconds request_gap{50};
constexpr milliseconds warm_up{500};
/// After a server said that it leaves, in which callers' requests may still
/// reach it. Hosts tell one another.
constexpr milliseconds drain_time{2'000};
constexpr milliseconds measured_time{3'000};
/// Longer than the store takes from one heartbeat of a server to the next.
constexpr milliseconds entry_period{700};
constexpr int repeated_entries = 4;

/// Entries of the leaving server that other starts of it seem to have written.
enum class odd_entries
{
    none,
    /// One of an earlier start, such as a write that arrives late.
    earlier_start,
    earlier_start_again_and_again,
    /// The same behind the end of the server's own entry, which says that it
    /// leaves and is written no more.
    earlier_start_without_own,
    later_start,
    later_start_again_and_again,
};

struct leaving_case
{
    const char* name;
    odd_entries entries;
};

void PrintTo(const leaving_case& it, std::ostream* out)
{
    *out << it.name;
}

class leaving_servers : public testing::TestWithParam<leaving_case>
{
protected:
    /// Sends requests to one host until the test ends.
    void run_caller(std::size_t n)
    {
        for (std::size_t k = 0; !m_is_over; ++k)
        {
            const std::string id =
                "c" + std::to_string(n) + "-" + std::to_string(k);
            const time_point at = monotonic_clock::now();
            const bool is_late = m_is_drain_time_over;
            const answer got = m_fleet.plain(n % daemon_count, id,
                                             http::verb::post, "/post/1");
            ++m_sent;
            m_served += got.status == 200 ? 1 : 0;
            const bool is_from_leaving =
                got.status == 200 &&
                parse_json_object(got.body).at("server").as_string() ==
                    leaving().id;
            m_late += is_late && is_from_leaving ? 1 : 0;
            std::this_thread::sleep_until(at + request_gap);
        }
    }

    const platform_fleet::worker& leaving() const
    {
        return m_fleet.services.front();
    }

    std::string entry_path() const
    {
        return "/v1/objects/servers/" + leaving().id;
    }

    /// Writes the server's entry as a start that began so much later would.
    void write_entry_of(const boost::json::object& own, milliseconds later)
    {
        boost::json::object spec = own;
        spec["born"] = own.at("born").as_int64() + later.count();
        spec["seq"] = ++m_heartbeats;
        const std::string object = boost::json::serialize(boost::json::object{
            {"metadata", {{"name", leaving().id}}}, {"spec", std::move(spec)}});
        const answer got =
            call(m_fleet.store, http::verb::put, entry_path(), object);
        if (got.status == 404)
        {
            call(m_fleet.store, http::verb::post, "/v1/objects/servers",
                 object);
        }
    }

    void write_odd_entries()
    {
        const answer stored =
            call(m_fleet.store, http::verb::get, entry_path());
        const boost::json::object own =
            parse_json_object(stored.body).at("spec").as_object();
        const milliseconds other(60'000);
        switch (GetParam().entries)
        {
        case odd_entries::none:
            break;
        case odd_entries::earlier_start:
            write_entry_of(own, -other);
            break;
        case odd_entries::earlier_start_without_own:
            m_fleet.set_fault(leaving().address, R"({"unlisted":true})");
            std::this_thread::sleep_for(entry_period);
            call(m_fleet.store, http::verb::delete_, entry_path());
            std::this_thread::sleep_for(entry_period);
            write_entry_of(own, -other);
            break;
        case odd_entries::later_start:
            write_entry_of(own, other);
            break;
        case odd_entries::earlier_start_again_and_again:
        case odd_entries::later_start_again_and_again:
            for (int n = 0; n < repeated_entries; ++n)
            {
                const bool is_earlier =
                    GetParam().entries ==
                    odd_entries::earlier_start_again_and_again;
                write_entry_of(own, is_earlier ? -other : other);
                std::this_thread::sleep_for(entry_period);
            }
            break;
        }
    }

    platform_fleet m_fleet{static_cast<int>(daemon_count)};
    std::atomic<bool> m_is_over = false;
    std::atomic<bool> m_is_drain_time_over = false;
    std::atomic<std::size_t> m_sent = 0;
    std::atomic<std::size_t> m_served = 0;
    std::atomic<std::size_t> m_late = 0;
    std::int64_t m_heartbeats = 1'000;
};

// Guards against a host that forgets that a server leaves, because the list
// shows another start of it for a moment.
TEST_P(leaving_servers, get_nothing_behind_the_drain_time)
{
    for (const char* id : {"l3", "l4"})
    {
        m_fleet.add_worker("ledger", id, {});
    }
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < daemon_count * callers_per_daemon; ++n)
    {
        callers.emplace_back([this, n] { run_caller(n); });
    }
    std::this_thread::sleep_for(warm_up);
    m_fleet.set_fault(leaving().address, R"({"leaving":true})");
    std::this_thread::sleep_for(drain_time);
    m_is_drain_time_over = true;
    write_odd_entries();
    std::this_thread::sleep_for(measured_time);
    m_is_over = true;
    for (std::thread& it : callers)
    {
        it.join();
    }
    EXPECT_EQ(m_late, 0U);
    EXPECT_GT(m_served, m_sent * 9 / 10);
    std::cout << "late " << m_late << ", served " << m_served << " of "
              << m_sent << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    platform_path, leaving_servers,
    testing::Values(leaving_case{"undisturbed", odd_entries::none},
                    leaving_case{"earlier_start", odd_entries::earlier_start},
                    leaving_case{"earlier_start_again_and_again",
                                 odd_entries::earlier_start_again_and_again},
                    leaving_case{"earlier_start_without_own",
                                 odd_entries::earlier_start_without_own},
                    leaving_case{"later_start", odd_entries::later_start},
                    leaving_case{"later_start_again_and_again",
                                 odd_entries::later_start_again_and_again}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cicadahub::system_tests
