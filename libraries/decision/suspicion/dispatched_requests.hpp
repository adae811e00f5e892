#pragma once

#include "core/units.hpp"
#include "decision/suspicion/crash_attribution.hpp"
#include "decision/suspicion/suspect_table.hpp"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cicadahub::suspicion
{

/// A request that crashes servers does so when it begins to run, so that one
/// that has run for this long is not the cause.
inline constexpr milliseconds sound_run_time{1'000};

/// A request that this host has sent to a server directly.
struct dispatched_request
{
    fingerprint request;
    /// Parts of its prompt that other requests may have too.
    std::vector<part_fingerprint> parts;
    /// The server had begun to run it by then; empty if it may still wait
    /// there.
    std::optional<time_point> began;
    /// Last bytes from the server: one that is silent may not have begun.
    std::shared_ptr<const time_point> server_contact;

    /// The server ran it for long enough, up to a moment at which it ran.
    bool has_lasted(time_point until) const
    {
        return began && *began + sound_run_time <= until;
    }
};

/// The requests that run at servers now. Those that have lasted show that they
/// and the parts of their prompts do not crash servers.
class dispatched_requests
{
public:
    using entry = std::list<dispatched_request>::iterator;

    entry add(dispatched_request it)
    {
        return m_dispatched.insert(m_dispatched.end(), std::move(it));
    }
    void remove(entry it) { m_dispatched.erase(it); }

    /// When the newest run began that has lasted, for each part of a prompt.
    std::map<part_fingerprint, time_point> lasting_parts() const;
    /// The same for each request that is suspected.
    std::map<fingerprint, time_point>
    lasting_suspects(const suspect_table& suspects) const;

private:
    std::list<dispatched_request> m_dispatched;
};

} // namespace cicadahub::suspicion
