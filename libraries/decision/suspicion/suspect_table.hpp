#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "decision/suspicion/crash_key.hpp"

#include <algorithm>
#include <cstdint>
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

/// A crash of a server on which a request ran.
struct request_crash
{
    crash_key key;
    time_point at{};
    /// The request was sent to the server then.
    time_point sent_at{};
};

/// What one daemon tells the others of a request.
struct request_notice
{
    fingerprint request;
    /// 0 if an answer to the request completed.
    std::uint32_t crashes = 0;
    /// Last crash, or beginning of the answer.
    time_point at{};
};

/// Requests that were in flight on servers that crashed. After its first crash,
/// a request runs only on servers without another suspect, so that a second
/// crash can be attributed to one request. After enough crashes, the request
/// is refused for as long as its entry is kept.
///
/// Crashes that are reported with their server are merged, however many hosts
/// report them. Those at the same time count once, since one cause may end many
/// servers. A complete answer clears a request of the crashes before it began.
class suspect_table
{
public:
    /// Crashes of servers count as one if they are closer together than this
    /// and the request was sent to both before the first.
    static constexpr milliseconds one_cause_time{1'000};

    explicit suspect_table(suspicion_limits limits) : m_limits(limits) {}

    /// A server crashed while this request ran on it, of which no other daemon
    /// reports the same. Returns the number of crashes counted for the request
    /// so far.
    std::uint32_t on_crash(const fingerprint& request, time_point now);
    /// The same for a crash that other hosts may report too; `is_own` if this
    /// host has seen it.
    std::uint32_t on_crash(const fingerprint& request, const request_crash& it,
                           bool is_own, time_point now);

    /// Another daemon reports this number of crashes; 0 clears the request.
    /// Returns true if more crashes are known now than before.
    bool on_notice(const fingerprint& request, std::uint32_t crashes,
                   time_point now);
    /// The same with the time of the last crash or of the answer.
    bool on_notice(const request_notice& it, time_point now);

    /// The request completed, which clears it of suspicion.
    void on_completed(const fingerprint& request);
    /// The same for crashes before the answer began, also of those that are
    /// reported later. Returns the number of crashes that no longer count.
    std::uint32_t on_completed(const fingerprint& request,
                               time_point answer_began, time_point now);

    /// What other daemons are to learn, the most important first: requests that
    /// this daemon has seen crash a server or complete since the given time,
    /// and if `with_refused` all that are refused.
    std::vector<request_notice> notices(time_point since, bool with_refused,
                                        time_point now) const;

    /// All requests that are refused.
    std::vector<request_notice> refused(time_point now) const;

    bool is_suspect(const fingerprint& request) const;
    bool is_refused(const fingerprint& request) const;
    bool has_refused() const;

    /// Reserves a server for one suspect; false if another suspect runs there.
    bool try_isolate(const server_id& server);
    void end_isolation(const server_id& server);

    std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect
    {
        std::map<crash_key, request_crash> crashes;
        /// Of those.
        std::uint32_t counted = 0;
        /// Counted without their servers, or by another daemon.
        std::uint32_t told = 0;
        time_point last_crash{};
        /// This daemon learnt then of the last crash that it saw itself.
        time_point last_own_crash = time_point::min();

        std::uint32_t total() const { return std::max(counted, told); }
    };

    struct clearing
    {
        time_point answer_began{};
        time_point known_at{};
        /// Other daemons may refuse the request.
        bool is_news = false;
    };

    static std::uint32_t count(const suspect& it);
    bool is_refused(const suspect& it, time_point now) const;
    bool is_cleared(const fingerprint& request, time_point crash) const;
    void evict_entries(time_point now);

    suspicion_limits m_limits;
    std::map<fingerprint, suspect> m_suspects;
    std::map<fingerprint, clearing> m_cleared;
    std::set<server_id> m_isolating;
    time_point m_next_expiry{};
};

} // namespace cicadahub::suspicion
