#pragma once

#include "core/ids.hpp"
#include "decision/sharing/rate_estimate.hpp"

#include <map>
#include <optional>
#include <span>

namespace cicadahub::admission
{

/// Requests that run on a server.
struct running_work
{
    const server_id* server = nullptr;
    std::uint32_t own = 0;
    std::uint32_t elsewhere = 0;
};

/// How fast slots become free for this host, from its requests that end.
class start_estimate
{
public:
    /// A request of this host has ended after `took`; its first event came
    /// `first_event_after` its start, if it came.
    void on_ended(const server_id& server, milliseconds took,
                  std::optional<milliseconds> first_event_after,
                  time_point now);

    /// Requests a second that this host can start at these servers: what it saw
    /// ending there, or, if more, what the running work leads to expect. A
    /// host has at least its part, one of `hosts`, of all that runs there. 0 if
    /// nothing is known.
    double starts_per_second(std::span<const running_work> at,
                             std::size_t hosts, time_point now);

    milliseconds first_event_after() const { return m_first_event_after; }

private:
    static constexpr std::size_t max_servers = 4'096;

    std::map<server_id, sharing::rate_estimate> m_ended;
    /// Moving averages; zero until a request has ended.
    double m_duration_ms = 0;
    milliseconds m_first_event_after{0};
};

} // namespace cicadahub::admission
