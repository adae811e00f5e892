#pragma once

#include "decision/suspicion/suspect_table.hpp"

#include <atomic>
#include <mutex>

namespace cicadahub::caller
{

/// Thread-safe table of suspect requests. While it is empty, a request costs
/// one atomic load and is not hashed.
class shared_suspect_table
{
public:
    explicit shared_suspect_table(suspicion::suspicion_limits limits)
        : m_table(limits)
    {
    }

    bool is_empty() const { return m_size.load() == 0; }

    std::uint32_t on_crash(const suspicion::fingerprint& request);
    void on_notice(const suspicion::fingerprint& request,
                   std::uint32_t crashes);
    void on_completed(const suspicion::fingerprint& request);
    bool is_suspect(const suspicion::fingerprint& request) const;
    bool is_refused(const suspicion::fingerprint& request) const;
    bool try_isolate(const server_id& server);
    void end_isolation(const server_id& server);

private:
    mutable std::mutex m_mutex;
    suspicion::suspect_table m_table;
    std::atomic<std::size_t> m_size{0};
};

} // namespace cicadahub::caller
