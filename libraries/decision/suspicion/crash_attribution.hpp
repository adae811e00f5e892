#pragma once

#include "decision/suspicion/suspect_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadahub::suspicion
{

/// A request that was in flight on a server when it crashed.
struct crashed_request
{
    /// Empty if it is no suspect.
    fingerprint request;
    time_point sent_at{};
    /// In the order of the prompt, without the part that only it has.
    std::vector<part_fingerprint> parts;
};

struct server_crash
{
    crash_key key;
    time_point at{};
    std::vector<crashed_request> requests;
};

/// A part of prompts and the time of what is told of it: its last crash if it
/// is refused, or the beginning of a complete answer.
struct part_notice
{
    part_fingerprint part;
    time_point at{};
    /// Requests that were admitted to find out whether the part is sound again.
    std::uint32_t trials = 0;
};

/// Finds parts of prompts that crash servers. Each crash accuses the parts of
/// all requests in flight on the server that may just have begun, as this host
/// and others report them. A complete answer that began after a crash, or a run
/// that lasts, clears its parts of that crash. Crashes at the same time count
/// once, since one cause may end many servers, and so do the repetitions of one
/// request. A crash does not accuse a part if another server ended at that
/// moment without it. A part with enough crashes is refused, and explains the
/// crashes that it took part in: they no longer accuse other parts.
class crash_attribution
{
public:
    /// Crashes, one after the other, from which a part is refused.
    static constexpr std::size_t refused_after = 3;
    /// The same if this many requests have crashed servers, of which several
    /// may have done so at the same time.
    static constexpr std::size_t refused_after_with_many_requests = 2;
    static constexpr std::size_t many_requests = 5;
    /// A crash accuses after this time, in which requests that began after it
    /// can complete or last, and other hosts can tell so.
    static constexpr milliseconds settling_time{2'000};
    /// Crashes of several servers closer together than this have one cause.
    static constexpr milliseconds one_cause_time{25};
    /// A part deep in the prompt is preferred to one that took part in somewhat
    /// more crashes: the first parts are shared by many sound requests.
    static constexpr double comparable_share = 0.75;
    static constexpr milliseconds kept_for{600'000};
    static constexpr std::size_t max_crashes = 64;
    static constexpr std::size_t max_parts = 4'096;
    /// Times after the last crash at which one request with a refused part is
    /// admitted, to find out whether it is sound again. Together with requests
    /// on their way they must be few.
    static constexpr milliseconds first_trial_after{5'000};
    static constexpr milliseconds second_trial_after{30'000};

    /// A crash as seen by this host or reported by another. Reports of one
    /// crash are merged.
    void on_crash(const server_crash& it, bool is_own, time_point now);

    /// What a complete answer clears.
    struct clearing_result
    {
        /// Other hosts should learn of it.
        bool has_cleared = false;
        /// Parts that were refused until now.
        std::vector<part_fingerprint> readmitted;
    };

    /// An answer to a request with these parts completed, which clears them of
    /// the crashes before it began.
    clearing_result on_completed(const std::vector<part_fingerprint>& parts,
                                 time_point answer_began, time_point now);

    /// Requests with these parts have run long enough to show that they don't
    /// crash servers; the newest of each began then. Clears like an answer.
    clearing_result
    on_lasting(const std::map<part_fingerprint, time_point>& began,
               time_point now);

    /// False if nothing is accused or refused, so that nothing can be cleared.
    bool is_anything_accused() const;

    /// Another host reports a cleared or a refused part. Both return whether
    /// that changes what is refused.
    bool on_cleared(const part_notice& it, time_point now);
    bool on_refused(const part_notice& it, time_point now);

    /// A refused part among these; empty if there is none.
    std::optional<part_fingerprint>
    find_refused(const std::vector<part_fingerprint>& parts, time_point now);

    /// Parts that were found to crash servers since the last call.
    std::vector<part_fingerprint> take_new_causes();

    /// True if a crash accuses one of these parts.
    bool is_any_accused(const std::vector<part_fingerprint>& parts) const;

    /// Returns true, once for each trial, if a request with this refused part
    /// may be sent now. Hosts try one after the other: this one `delay` after
    /// the first.
    bool try_admit(const part_fingerprint& part, milliseconds delay,
                   time_point now);

    /// What other hosts are to learn: crashes that this host has seen since,
    /// parts cleared since, and all refused parts.
    std::vector<server_crash> own_crashes_since(time_point since) const;
    /// Parts of the request that the crash accuses.
    std::vector<part_fingerprint>
    accused_parts(const crash_key& crash, const fingerprint& request) const;
    std::vector<part_notice> cleared_since(time_point since) const;
    std::vector<part_notice> refused(time_point now);

    /// True if nothing is known of any part.
    bool is_empty() const
    {
        return m_crashes.empty() && m_refused.empty() && m_cleared.empty();
    }
    std::size_t size() const { return m_crashes.size(); }

private:
    struct known_crash
    {
        time_point at{};
        std::map<fingerprint, crashed_request> requests;
        std::set<fingerprint> own_requests;
        /// This host learnt of the last of them then. A crash is found out some
        /// time after it.
        time_point own_since = time_point::min();
    };

    struct clearing
    {
        time_point answer_began{};
        time_point known_at{};
    };

    struct refusal_state
    {
        time_point last_crash{};
        std::uint32_t trials = 0;
    };

    /// One crash that accuses a part.
    struct accusation
    {
        time_point crashed_at{};
        fingerprint request;
        time_point sent_at{};
        crash_key crash;
        /// Place of the part in the prompt.
        std::size_t depth = 0;
    };
    using accusations = std::map<part_fingerprint, std::vector<accusation>>;

    struct weight_of_evidence
    {
        std::size_t crashes = 0;
        /// Crashes one after the other, each with another request.
        std::size_t successive = 0;
        std::size_t requests = 0;
        std::size_t depth = 0;
    };

    static bool accuses(const known_crash& crash, const part_fingerprint& part);
    bool is_cleared(const part_fingerprint& part, time_point crash) const;
    bool clear(const part_fingerprint& part, time_point answer_began,
               time_point now);
    /// Clears the part, and adds what that changes to `result`.
    void clear_into(clearing_result& result, const part_fingerprint& part,
                    time_point answer_began, time_point now);
    void update(time_point now);
    void expire(time_point now);
    void judge(time_point now);
    accusations collect_accusations(time_point now) const;
    /// The parts that are accused in each crash.
    std::map<crash_key, std::set<part_fingerprint>> parts_by_crash() const;
    /// Servers other than this one that ended for the same cause.
    std::vector<crash_key> coincident_crashes(const crash_key& key,
                                              time_point at) const;
    static weight_of_evidence weigh(const std::vector<accusation>& it);
    static bool is_enough(const weight_of_evidence& it);
    /// The part that most probably is the cause; empty if the evidence is not
    /// enough for any.
    static std::optional<part_fingerprint> find_cause(const accusations& all);
    /// Drops the accusations by crashes that the part explains.
    static void explain(accusations& all, const part_fingerprint& part);

    std::map<crash_key, known_crash> m_crashes;
    std::map<part_fingerprint, clearing> m_cleared;
    std::map<part_fingerprint, refusal_state> m_refused;
    std::vector<part_fingerprint> m_new_causes;
    bool m_has_changed = false;
    /// The next crash settles then.
    time_point m_next_update = time_point::max();
};

} // namespace cicadahub::suspicion
