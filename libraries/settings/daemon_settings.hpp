#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadahub::settings
{

/// Settings of a daemon, read from its settings file. docs/SETTINGS.md
/// describes each of them.
struct daemon_settings
{
    std::string daemon_name;
    std::string data_centre;
    std::int64_t worker_threads = 0;

    std::string callers_address;
    std::string operators_address;
    std::string fleet_address;

    std::string platform_address;
    milliseconds platform_call_timeout{};
    milliseconds platform_watch_timeout{};

    std::int64_t header_bytes = 0;
    std::int64_t body_bytes = 0;
    milliseconds read_timeout{};
    milliseconds idle_timeout{};
    std::int64_t queue_requests = 0;
    std::int64_t queue_bytes = 0;

    milliseconds lease_duration{};
    milliseconds lease_renewal{};
    milliseconds lease_margin{};

    double model_loads_per_second = 0;
    std::int64_t model_loads_in_flight = 0;
    std::int64_t adapter_loads_in_flight = 0;

    std::int64_t quota_slots = 0;
    milliseconds quota_slot_lease{};
    milliseconds once_kept_for{};

    milliseconds backend_connect_timeout{};
    milliseconds backend_gap_limit{};
    milliseconds backend_answer_limit{};
    milliseconds backend_report_every{};
    milliseconds order_timeout{};
    milliseconds order_lifetime{};

    milliseconds drain_notice{};
    milliseconds drain_limit{};

    std::int64_t log_level = 0;
};

using text_member = std::string daemon_settings::*;
using integer_member = std::int64_t daemon_settings::*;
using number_member = double daemon_settings::*;
using duration_member = milliseconds daemon_settings::*;
using setting_member =
    std::variant<text_member, integer_member, number_member, duration_member>;

/// Describes one setting: its place in the file, its default and its range.
struct setting_row
{
    std::string_view section;
    std::string_view name;
    std::string_view unit;
    /// As written in the documentation; empty if the setting is required.
    std::string_view default_text;
    double minimum;
    double maximum;
    setting_member member;
    std::string_view meaning;
};

/// All settings, in the order of docs/SETTINGS.md.
std::span<const setting_row> setting_rows();

/// Formats a setting as a row of the table in docs/SETTINGS.md.
std::string to_markdown(const setting_row& row);

/// One fault of a settings file; the line is 0 if the fault belongs to no line.
struct settings_fault
{
    std::string file;
    unsigned line = 0;
    std::string setting;
    std::string reason;
};

struct settings_result
{
    daemon_settings settings;
    /// Every fault of the file, not just the first; empty if it is valid.
    std::vector<settings_fault> faults;
    /// Line number of each setting that the file contains.
    std::map<std::string, unsigned> lines;
};

/// Reads and checks a TOML file; omitted settings take their defaults.
settings_result read_settings(const std::string& file);

/// Formats a fault as "FILE:LINE: SETTING: REASON".
std::string to_string(const settings_fault& it);

} // namespace cicadahub::settings
