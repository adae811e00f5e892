#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace cicadahub::system_tests
{

/// What each client of a crowd sends.
struct crowd_bytes
{
    std::string start;
    /// Sent `repeats` times after the start.
    std::string block;
    std::size_t repeats = 0;
    /// Most bytes of one write; 0 for no limit.
    std::size_t piece_bytes = 0;
};

/// Clients that send the same bytes at the same time, each on a connection of
/// its own. They read nothing and keep their connections open until the
/// destructor. A client whose connection ends before it has sent everything
/// connects once more.
class client_crowd
{
public:
    client_crowd(const std::string& address, std::size_t size,
                 crowd_bytes bytes);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Waits until each client has sent everything or was closed twice.
    void wait_until_sent() const;

private:
    void run_client(const std::string& address);

    crowd_bytes m_bytes;
    std::atomic<std::size_t> m_sending;
    std::atomic<bool> m_is_over{false};
    std::vector<std::thread> m_clients;
};

} // namespace cicadahub::system_tests
