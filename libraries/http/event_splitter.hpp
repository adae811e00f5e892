#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cicadahub::http
{

/// True for the content type of an event stream, with or without parameters.
bool is_event_stream(std::string_view content_type);

/// Value of the last "id" field in complete events; empty if there is none.
std::optional<std::string> last_event_id(std::string_view events);

/// Splits the bytes of an event stream where its events end. An event ends with
/// a blank line; lines end with CR, LF or both.
class event_splitter
{
public:
    /// Adds bytes of the stream. Returns the events that are complete now and
    /// were not returned before; the view is valid until the next call.
    std::string_view add(std::string_view bytes);

    /// Bytes received after the last complete event.
    std::size_t partial_event_bytes() const
    {
        return m_buf.size() - m_complete_bytes;
    }

    /// Memory in use for events, complete or not.
    std::size_t held_bytes() const { return m_buf.capacity(); }

    bool has_events() const { return m_has_events; }

private:
    /// Advances over one byte; true if it ends an event or its last line end.
    bool ends_event(char it);

    std::string m_buf;
    /// Leading bytes of `m_buf` that belong to complete events.
    std::size_t m_complete_bytes = 0;
    bool m_has_events = false;
    bool m_is_at_line_start = true;
    bool m_is_blank_line_end = false;
    bool m_is_after_carriage_return = false;
};

} // namespace cicadahub::http
