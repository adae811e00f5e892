#pragma once

#include "platform_fleet.hpp"
#include "raw_call.hpp"

namespace cicadahub::system_tests
{

/// Events of servers of the first software version, and of the second.
inline constexpr const char* old_event = "data: piece\n";
inline constexpr const char* new_event = "data: piece of v2\n";

/// A request for a stream; one that is taken up names the request that began it
/// and the last event.
struct stream_call
{
    std::string id;
    std::string resumes;
    std::string after_event;
    std::string key = "key-of-trust";
    std::string path = "/stream/x";
};

/// Reads a stream until the connection closes.
inline raw_answer ask_stream(const platform_fleet& fleet, std::size_t host,
                             const stream_call& it)
{
    std::string head =
        "POST " + it.path +
        " HTTP/1.1\r\nHost: trust.example\r\nRequest-Id: " + it.id +
        "\r\nAuthorization: Bearer " + it.key +
        "\r\nModel: m1\r\nToken-Count: 20,16\r\n"
        "Prompt-Prefix: aa:10," +
        it.id +
        ":10\r\nDeadline-Ms: 8000\r\n"
        "Connection: close\r\n";
    if (!it.resumes.empty())
    {
        head += "Resumes: " + it.resumes + "\r\n";
    }
    if (!it.after_event.empty())
    {
        head += "Last-Event-Id: " + it.after_event + "\r\n";
    }
    return receive_until_close(
        fleet.daemons[host].callers,
        head + "Content-Length: " + std::to_string(it.id.size()) + "\r\n\r\n" +
            it.id);
}

inline bool has_old(const raw_answer& it)
{
    return it.bytes.find(old_event) != std::string::npos;
}

inline bool has_new(const raw_answer& it)
{
    return it.bytes.find(new_event) != std::string::npos;
}

inline bool is_whole(const raw_answer& it)
{
    return it.bytes.ends_with("0\r\n\r\n");
}

/// Servers send events this often; those that have ended are passed over.
inline void set_pace(const std::vector<platform_fleet::worker>& engines,
                     milliseconds gap)
{
    for (const auto& it : engines)
    {
        if (!it.program->has_ended())
        {
            call(it.address, http::verb::put, "/faults",
                 R"({"event_gap_ms":)" + std::to_string(gap.count()) + "}");
        }
    }
}

} // namespace cicadahub::system_tests
