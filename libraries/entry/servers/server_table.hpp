#pragma once

#include "decision/replicas/types.hpp"
#include "decision/routing/prefill_budget.hpp"
#include "decision/routing/server_occupancy.hpp"
#include "decision/routing/server_pace.hpp"
#include "decision/sharing/cold_period.hpp"
#include "decision/sharing/part_lender.hpp"
#include "decision/sharing/server_health.hpp"
#include "decision/sharing/server_limit.hpp"
#include "decision/sharing/server_pause.hpp"
#include "decision/sharing/server_room.hpp"
#include "entry/dialects.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace cicadahub::entry
{

/// Models and adapters of a server as published by the holder of the placement
/// lease. More recent than the platform's list, which does not reflect loads
/// and unloads of adapters.
struct published_holdings
{
    std::int64_t incarnation = 0;
    serving::holdings models;
    std::optional<model_id> loading;
    time_point loaded_at{};
};

/// State of one backend server as known to this daemon.
struct server_record
{
    serving::server_entry entry;
    std::optional<published_holdings> published;
    /// Requests of this daemon that are running on the server, by model.
    std::map<model_id, std::uint32_t> running_models;
    std::uint32_t running = 0;
    /// Requests of all other daemons that are running on the server, as last
    /// reported.
    std::uint32_t running_elsewhere = 0;
    routing::server_occupancy occupancy;
    routing::server_pace pace;
    sharing::server_health health;
    sharing::server_pause pause;
    sharing::server_limit limit;
    sharing::cold_period cold;
    /// Of the limit.
    sharing::part_lender lender;
    /// Parts of the limit that other hosts may use, if they have any.
    std::map<daemon_id, double> usable_elsewhere;
    sharing::server_room room;
    routing::unread_prompts unread;
    routing::server_rank rank;
    /// Last time at which the server sent this daemon anything.
    time_point last_contact{};
    /// Last time at which its entry was seen in the list, or a peer told of it
    /// first.
    time_point last_seen{};
    /// First time at which its entry was seen; unset before that.
    std::optional<time_point> first_seen;
    /// It was decided that the incarnation started while there was traffic.
    bool is_start_judged = false;
    /// Last order or request for a report while the server was cold.
    time_point last_control{};
    /// The bound on requests to cold servers leaves room for orders.
    bool takes_orders_while_cold = false;
    /// Last check whether the server still accepts connections.
    time_point last_check{};
    /// The server said itself that it leaves; the platform's list may say so
    /// later or never.
    bool has_announced_leaving = false;
    /// The same was learnt from a watcher of the store, which tells all others
    /// by itself.
    bool is_leave_told_by_watcher = false;

    /// A former start of the server said that it leaves, and may still be the
    /// one that has the address.
    bool is_unverified = false;
    /// Operators ask that the server's data centre gets no requests.
    bool is_evacuated = false;

    /// True if new requests may be sent to the server.
    bool accepts_requests(time_point now) const;
    /// The same for requests that only show whether the server can be reached.
    /// A server with a limit gets none.
    bool accepts_probes(time_point now) const;
    /// The same for orders and for requests for reports. A server that names a
    /// limit gets callers' requests only; one that is cold gets few orders,
    /// since it could not be filled otherwise.
    bool accepts_orders(time_point now) const;
    const serving::holdings& models() const;
    bool holds(const replicas::copy_name& copy) const;
    /// The server reported that it does not hold the copy.
    void on_absent(const replicas::copy_name& copy);
};

/// The backend servers in the platform's list. Servers whose entry is malformed
/// are removed.
///
/// What a server said of itself belongs to its incarnation, not to its entry:
/// it is kept while the incarnation is not listed, and counts again when it is.
/// Entries of an earlier incarnation than one that is known change nothing.
class server_table
{
public:
    /// What is known of an incarnation that is not listed is kept for this
    /// long: entries lapse while the store is away.
    static constexpr milliseconds unlisted_retention{120'000};
    static constexpr std::size_t max_unlisted = 4'096;
    /// Entries of an earlier start than one that is known may be writes that
    /// arrive late. They count once nothing was seen of the later one for this
    /// long: the clock of the server's host has been set back.
    static constexpr milliseconds start_dispute_time{30'000};

    explicit server_table(const document_dialect& documents)
        : m_documents(documents)
    {
    }

    /// Returns false if the entry names no server to use.
    bool apply(const platform::stored_object& it);
    /// Marks the objects applied since the last call as complete up to
    /// `version`; if `is_full_list`, removes the servers missing from them.
    void end_of_list(bool is_full_list, object_version version);

    /// Version of the last change to the set of servers, their addresses or
    /// whether they are leaving. Changes of their models do not count.
    object_version changed_version() const { return m_changed_version; }

    /// Marks an incarnation of a server as leaving; `source` names who said so
    /// in the log. `is_told_to_all` is set if a watcher of the store said so.
    /// True if it was not known yet.
    bool on_leaving(const server_id& server, std::int64_t incarnation,
                    std::string_view source, bool is_told_to_all = false);

    void on_published(const server_id& server, published_holdings holdings);
    /// Discards all published holdings; called when no holder of the placement
    /// lease is known any more.
    void forget_published();
    /// `running` holds the running requests by server: of the other daemons if
    /// `is_without_own`, otherwise of all daemons including this one.
    void set_running_elsewhere(
        const std::unordered_map<std::string, std::uint32_t>& running,
        bool is_without_own);

    /// The same for prompt tokens that are still to be read, as reported at
    /// `reported_at`.
    void set_unread_elsewhere(
        const std::unordered_map<std::string, std::int64_t>& tokens,
        bool is_without_own, time_point reported_at, time_point now);

    /// Ranks the servers of each service, those that leave excepted. The ranks
    /// stay until the next call.
    void update_ranks();
    /// Data centres to which nothing is to be sent.
    void set_evacuated(std::set<data_centre_id> data_centres);
    const std::set<data_centre_id>& evacuated() const { return m_evacuated; }

    using record_pointer = std::shared_ptr<server_record>;
    const std::map<server_id, record_pointer>& records() const
    {
        return m_records;
    }
    record_pointer find(const server_id& id) const;
    bool has_server_of(const service_id& service) const;
    /// The record of an incarnation, listed or not; makes one that is not
    /// listed if there is none. Null if a later incarnation is known.
    record_pointer find_incarnation(const server_id& id,
                                    std::int64_t incarnation);

    struct unverified_start
    {
        record_pointer record;
        time_point since{};
    };
    /// Servers to be asked whether they have started again.
    const std::vector<unverified_start>& unverified() const
    {
        return m_unverified;
    }
    void on_verified(const record_pointer& it);

    struct unlisted_server
    {
        record_pointer record;
        time_point since{};
    };
    /// Incarnations that are not listed, of which something is known.
    const std::map<server_id, unlisted_server>& unlisted() const
    {
        return m_unlisted;
    }
    /// Forgets those that have not been listed for long.
    void forget_unlisted(time_point now);

private:
    void remove(const server_id& id, object_version version);
    /// True if a later start of the server is known, and was seen lately.
    bool is_outdated(const serving::server_entry& entry, object_version version,
                     time_point now) const;
    void keep_unlisted(record_pointer record);
    /// The record of the entry's start; a new one if nothing is known of it.
    record_pointer take_record(const serving::server_entry& entry,
                               const record_pointer& listed);
    void advance_changed_version(object_version version);

    const document_dialect& m_documents;
    object_version m_changed_version;
    std::map<server_id, record_pointer> m_records;
    std::map<server_id, unlisted_server> m_unlisted;
    std::vector<unverified_start> m_unverified;
    std::set<server_id> m_seen_in_list;
    std::set<data_centre_id> m_evacuated;
};

/// Counts a request as running on a server while the guard exists.
class running_guard
{
public:
    running_guard(server_table::record_pointer record,
                  std::optional<model_id> model);
    ~running_guard();
    running_guard(const running_guard&) = delete;
    running_guard& operator=(const running_guard&) = delete;

private:
    server_table::record_pointer m_record;
    std::optional<model_id> m_model;
};

} // namespace cicadahub::entry
