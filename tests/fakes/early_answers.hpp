#pragma once

#include "response_endings.hpp"

namespace cicadahub::fakes
{

/// A response that a server begins before it has read the request.
struct early_answer
{
    const char* name;
    /// Body of the request; the server reads none of it.
    std::size_t upload_bytes;
    std::string content_type;
    response_ending ending;
};

inline void PrintTo(const early_answer& it, std::ostream* out)
{
    *out << it.name;
}

/// Success that is begun early, and how the connection ends meanwhile.
inline std::vector<early_answer> early_answers()
{
    constexpr std::size_t small = 300;
    constexpr std::size_t medium = 200'000;
    constexpr std::size_t large = 7'000'000;
    const std::string bytes = "application/octet-stream";
    const std::string events = "text/event-stream";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string event = "id: 1\ndata: a\n\n";
    using enum connection_end;
    const auto unframed =
        [](const std::string& body, connection_end end, bool is_complete)
    {
        return response_ending{"", body, "", end, is_complete};
    };
    const auto in_chunks = [&](const std::string& end, bool is_complete)
    {
        return response_ending{"", chunk(event) + end, chunked, sending_ended,
                               is_complete};
    };
    return {
        {"small_reset", small, bytes, unframed("abc", reset, false)},
        {"reset", medium, bytes, unframed("abc", reset, false)},
        {"large_reset", large, bytes, unframed("abc", reset, false)},
        {"closed", medium, bytes, unframed("abc", closed, false)},
        {"large_closed", large, bytes, unframed("abc", closed, false)},
        {"events_reset", medium, events, unframed(event, reset, false)},
        {"events_closed", medium, events, unframed(event, closed, false)},
        // All of the request has arrived, although nobody has read it.
        {"small_ended", small, bytes, unframed("abc", sending_ended, true)},
        {"ended", medium, bytes, unframed("abc", sending_ended, false)},
        {"events_ended", medium, events, unframed(event, sending_ended, false)},
        // These show themselves that they are whole, or not.
        {"json_ended", medium, "application/json",
         unframed("{}", sending_ended, true)},
        {"chunks_ended", medium, events, in_chunks("0\r\n\r\n", true)},
        {"chunks_cut", medium, events, in_chunks("", false)},
    };
}

} // namespace cicadahub::fakes
