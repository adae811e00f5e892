#pragma once

#include <cstddef>

namespace cicadahub::admission
{

struct memory_limits
{
    /// All bytes that are held for callers.
    std::size_t total = 0;
    /// Part of them that large requests leave to small requests and responses.
    std::size_t reserve = 0;
    /// Room that large requests leave to one of them, so that it can be read to
    /// its end: otherwise many that began at once would all wait.
    std::size_t finish_room = 4 * 1024 * 1024;
    /// Requests that hold more are large.
    std::size_t small_bytes = 192 * 1024;
};

/// Limits of a host with this much memory. The rest is left to the program,
/// the responses to its control traffic and the system's socket buffers.
memory_limits memory_limits_of(std::size_t host_bytes);

/// Bytes that a host holds for its callers: connections, requests that are
/// being read, wait or run, and their responses. Charged as bytes arrive, not
/// by what is announced.
class memory_account
{
public:
    explicit memory_account(memory_limits limits) : m_limits(limits) {}

    enum class verdict
    {
        taken,
        /// The request is large: nothing more of it is read for now.
        waits,
        refused,
    };

    /// Charges `added` bytes to a request that holds `held` already. A large
    /// one must leave as many bytes free as it holds, so that the requests that
    /// hold most wait first, and those close to the beginning of their bodies
    /// do not.
    verdict ask(std::size_t held, std::size_t added);

    /// The same, without a difference between waiting and refusal.
    bool take(std::size_t held, std::size_t added);

    /// A request that waits may become the one that is read to its end; false
    /// if there is another one.
    bool begin_finish();
    void end_finish() { m_has_finisher = false; }
    /// Charges bytes of that request.
    bool take_to_finish(std::size_t added);

    /// Charges bytes of a response, to which the reserve is open.
    bool take_for_response(std::size_t added);

    void give_back(std::size_t bytes) { m_used -= bytes; }

    bool is_large(std::size_t bytes) const
    {
        return bytes > m_limits.small_bytes;
    }

    /// True if a request that becomes large now, or announces that, is refused:
    /// others wait for memory already, or there is none.
    bool refuses_large() const;

    /// Called when a large request begins and ends to wait for memory.
    void begin_wait() { ++m_waiting; }
    void end_wait() { --m_waiting; }

    std::size_t used() const { return m_used; }
    std::size_t waiting() const { return m_waiting; }
    const memory_limits& limits() const { return m_limits; }

private:
    bool take_within(std::size_t added, std::size_t kept_free);

    memory_limits m_limits;
    std::size_t m_used = 0;
    std::size_t m_waiting = 0;
    bool m_has_finisher = false;
};

} // namespace cicadahub::admission
