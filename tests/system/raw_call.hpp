#pragma once

#include <cstddef>
#include <string>

namespace cicadahub::system_tests
{

/// Sends the bytes unchanged; returns the status of the response, or 0 if there
/// is none.
unsigned status_of_raw(const std::string& address, const std::string& bytes);

struct raw_answer
{
    std::string bytes;
    /// The connection was reset instead of closed.
    bool is_reset = false;

    /// 0 if no head of a response has arrived.
    unsigned status() const;
};

/// Sends the bytes unchanged; returns all that arrives before the connection
/// ends.
raw_answer receive_until_close(const std::string& address,
                               const std::string& request);

std::size_t count_occurrences(const std::string& text, const std::string& part);

} // namespace cicadahub::system_tests
