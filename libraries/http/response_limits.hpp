#pragma once

#include <cstddef>
#include <cstdint>

namespace cicadahub::http
{

/// Largest head of one response.
inline constexpr std::size_t response_head_limit_bytes = 16 * 1024;

/// Interim responses (1xx) that are skipped in front of a response; servers
/// send one or two.
inline constexpr int interim_response_limit = 8;

/// Bytes of a connection that are received and not parsed yet. Bounds a head, a
/// chunk extension and the trailer, each of which is parsed as a whole.
inline constexpr std::size_t read_buffer_limit_bytes = 64 * 1024;

/// Bytes of chunk sizes, chunk extensions and trailers in one response: this
/// many, and in addition a number per byte of the body, since servers may send
/// chunks of one byte.
inline constexpr std::uint64_t chunk_framing_limit_bytes = 64 * 1024;
inline constexpr std::uint64_t chunk_framing_bytes_per_body_byte = 16;

/// Receive buffer of the system for one connection. It would grow to several
/// megabytes while a response waits for a caller that reads slowly.
inline constexpr int receive_buffer_bytes = 64 * 1024;

/// Limits of the responses that are read on the connections of one client pool.
/// The defaults fit a host with 160 MB of memory.
struct response_limits
{
    /// Largest body that is read as a whole. Lists have some 1 MB a page.
    std::uint64_t body_bytes = 8 * 1024 * 1024;
    /// Largest event of a stream.
    std::size_t event_bytes = 1024 * 1024;
    /// Memory for all bodies and events that are held at the same time.
    std::size_t held_bytes = 32 * 1024 * 1024;
    /// Body bytes of one stream, whose events are not held.
    std::uint64_t stream_bytes = 64 * 1024 * 1024;
};

} // namespace cicadahub::http
