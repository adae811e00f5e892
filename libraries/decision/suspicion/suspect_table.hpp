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
    /// Times that it was sent although it is refused, to find out whether it is
    /// sound.
    std::uint32_t trials = 0;
};

/// Requests that were in flight on servers that crashed. After its first crash,
/// a request runs only on servers without another suspect, so that a second
/// crash can be attributed to one request. After enough crashes, the request
/// is refused for as long as its entry is kept.
///
/// Crashes that are reported with their server are merged, however many hosts
/// report them. Those at the same time count once, since one cause may end many
/// servers. A request that is refused explains its crashes: they do not count
/// against another one that had been at the server for clearly longer. A
/// complete answer clears a request of the crashes before it began.
class suspect_table
{
public:
    /// Crashes of servers count as one if they are closer together than this
    /// and the request was sent to both before the first.
    static constexpr milliseconds one_cause_time{1'000};
    /// A request explains a crash if any other was at the server for longer
    /// than this many times its own time, and this much more.
    static constexpr int explaining_factor = 2;
    static constexpr milliseconds explaining_margin{50};
    /// Times after the last crash at which a refused request is sent once.
    /// After one more crash it is much more probably the cause.
    static constexpr milliseconds first_trial_after{5'000};
    static constexpr milliseconds second_trial_after{60'000};

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

    struct known_crash
    {
        fingerprint request;
        request_crash crash;
    };

    /// Crashes of which hosts that start have to know, at most `count`; those
    /// of the requests with most crashes first, then the latest.
    std::vector<known_crash> known_crashes(std::size_t count,
                                           time_point now) const;

    bool is_suspect(const fingerprint& request) const;
    bool is_refused(const fingerprint& request) const;
    bool has_refused() const;

    /// True if a refused request may be sent now as a trial, which counts as
    /// begun. Hosts try one after the other: this one `delay` after the first.
    bool try_admit(const fingerprint& request, milliseconds delay,
                   time_point now);

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
        /// This daemon learnt then of the last crash that it saw itself, or
        /// began a trial.
        time_point last_own_news = time_point::min();
        std::uint32_t trials = 0;

        std::uint32_t total() const { return std::max(counted, told); }
    };

    struct clearing
    {
        time_point answer_began{};
        time_point known_at{};
        /// Other daemons may refuse the request.
        bool is_news = false;
    };

    /// The time for which the requests were at the servers that they explain.
    using explanations = std::map<crash_key, milliseconds>;

    static std::uint32_t count(const suspect& it, const explanations& by);
    static milliseconds time_at_server(const request_crash& it);
    static milliseconds median_time_at_server(const suspect& it);
    void recount(const fingerprint& request, suspect& it);
    /// Finds the requests that are refused for crashes with known servers.
    void judge() const;
    bool is_refused(const fingerprint& request, const suspect& it) const;
    /// Number of crashes to tell of a request.
    std::uint32_t crashes_to_tell_of(const fingerprint& request,
                                     const suspect& it) const;
    bool is_cleared(const fingerprint& request, time_point crash) const;
    void erase(const fingerprint& request);
    void evict_entries(time_point now);

    suspicion_limits m_limits;
    std::map<fingerprint, suspect> m_suspects;
    std::map<fingerprint, clearing> m_cleared;
    /// Requests with as many crashes as are needed, explained or not.
    std::set<fingerprint> m_candidates;
    /// Those of them that are refused; to be found anew if that has changed.
    mutable std::set<fingerprint> m_causes;
    mutable bool m_has_changed = false;
    std::set<server_id> m_isolating;
    time_point m_next_expiry{};
};

} // namespace cicadahub::suspicion
