#include "decision/sharing/server_pause.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace
{

using namespace cicadahub;

constexpr int host_counts[] = {9, 62, 300};
constexpr milliseconds pauses[] = {milliseconds(1'000), milliseconds(4'000),
                                   milliseconds(10'000)};
constexpr milliseconds window{100};
constexpr int seeds = 200;
/// Within this time all hosts have sent a request and been asked for the pause.
constexpr milliseconds asked_within{20};
const time_point start{seconds(3'600)};

using random_source = boost::random::mt19937_64;

double draw(random_source& random)
{
    return boost::random::uniform_real_distribution<double>(0, 1)(random);
}

/// Times at which the hosts may send to one server again.
std::vector<time_point> returns_of(int hosts, milliseconds length,
                                   bool is_spread, random_source& random)
{
    std::vector<time_point> returns;
    for (int n = 0; n < hosts; ++n)
    {
        const time_point asked_at =
            start + std::chrono::duration_cast<microseconds>(asked_within *
                                                             draw(random));
        const double place = draw(random);
        sharing::server_pause pause;
        pause.on_requested(asked_at, length, is_spread ? place : 0);
        returns.push_back(asked_at + pause.left(asked_at));
    }
    std::sort(returns.begin(), returns.end());
    return returns;
}

/// Largest share of the returns that falls in one window.
double busiest_share(const std::vector<time_point>& returns)
{
    std::ptrdiff_t most = 0;
    for (auto first = returns.begin(); first != returns.end(); ++first)
    {
        const auto end =
            std::lower_bound(first, returns.end(), *first + window);
        most = std::max(most, end - first);
    }
    return static_cast<double>(most) / static_cast<double>(returns.size());
}

struct shares
{
    double mean = 0;
    double highest = 0;
};

shares measure(int hosts, milliseconds length, bool is_spread)
{
    shares result;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        random_source random(static_cast<std::uint64_t>(seed));
        const double share =
            busiest_share(returns_of(hosts, length, is_spread, random));
        result.mean += share / seeds;
        result.highest = std::max(result.highest, share);
    }
    return result;
}

} // namespace

int main()
{
    std::cout << std::left << std::setw(8) << "hosts" << std::setw(10)
              << "pause, s" << std::right << std::setw(16) << "spread: mean"
              << std::setw(10) << "highest" << std::setw(18)
              << "no spread: mean" << std::setw(10) << "highest"
              << "\n"
              << std::fixed << std::setprecision(3);
    for (const int hosts : host_counts)
    {
        for (const milliseconds length : pauses)
        {
            const shares with = measure(hosts, length, true);
            const shares without = measure(hosts, length, false);
            std::cout << std::left << std::setw(8) << hosts << std::setw(10)
                      << std::chrono::duration_cast<seconds>(length).count()
                      << std::right << std::setw(16) << with.mean
                      << std::setw(10) << with.highest << std::setw(18)
                      << without.mean << std::setw(10) << without.highest
                      << "\n";
        }
    }
    return 0;
}
