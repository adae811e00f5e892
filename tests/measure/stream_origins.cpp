#include "decision/continuity/stream_origins.hpp"
#include "decision/continuity/keeper_selection.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <iomanip>
#include <iostream>
#include <string_view>

namespace
{

using namespace cicadahub;
using namespace cicadahub::continuity;

struct fleet_size
{
    std::size_t hosts;
    /// Streams that all hosts together begin.
    double streams_per_second;
};

constexpr fleet_size sizes[] = {{9, 40}, {74, 250}, {420, 3'700}};
constexpr std::size_t streams = 4'000;
constexpr double datagram_loss = 0.025;
/// Share of the streams that their callers take up.
constexpr double taken_up_share = 0.05;
/// UDP and IP headers.
constexpr double header_bytes = 28;
/// A digest with one stream, and one that asks for one.
constexpr double told_bytes = 75;
constexpr double asked_bytes = 25;
/// Holders write what they were told this often.
constexpr double record_period_s = 0.3;
constexpr double stream_length_s = 2;

/// How hosts learn what began a stream.
enum class way
{
    tell_all,
    ask_all,
    /// Two hosts that all choose alike.
    tell_keepers,
    /// These, and the lease holder, which records it in the store.
    tell_keepers_and_record,
};

/// Hosts that are lost before the stream is taken up.
enum class loss
{
    the_serving_one,
    a_third,
    all,
};

constexpr std::pair<way, std::string_view> ways[] = {
    {way::tell_all, "all told"},
    {way::ask_all, "all asked"},
    {way::tell_keepers, "two told, three asked"},
    {way::tell_keepers_and_record, "the same and a record (kept)"}};

struct cost
{
    double messages = 0;
    double bytes = 0;

    void add(double count, double size)
    {
        messages += count;
        bytes += count * (size + header_bytes);
    }
};

class measured_fleet
{
public:
    measured_fleet(const fleet_size& size, way chosen)
        : m_size(size), m_way(chosen)
    {
        for (std::size_t n = 0; n < size.hosts; ++n)
        {
            m_names.emplace_back("host-" + std::to_string(n));
        }
    }

    /// Messages and bytes a second of the whole fleet.
    cost traffic() const
    {
        const double begun = m_size.streams_per_second;
        const double taken_up = begun * taken_up_share;
        const auto others = static_cast<double>(m_size.hosts - 1);
        cost sum;
        switch (m_way)
        {
        case way::tell_all:
            sum.add(begun * others, told_bytes);
            break;
        case way::ask_all:
            sum.add(taken_up * others, asked_bytes);
            sum.add(taken_up * others, told_bytes);
            break;
        case way::tell_keepers:
            sum.add(begun * keeper_count, told_bytes);
            sum.add(taken_up * asked_count, asked_bytes);
            sum.add(taken_up * asked_count, told_bytes);
            break;
        case way::tell_keepers_and_record:
            sum.add(begun * (keeper_count + 1), told_bytes);
            sum.add(taken_up * (asked_count + 1), asked_bytes);
            sum.add(taken_up * (asked_count + 1), told_bytes);
            break;
        }
        return sum;
    }

    /// Share of the streams whose origin the host that is asked learns.
    double found(loss what)
    {
        std::size_t known = 0;
        for (std::size_t n = 0; n < streams; ++n)
        {
            known += is_found(what, n) ? 1 : 0;
        }
        return static_cast<double>(known) / streams;
    }

private:
    double draw()
    {
        return boost::random::uniform_real_distribution<double>(0, 1)(m_random);
    }

    daemon_id pick()
    {
        return m_names[boost::random::uniform_int_distribution<std::size_t>(
            0, m_names.size() - 1)(m_random)];
    }

    bool arrives() { return draw() >= datagram_loss; }

    bool is_lost(loss what, const daemon_id& it, const daemon_id& server)
    {
        return what == loss::all || it == server ||
               (what == loss::a_third && draw() < 1.0 / 3);
    }

    bool is_found(loss what, std::size_t n)
    {
        const stream_key key =
            key_of(request_id("r" + std::to_string(n)),
                   organisation_id("organisation"), {"host", "/path"});
        const daemon_id server = pick();
        const daemon_id asker = pick();
        if (m_way == way::tell_keepers_and_record &&
            draw() >= record_period_s / stream_length_s && arrives())
        {
            return true;
        }
        if (m_way == way::ask_all)
        {
            // Nobody but the host that served it knows.
            return false;
        }
        if (m_way == way::tell_all)
        {
            return what != loss::all && arrives();
        }
        const auto keepers = select_keepers(key, m_names, keeper_count);
        const auto asked = select_keepers(key, m_names, asked_count);
        for (const daemon_id& it : keepers)
        {
            const bool is_asked =
                it == asker ||
                std::find(asked.begin(), asked.end(), it) != asked.end();
            // Told, asked and answered.
            if (is_asked && !is_lost(what, it, server) && arrives() &&
                (it == asker || (arrives() && arrives())))
            {
                return true;
            }
        }
        return false;
    }

    fleet_size m_size;
    way m_way;
    std::vector<daemon_id> m_names;
    boost::random::mt19937_64 m_random{1};
};

} // namespace

int main()
{
    std::cout << std::left << std::setw(7) << "hosts" << std::setw(32) << "way"
              << std::right << std::setw(12) << "messages/s" << std::setw(10)
              << "KB/s" << std::setw(22) << "found: its host lost"
              << std::setw(14) << "a third lost" << std::setw(10) << "all lost"
              << "\n"
              << std::fixed;
    for (const fleet_size& size : sizes)
    {
        for (const auto& [chosen, name] : ways)
        {
            measured_fleet fleet(size, chosen);
            const cost sum = fleet.traffic();
            std::cout << std::left << std::setw(7) << size.hosts
                      << std::setw(32) << name << std::right
                      << std::setprecision(0) << std::setw(12) << sum.messages
                      << std::setw(10) << sum.bytes / 1'000
                      << std::setprecision(3) << std::setw(22)
                      << fleet.found(loss::the_serving_one) << std::setw(14)
                      << fleet.found(loss::a_third) << std::setw(10)
                      << fleet.found(loss::all) << "\n";
        }
    }
    return 0;
}
