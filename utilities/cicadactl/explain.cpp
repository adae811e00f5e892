#include "explain.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>
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
            out << " " << it.key() << "=" << text_of(it.value());
        }
    }
    out << "\n";
}

} // namespace

std::size_t explain(std::istream& lines, const std::string& request,
                    std::ostream& out)
{
    const std::vector<log_line> all = read_lines(lines);
    std::string first;
    std::string last;
    std::string model;
    std::size_t line_count = 0;
    for (const log_line& it : all)
    {
        if (field(it, "request") == request)
        {
            first = first.empty() ? it.time : first;
            last = it.time;
            model = model.empty() ? field(it, "model") : model;
            ++line_count;
        }
    }
    for (const log_line& it : all)
    {
        const bool is_of_request = field(it, "request") == request;
        const bool is_order_for_model =
            !model.empty() && it.time >= first && it.time <= last &&
            (field(it, "name").starts_with("order_")) &&
            (field(it, "model") == model ||
             field(it, "makes_room_for") == model);
        if (is_of_request || is_order_for_model)
        {
            print(it, out);
        }
    }
    return line_count;
}

} // namespace cicadahub::ctl
