#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace cicadahub::fakes
{

/// A client closes before it has received so much of a response without an end:
/// it may hold 8 MB of a plain answer, and the system's buffers some more.
inline constexpr std::size_t most_sent_bytes = 16 * 1024 * 1024;

/// Response whose last part is sent again and again until the client closes.
struct endless_response
{
    const char* name;
    std::string start;
    std::string block;
};

inline void PrintTo(const endless_response& it, std::ostream* out)
{
    *out << it.name;
}

/// `block` repeated up to a size whose write costs little per byte.
inline std::string repeated(const std::string& block)
{
    constexpr std::size_t size = 64 * 1024;
    std::string all;
    while (all.size() < size)
    {
        all += block;
    }
    return all;
}

/// Responses without an end, by the place of their endless bytes.
inline std::vector<endless_response> endless_responses()
{
    constexpr std::size_t block_bytes = 64;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    // Heads and fields of equal size leave no partial field behind any read.
    const std::string padded =
        status +
        "Padding: " + std::string(block_bytes - status.size() - 11, 'a') +
        "\r\n";
    const std::string field =
        "Field: " + std::string(block_bytes - 9, 'a') + "\r\n";
    const std::string json = status + "Content-Type: application/json\r\n";
    const std::string events = status + "Content-Type: text/event-stream\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(block_bytes, 'a');
    const std::string digits(block_bytes, '1');
    const std::string extended_chunk =
        "1;" + std::string(8'000, 'a') + "\r\n1\r\n";
    return {
        {"bytes_that_are_no_head", "", letters},
        {"status_line", "HTTP/1.1 200 ", letters},
        {"field", status + "Field: ", letters},
        {"fields", padded, field},
        {"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim_responses_with_fields", "",
         "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n"},
        {"opaque_body", status + "\r\n", letters},
        {"json_body", json + "\r\n[", digits},
        {"json_body_with_length",
         json + "Content-Length: 1000000000000\r\n\r\n[", digits},
        {"json_chunks", json + chunked, "40\r\n" + digits + "\r\n"},
        {"chunk_size", json + chunked, "0000"},
        {"chunk_extension", json + chunked + "1;", letters},
        {"chunk_extensions", json + chunked, extended_chunk},
        {"trailer", json + chunked + "0\r\nField: ", letters},
        {"trailers", json + chunked + "0\r\n", field},
        {"event", events + "\r\ndata: ", letters},
        {"event_lines", events + "\r\n", "data: a\n"},
        {"event_in_chunks", events + chunked, "40\r\n" + letters + "\r\n"},
        {"event_with_chunk_extension", events + chunked + "1;", letters},
        {"event_with_chunk_extensions", events + chunked, extended_chunk},
        {"event_trailer", events + chunked + "0\r\nField: ", letters},
    };
}

} // namespace cicadahub::fakes
