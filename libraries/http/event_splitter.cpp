#include "http/event_splitter.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace cicadahub::http
{

namespace
{

/// Memory kept between two events; a long event needs more for some time.
constexpr std::size_t kept_bytes = 64 * 1024;

} // namespace

bool is_event_stream(std::string_view content_type)
{
    return boost::algorithm::istarts_with(content_type, "text/event-stream");
}

std::optional<std::string> last_event_id(std::string_view events)
{
    constexpr std::string_view name = "id:";
    constexpr std::string_view line_ends = "\r\n";
    std::optional<std::string> id;
    while (!events.empty())
    {
        const std::size_t end =
            std::min(events.find_first_of(line_ends), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (line.starts_with(name))
        {
            line.remove_prefix(name.size());
            line.remove_prefix(
                std::min(line.find_first_not_of(' '), line.size()));
            id = std::string(line);
        }
    }
    return id;
}

bool event_splitter::ends_event(char it)
{
    const bool is_second_of_line_end = m_is_after_carriage_return && it == '\n';
    m_is_after_carriage_return = it == '\r';
    if (is_second_of_line_end)
    {
        return m_is_blank_line_end;
    }
    const bool is_line_end = it == '\n' || it == '\r';
    m_is_blank_line_end = is_line_end && m_is_at_line_start;
    m_is_at_line_start = is_line_end;
    return m_is_blank_line_end;
}

std::string_view event_splitter::add(std::string_view bytes)
{
    if (m_complete_bytes == m_buf.size() && m_buf.capacity() > kept_bytes)
    {
        std::string().swap(m_buf);
        m_complete_bytes = 0;
    }
    m_buf.erase(0, m_complete_bytes);
    m_complete_bytes = 0;
    for (const char it : bytes)
    {
        m_buf.push_back(it);
        if (ends_event(it))
        {
            m_complete_bytes = m_buf.size();
        }
    }
    m_has_events = m_has_events || m_complete_bytes > 0;
    return std::string_view(m_buf).substr(0, m_complete_bytes);
}

} // namespace cicadahub::http
