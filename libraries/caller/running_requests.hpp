#pragma once

#include "core/ids.hpp"

#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace cicadahub::caller
{

/// Running requests of one thread, by the hash of the caller's key.
class running_requests
{
public:
    using cancel_function = std::function<void()>;

    /// Adds a request to the table; removes it at the end of its scope.
    class registration
    {
    public:
        registration(running_requests& table, key_hash hash,
                     cancel_function cancel);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        bool was_cancelled() const { return m_was_cancelled; }

    private:
        friend class running_requests;

        running_requests& m_table;
        key_hash m_hash;
        cancel_function m_cancel;
        bool m_was_cancelled = false;
    };

    /// Cancels every running request of a key.
    void cancel(const key_hash& hash);

private:
    std::unordered_map<key_hash, std::unordered_set<registration*>> m_requests;
};

} // namespace cicadahub::caller
