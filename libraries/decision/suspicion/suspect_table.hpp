#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadahub::suspicion
{

/// Hash of a request, by which its repeats are known.
using fingerprint = strong_type<struct suspect_fingerprint_tag, std::string>;

struct suspicion_limits
{
    /// Crashes that a request may have been part of before it is refused.
    std::uint32_t crashes = 2;
    milliseconds kept_for{3'600'000};
    std::size_t entries = 10'000;
};

/// Requests that were running on servers when these died. After its second
/// crash a request is refused for good; after its first it runs only where no
/// other suspect runs, so that a second crash has one culprit.
class suspect_table
{
public:
    explicit suspect_table(suspicion_limits limits) : m_limits(limits) {}

    /// A server died while this request ran on it; crashes so far.
    std::uint32_t on_crash(const fingerprint& request, time_point now);

    /// Another daemon has counted this many crashes.
    void on_notice(const fingerprint& request, std::uint32_t crashes,
                   time_point now);

    /// The request ran to its end: it is not the culprit.
    void on_completed(const fingerprint& request);

    /// Requests that crashed a server since a time, with their crashes.
    std::vector<std::pair<fingerprint, std::uint32_t>>
    crashed_since(time_point since) const;

    bool is_suspect(const fingerprint& request) const;
    bool is_refused(const fingerprint& request) const;

    /// Takes a server for a suspect; false if another suspect runs there.
    bool try_isolate(const server_id& server);
    void end_isolation(const server_id& server);

    std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        time_point last_seen{};
        /// When it last crashed a server of this daemon's requests.
        time_point last_crash{};
    };

    void evict_entries(time_point now);

    suspicion_limits m_limits;
    std::map<fingerprint, suspect> m_suspects;
    std::set<server_id> m_isolating;
};

} // namespace cicadahub::suspicion
