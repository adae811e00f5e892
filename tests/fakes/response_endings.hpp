#pragma once

#include "scripted_server.hpp"

#include <ostream>
#include <sstream>
#include <vector>

namespace cicadahub::fakes
{

/// Response of a server and how its connection ends.
struct response_ending
{
    const char* name;
    std::string body;
    std::string framing;
    connection_end end;
    bool is_complete;
};

inline std::string chunk(const std::string& data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + data + "\r\n";
}

inline std::string length_of(std::size_t n)
{
    return "Content-Length: " + std::to_string(n) + "\r\n";
}

inline void PrintTo(const response_ending& it, std::ostream* out)
{
    *out << it.name;
}

/// Event streams that are whole or broken off, in each framing.
inline std::vector<response_ending> stream_endings()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string none;
    const std::string last_chunk = "0\r\n\r\n";
    const std::string whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::string inside = "id: 1\ndata: a\n\nid: 2\nda";
    const std::string inside_lines = "id: 1\ndata: a\n\nid: 2\ndata: b\n";
    const std::string carriage_returns =
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    using enum connection_end;
    return {
        {"length", whole, length_of(whole.size()), stays_open, true},
        {"length_cut", inside, length_of(whole.size()), closed, false},
        {"length_ends_inside_event", inside, length_of(inside.size()),
         stays_open, false},
        {"chunks", chunk(whole) + last_chunk, chunked, stays_open, true},
        {"chunks_cut_after_event", chunk(whole), chunked, closed, false},
        {"chunks_cut_inside_event", chunk(inside), chunked, closed, false},
        {"chunks_end_inside_event", chunk(inside) + last_chunk, chunked,
         stays_open, false},
        {"unframed", whole, none, closed, true},
        {"unframed_with_carriage_returns", carriage_returns, none, closed,
         true},
        {"unframed_cut_inside_event", inside, none, closed, false},
        {"unframed_cut_between_lines", inside_lines, none, closed, false},
        {"unframed_cut_before_the_first_event", none, none, closed, false},
        {"unframed_reset_after_event", whole, none, reset, false},
        {"unframed_reset_inside_event", inside, none, reset, false},
    };
}

/// Streams of an engine, which end with a [DONE] event.
inline std::vector<response_ending> engine_stream_endings()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string none;
    const std::string last_chunk = "0\r\n\r\n";
    const std::string events = "data: {\"text\":\"a\"}\n\n";
    const std::string whole = events + "data: [DONE]\n\n";
    const std::string quoted = "data: {\"text\":\"data: [DONE]\"}\n\n";
    using enum connection_end;
    return {
        {"chunks", chunk(whole) + last_chunk, chunked, stays_open, true},
        {"chunks_without_done", chunk(events) + last_chunk, chunked, stays_open,
         true},
        {"unframed", whole, none, closed, true},
        {"unframed_cut_after_event", events, none, closed, false},
        {"unframed_cut_after_quoted_done", quoted, none, closed, false},
    };
}

/// JSON answers that are whole or broken off, in each framing.
inline std::vector<response_ending> json_endings()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string none;
    const std::string last_chunk = "0\r\n\r\n";
    const std::string whole = R"({"usage":{"total_tokens":3}})";
    const std::string cut = R"({"usage":{"total_)";
    using enum connection_end;
    return {
        {"length", whole, length_of(whole.size()), stays_open, true},
        {"length_cut", cut, length_of(whole.size()), closed, false},
        {"chunks", chunk(whole) + last_chunk, chunked, stays_open, true},
        {"chunks_cut", chunk(cut), chunked, closed, false},
        {"unframed", whole, none, closed, true},
        {"unframed_lines", whole + "\n" + whole + "\n", none, closed, true},
        {"unframed_cut", cut, none, closed, false},
        {"unframed_cut_in_second_line", whole + "\n" + cut, none, closed,
         false},
        {"unframed_cut_before_the_body", none, none, closed, false},
        {"unframed_reset", whole, none, reset, false},
    };
}

/// Statuses that a response can't have, or to none of our requests.
inline std::vector<std::string> invalid_statuses()
{
    return {"000", "001", "099", "101", "600", "999"};
}

inline std::string response_of_status(const std::string& status,
                                      const std::string& fields)
{
    return "HTTP/1.1 " + status + " Odd\r\n" + fields + length_of(3) +
           "\r\nabc";
}

inline std::string bytes_of(const response_ending& it,
                            const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + it.framing + "\r\n" + it.body;
}

} // namespace cicadahub::fakes
