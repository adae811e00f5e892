#pragma once

#include "daemon/audit_entry.hpp"
#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>

namespace cicadahub::daemon
{

namespace net = boost::asio;

/// Writes the audit trail to the platform's store in segments of bounded size.
/// Each daemon writes its own segments, so that writers do not contend. Entries
/// that are still pending when a daemon is killed are lost.
class audit_log
{
public:
    audit_log(net::io_context& context, platform::store& store,
              std::string writer);

    void start();
    void append(audit_entry it);

    /// Writes the pending entries; returns early if the outcome of a write is
    /// unknown, as when the platform does not answer.
    net::awaitable<void> flush();

private:
    net::awaitable<void> run();
    net::awaitable<bool> write_batch();
    void open_segment();

    net::io_context& m_context;
    platform::store& m_store;
    std::string m_writer;
    std::deque<boost::json::object> m_pending;
    platform::stored_object m_segment;
    boost::json::array m_entries;
    std::uint64_t m_next_segment = 0;
    bool m_is_writing = false;
};

} // namespace cicadahub::daemon
