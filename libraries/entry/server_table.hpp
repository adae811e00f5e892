#pragma once

#include "decision/replicas/types.hpp"
#include "decision/sharing/server_health.hpp"
#include "entry/dialects.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace cicadahub::entry
{

/// What the holder of the placement lease tells of a server. It is newer than
/// the platform's list, which is told nothing of adapters.
struct published_holdings
{
    std::int64_t incarnation = 0;
    serving::holdings models;
    std::optional<model_id> loading;
    time_point loaded_at{};
};

/// One backend server as this daemon sees it.
struct server_record
{
    serving::server_entry entry;
    std::optional<published_holdings> published;
    /// Requests of this daemon that run there, by model.
    std::map<model_id, std::uint32_t> running_models;
    std::uint32_t running = 0;
    /// Requests of all other daemons, as they last told.
    std::uint32_t running_elsewhere = 0;
    sharing::server_health health;

    const serving::holdings& models() const;
    bool holds(const replicas::copy_name& copy) const;
    /// The server says that it does not hold the copy.
    void on_absent(const replicas::copy_name& copy);
};

/// The backend servers of the platform's list. Entries that cannot be read
/// name no server.
class server_table
{
public:
    explicit server_table(const document_dialect& documents)
        : m_documents(documents)
    {
    }

    void apply(const platform::stored_object& it);
    /// What was applied since the last call is complete up to `version`; if
    /// `is_full_list`, servers that it left out are gone.
    void end_of_list(bool is_full_list, object_version version);

    /// Version of the last change of which servers there are, where, and
    /// whether they serve; what they hold does not count.
    object_version changed_version() const { return m_changed_version; }

    void on_published(const server_id& server, published_holdings holdings);
    /// Nobody holds the placement lease as far as this daemon knows.
    void forget_published();
    /// `running` is what the other daemons run, or, unless `is_without_own`,
    /// what all run, this one included.
    void set_running_elsewhere(
        const std::unordered_map<std::string, std::uint32_t>& running,
        bool is_without_own);

    using record_pointer = std::shared_ptr<server_record>;
    const std::map<server_id, record_pointer>& records() const
    {
        return m_records;
    }
    record_pointer find(const server_id& id) const;

private:
    void remove(const server_id& id, object_version version);
    void advance_changed_version(object_version version);

    const document_dialect& m_documents;
    object_version m_changed_version;
    std::map<server_id, record_pointer> m_records;
    std::set<server_id> m_seen_in_list;
};

/// Counts a request as running at a server.
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
