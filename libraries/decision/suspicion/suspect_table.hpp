#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadahub::suspicion
{

/// Hash of a request that identifies its repetitions.
using fingerprint = strong_type<struct suspect_fingerprint_tag, std::string>;

/// Hash of a part of a prompt, which several requests may share.
using part_fingerprint = strong_type<struct part_fingerprint_tag, std::string>;

struct suspicion_limits
{
    /// Crashes after which a request is refused.
    std::uint32_t crashes = 2;
    milliseconds kept_for{3'600'000};
    std::size_t entries = 10'000;
};

/// Requests that were in flight on servers that crashed. After its first crash,
/// a request runs only on servers without another suspect, so that a second
/// crash can be attributed to one request. After its second crash, the request
/// is refused for as long as its entry is kept.
class suspect_table
{
public:
    explicit suspect_table(suspicion_limits limits) : m_limits(limits) {}

    /// A server crashed while this request ran on it. Returns the number of
    /// crashes counted for the request so far.
    std::uint32_t on_crash(const fingerprint& request, time_point now);

    /// Another daemon reports this number of crashes; 0 clears the request.
    /// Returns true if more crashes are known now than before.
    bool on_notice(const fingerprint& request, std::uint32_t crashes,
                   time_point now);

    /// The request completed, which clears it of suspicion. Returns the number
    /// of crashes that were counted for it.
    std::uint32_t on_completed(const fingerprint& request);

    /// Requests for which this daemon has seen a crash since the given time,
    /// with their numbers of crashes.
    std::vector<std::pair<fingerprint, std::uint32_t>>
    crashed_since(time_point since) const;

    bool is_suspect(const fingerprint& request) const;
    bool is_refused(const fingerprint& request) const;

    /// Reserves a server for one suspect; false if another suspect runs there.
    bool try_isolate(const server_id& server);
    void end_isolation(const server_id& server);

    std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        time_point last_seen{};
        /// Last crash seen by this daemon itself.
        time_point last_crash{};
    };

    void evict_entries(time_point now);

    suspicion_limits m_limits;
    std::map<fingerprint, suspect> m_suspects;
    std::set<server_id> m_isolating;
};

} // namespace cicadahub::suspicion
