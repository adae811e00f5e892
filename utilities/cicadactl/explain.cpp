#include "explain.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <limits>
#include <set>
#include <sstream>
#include <vector>

namespace cicadahub::ctl
{

namespace
{

struct log_line
{
    std::string time;
    boost::json::object fields;
};

std::string text_of(const boost::json::value& it)
{
    return it.is_string() ? std::string(it.get_string())
                          : boost::json::serialize(it);
}

/// The same on one line: what other writers named may hold control characters.
std::string line_of(const boost::json::value& it)
{
    const std::string text = text_of(it);
    const bool has_control_character =
        std::any_of(text.begin(), text.end(),
                    [](unsigned char c) { return std::iscntrl(c) != 0; });
    return has_control_character ? boost::json::serialize(it) : text;
}

std::string field(const log_line& line, std::string_view name)
{
    const auto* it = line.fields.if_contains(name);
    return it == nullptr ? std::string() : text_of(*it);
}

/// Reads the daemons' structured log lines and sorts them by time. Other lines
/// are skipped, since the input may mix logs of several programs.
std::vector<log_line> read_lines(std::istream& lines)
{
    std::vector<log_line> found;
    for (std::string text; std::getline(lines, text);)
    {
        const std::size_t start = text.find('{');
        if (start == std::string::npos)
        {
            continue;
        }
        boost::json::error_code ec;
        boost::json::value json = boost::json::parse(text.substr(start), ec);
        if (!ec && json.is_object() && json.get_object().contains("event"))
        {
            log_line line{"", std::move(json.get_object())};
            line.time = field(line, "time");
            found.push_back(std::move(line));
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const log_line& a, const log_line& b)
                     { return a.time < b.time; });
    return found;
}

void print(const log_line& line, std::ostream& out)
{
    constexpr std::array<std::string_view, 6> prefix_fields{
        "time", "level", "event", "name", "daemon", "request"};
    out << line.time << " " << field(line, "daemon") << " "
        << field(line, "name");
    for (const auto& it : line.fields)
    {
        const bool is_in_prefix =
            std::find(prefix_fields.begin(), prefix_fields.end(), it.key()) !=
            prefix_fields.end();
        if (!is_in_prefix && !text_of(it.value()).empty())
        {
            out << " " << it.key() << "=" << line_of(it.value());
        }
    }
    out << "\n";
}

constexpr int microseconds_per_millisecond = 1'000;

/// Time of a line in microseconds; 0 if it is malformed.
std::int64_t microseconds_of(const std::string& time)
{
    std::istringstream text(time);
    std::tm parts{};
    text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    double fraction = 0;
    text >> fraction;
    constexpr int microseconds_per_second = 1'000'000;
    return text ? std::int64_t{timegm(&parts)} * microseconds_per_second +
                      std::llround(fraction * microseconds_per_second)
                : 0;
}

/// Events of a server or of the store that name no request but may be the cause
/// of its outcome.
bool is_surrounding_event(std::string_view name)
{
    constexpr std::array<std::string_view, 7> names{
        "server_paused",  "server_leaving", "server_suspended",
        "store_restored", "host_cut_off",   "host_reconnected",
        "service_brittle"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// What the lines of one request tell of it.
struct request_summary
{
    std::size_t line_count = 0;
    std::string model;
    std::set<std::string> daemons;
    std::set<std::string> servers;
    std::int64_t begin_us = std::numeric_limits<std::int64_t>::max();
    std::int64_t end_us = 0;

    void add(const log_line& line)
    {
        ++line_count;
        model = model.empty() ? field(line, "model") : model;
        daemons.insert(field(line, "daemon"));
        if (const std::string server = field(line, "server"); !server.empty())
        {
            servers.insert(server);
        }
        // The last line tells how long the request took. Many requests have no
        // line before an attempt has ended.
        std::int64_t took_ms = 0;
        for (const char* name : {"took_ms", "after_ms"})
        {
            const auto* it = line.fields.if_contains(name);
            took_ms =
                it != nullptr && it->is_int64() ? it->get_int64() : took_ms;
        }
        const std::int64_t time_us = microseconds_of(line.time);
        begin_us = std::min(begin_us,
                            time_us - took_ms * microseconds_per_millisecond);
        end_us = std::max(end_us, time_us);
    }

    bool is_in_time(const log_line& line) const
    {
        const std::int64_t time_us = microseconds_of(line.time);
        return begin_us <= time_us && time_us <= end_us;
    }

    bool is_order_for_model(const log_line& line) const
    {
        return !model.empty() && field(line, "name").starts_with("order_") &&
               (field(line, "model") == model ||
                field(line, "makes_room_for") == model);
    }

    /// Such events count if they come from a daemon that had the request, and
    /// if they are of a server that it was sent to or of the store.
    bool is_surrounding(const log_line& line) const
    {
        const std::string server = field(line, "server");
        return is_surrounding_event(field(line, "name")) &&
               daemons.contains(field(line, "daemon")) &&
               (server.empty() || servers.contains(server));
    }
};

} // namespace

std::size_t explain(std::istream& lines, const std::string& request,
                    std::ostream& out)
{
    const std::vector<log_line> all = read_lines(lines);
    request_summary summary;
    for (const log_line& it : all)
    {
        if (field(it, "request") == request)
        {
            summary.add(it);
        }
    }
    for (const log_line& it : all)
    {
        const bool is_context =
            summary.is_in_time(it) &&
            (summary.is_order_for_model(it) || summary.is_surrounding(it));
        if (field(it, "request") == request || is_context)
        {
            print(it, out);
        }
    }
    return summary.line_count;
}

} // namespace cicadahub::ctl
