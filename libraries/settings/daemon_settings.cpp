#include "settings/daemon_settings.hpp"

#include "core/errors.hpp"
#include "http/types.hpp"

#include <toml++/toml.h>

#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace cicadahub::settings
{

namespace
{

using s = daemon_settings;

constexpr double day_ms = 86'400'000;

constexpr std::array rows{
    setting_row{"daemon", "name", "text", "", 1, 100, &s::daemon_name,
                "Name of the daemon; no two in the fleet share one."},
    setting_row{"daemon", "data_centre", "text", "", 1, 100, &s::data_centre,
                "Data centre that the host stands in."},
    setting_row{"daemon", "worker_threads", "threads", "2", 1, 64,
                &s::worker_threads, "Threads that serve requests."},
    setting_row{"listen", "callers", "ADDRESS:PORT", "", 1, 100,
                &s::callers_address, "Where callers connect."},
    setting_row{"listen", "operators", "ADDRESS:PORT", "", 1, 100,
                &s::operators_address, "Where operators connect."},
    setting_row{"listen", "fleet", "ADDRESS:PORT", "", 1, 100,
                &s::fleet_address, "Where other daemons connect."},
    setting_row{"platform", "address", "ADDRESS:PORT", "", 1, 100,
                &s::platform_address, "The platform's object API."},
    setting_row{"platform", "call_timeout_ms", "ms", "1000", 10, 60'000,
                &s::platform_call_timeout, "Limit of one call."},
    setting_row{"platform", "watch_timeout_ms", "ms", "20000", 1000, 300'000,
                &s::platform_watch_timeout,
                "Longest wait of one watch before it is asked anew."},
    setting_row{"callers", "header_bytes", "bytes", "16384", 1024, 1'048'576,
                &s::header_bytes, "Limit of a request's header fields."},
    setting_row{"callers", "body_bytes", "bytes", "4194304", 1024, 268'435'456,
                &s::body_bytes, "Limit of a request's body."},
    setting_row{"callers", "read_timeout_ms", "ms", "10000", 100, 600'000,
                &s::read_timeout,
                "Limit from a request's first byte to its last."},
    setting_row{"callers", "idle_timeout_ms", "ms", "75000", 100, day_ms,
                &s::idle_timeout, "Limit of an idle connection."},
    setting_row{"callers", "queue_requests", "requests", "1024", 1, 1'000'000,
                &s::queue_requests,
                "Requests that may wait at this daemon for one server."},
    setting_row{"callers", "queue_bytes", "bytes", "33554432", 1024,
                1'073'741'824, &s::queue_bytes,
                "Bytes of the bodies of requests that wait for one server."},
    setting_row{"lease", "duration_ms", "ms", "6000", 100, 600'000,
                &s::lease_duration,
                "How long a shard is held without a renewal."},
    setting_row{"lease", "renewal_ms", "ms", "1500", 10, 300'000,
                &s::lease_renewal, "Time between renewals."},
    setting_row{"lease", "margin_ms", "ms", "1000", 10, 600'000,
                &s::lease_margin,
                "Added by those who wait for a lease to end."},
    setting_row{"weights", "model_loads_per_second", "loads/s", "3", 0.01,
                10'000, &s::model_loads_per_second,
                "Rate of the weight store."},
    setting_row{"weights", "model_loads_in_flight", "loads", "4", 1, 10'000,
                &s::model_loads_in_flight,
                "Loads that the weight store serves at full speed."},
    setting_row{"weights", "adapter_loads_in_flight", "loads", "30", 1, 100'000,
                &s::adapter_loads_in_flight,
                "Adapter loads that run at full speed."},
    setting_row{"quota", "slots", "daemons", "12", 1, 10'000, &s::quota_slots,
                "Daemons that can hold a fixed part of each rate; the same at "
                "every daemon."},
    setting_row{"quota", "slot_lease_ms", "ms", "600000", 1'000, day_ms,
                &s::quota_slot_lease,
                "How long a fixed part is held through an outage."},
    setting_row{"once", "kept_for_ms", "ms", "3600000", 1'000, day_ms,
                &s::once_kept_for,
                "How long a repeat finds the answer of its request."},
    setting_row{"backend", "connect_timeout_ms", "ms", "500", 1, 60'000,
                &s::backend_connect_timeout,
                "Limit of a connection to a backend server."},
    setting_row{"backend", "gap_limit_ms", "ms", "5000", 10, day_ms,
                &s::backend_gap_limit,
                "Longest silence within a streamed answer."},
    setting_row{"backend", "answer_limit_ms", "ms", "300000", 10, day_ms,
                &s::backend_answer_limit, "Longest wait for a whole answer."},
    setting_row{"backend", "report_every_ms", "ms", "500", 10, 60'000,
                &s::backend_report_every,
                "Time between readings of a server's load report."},
    setting_row{"backend", "order_timeout_ms", "ms", "60000", 10, day_ms,
                &s::order_timeout, "Limit of one order to a server."},
    setting_row{"backend", "order_lifetime_ms", "ms", "90000", 10, day_ms,
                &s::order_lifetime,
                "An order without an answer may still arrive for this long."},
    setting_row{"drain", "notice_ms", "ms", "2000", 0, 600'000,
                &s::drain_notice,
                "Time for the balancer to see that the daemon is not ready."},
    setting_row{"drain", "limit_ms", "ms", "600000", 0, day_ms, &s::drain_limit,
                "Longest wait for requests that run at a stop."},
    setting_row{"log", "level", "0 to 3", "0", 0, 3, &s::log_level,
                "Lowest level that is logged: information, warning, error, "
                "fatal."},
};

/// Reads the value of one setting into the member that the row names.
struct row_reader
{
    const setting_row& row;
    const toml::node& node;
    daemon_settings& settings;

    /// Returns the fault of the value; empty if the value is valid.
    std::string operator()(text_member member) const
    {
        const auto text = node.value_exact<std::string>();
        if (!text)
        {
            return "must be a string";
        }
        if (text->empty())
        {
            return "must not be empty";
        }
        settings.*member = *text;
        return row.unit == "ADDRESS:PORT" ? address_fault(*text) : "";
    }

    std::string operator()(integer_member member) const
    {
        const auto n = node.value_exact<std::int64_t>();
        if (!n)
        {
            return "must be a whole number";
        }
        settings.*member = *n;
        return range_fault(static_cast<double>(*n));
    }

    std::string operator()(number_member member) const
    {
        if (!node.is_number())
        {
            return "must be a number";
        }
        settings.*member = *node.value<double>();
        return range_fault(settings.*member);
    }

    std::string operator()(duration_member member) const
    {
        const auto n = node.value_exact<std::int64_t>();
        if (!n)
        {
            return "must be a whole number of milliseconds";
        }
        settings.*member = milliseconds(*n);
        return range_fault(static_cast<double>(*n));
    }

    std::string range_fault(double value) const
    {
        if (value >= row.minimum && value <= row.maximum)
        {
            return "";
        }
        const auto text = [](double it)
        {
            return std::to_string(static_cast<std::int64_t>(it));
        };
        return "must be from " + text(row.minimum) + " to " +
               text(row.maximum) + " " + std::string(row.unit);
    }

    static std::string address_fault(const std::string& text)
    {
        try
        {
            http::parse_endpoint(text);
            return "";
        }
        catch (const malformed_document& it)
        {
            return it.what();
        }
    }
};

void set_default(const setting_row& row, daemon_settings& settings)
{
    double n = 0;
    const std::string_view text = row.default_text;
    std::from_chars(text.data(), text.data() + text.size(), n);
    if (const auto* it = std::get_if<integer_member>(&row.member))
    {
        settings.*(*it) = static_cast<std::int64_t>(n);
    }
    if (const auto* it = std::get_if<number_member>(&row.member))
    {
        settings.*(*it) = n;
    }
    if (const auto* it = std::get_if<duration_member>(&row.member))
    {
        settings.*(*it) = milliseconds(static_cast<std::int64_t>(n));
    }
}

std::string full_name(std::string_view section, std::string_view name)
{
    return std::string(section) + "." + std::string(name);
}

class settings_reader
{
public:
    settings_reader(std::string file, const toml::table& table)
        : m_file(std::move(file)), m_table(table)
    {
    }

    settings_result read()
    {
        for (const setting_row& row : rows)
        {
            read_row(row);
        }
        report_unknown_names();
        check_lease_renewal();
        return std::move(m_result);
    }

private:
    void add_fault(unsigned line, std::string setting, std::string reason)
    {
        m_result.faults.push_back(
            {m_file, line, std::move(setting), std::move(reason)});
    }

    static unsigned line_of(const toml::node& it)
    {
        return static_cast<unsigned>(it.source().begin.line);
    }

    void read_row(const setting_row& row)
    {
        const std::string name = full_name(row.section, row.name);
        const toml::node* node = m_table[row.section][row.name].node();
        if (node == nullptr && row.default_text.empty())
        {
            add_fault(0, name, "is required");
            return;
        }
        set_default(row, m_result.settings);
        if (node == nullptr)
        {
            return;
        }
        m_result.lines[name] = line_of(*node);
        const std::string reason =
            std::visit(row_reader{row, *node, m_result.settings}, row.member);
        if (!reason.empty())
        {
            add_fault(line_of(*node), name, reason);
        }
    }

    void report_unknown_names()
    {
        std::set<std::string, std::less<>> known;
        std::set<std::string, std::less<>> sections;
        for (const setting_row& row : rows)
        {
            known.insert(full_name(row.section, row.name));
            sections.emplace(row.section);
        }
        for (const auto& [section, node] : m_table)
        {
            if (!sections.contains(section.str()) || !node.is_table())
            {
                add_fault(line_of(node), std::string(section.str()),
                          "is not a known section");
                continue;
            }
            for (const auto& [name, value] : *node.as_table())
            {
                const std::string full = full_name(section.str(), name.str());
                if (!known.contains(full))
                {
                    add_fault(line_of(value), full, "is not a known setting");
                }
            }
        }
    }

    void check_lease_renewal()
    {
        const daemon_settings& it = m_result.settings;
        if (it.lease_renewal * 2 > it.lease_duration)
        {
            add_fault(0, "lease.renewal_ms",
                      "must be at most half of lease.duration_ms");
        }
    }

    std::string m_file;
    const toml::table& m_table;
    settings_result m_result;
};

} // namespace

std::span<const setting_row> setting_rows()
{
    return rows;
}

std::string to_markdown(const setting_row& row)
{
    const bool is_text = std::holds_alternative<text_member>(row.member);
    std::ostringstream out;
    out << "| `" << row.section << "." << row.name << "` | " << row.unit
        << " | " << (row.default_text.empty() ? "required" : row.default_text)
        << " | ";
    if (is_text)
    {
        out << "-";
    }
    else
    {
        out << row.minimum << " to " << static_cast<std::int64_t>(row.maximum);
    }
    out << " | " << row.meaning << " |";
    return out.str();
}

settings_result read_settings(const std::string& file)
{
    if (!std::ifstream(file).good())
    {
        return {{}, {{file, 0, "file", "cannot be read"}}, {}};
    }
    try
    {
        const toml::table table = toml::parse_file(file);
        return settings_reader(file, table).read();
    }
    catch (const toml::parse_error& it)
    {
        const auto line = static_cast<unsigned>(it.source().begin.line);
        return {{}, {{file, line, "file", std::string(it.description())}}, {}};
    }
}

std::string to_string(const settings_fault& it)
{
    return it.file + ":" + std::to_string(it.line) + ": " + it.setting + ": " +
           it.reason;
}

} // namespace cicadahub::settings
