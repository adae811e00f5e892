#pragma once

#include "operator_client.hpp"
#include "settings/program.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahub::ctl
{

using settings::usage_error;

struct command_options
{
    bool is_json = false;
    /// Wait after a change until every daemon has applied it.
    bool should_wait = false;
    milliseconds wait_limit{30'000};
};

using word_list = std::vector<std::string>;

struct command_row
{
    std::string_view name;
    std::string_view arguments;
    std::string_view meaning;
    void (*run)(operator_client&, const command_options&, const word_list&);
};

std::span<const command_row> command_rows();

/// Runs the command named by the first word with the other words as its
/// arguments; throws `usage_error` or `call_failed`.
void run_command(operator_client& client, const command_options& options,
                 const word_list& words);

} // namespace cicadahub::ctl
