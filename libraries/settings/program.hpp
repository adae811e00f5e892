#pragma once

#include "core/errors.hpp"
#include "settings/daemon_settings.hpp"

#include <functional>
#include <vector>

namespace cicadahub::settings
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
/// Exit code for invalid arguments or settings.
inline constexpr int exit_usage = 2;

/// The user gave invalid arguments or files.
class usage_error : public error
{
public:
    using error::error;
};

/// Prints each fault on standard error and returns the exit code: `exit_ok` if
/// there are none, else `exit_usage`.
int report_faults(const std::vector<settings_fault>& faults);

/// Runs the body of a program. An exception is printed on standard error and
/// turned into an exit code.
int run_program(const char* name, const std::function<int()>& body);

} // namespace cicadahub::settings
