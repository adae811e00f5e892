#pragma once

#include "core/errors.hpp"
#include "settings/daemon_settings.hpp"

#include <functional>
#include <vector>

namespace cicadahub::settings
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
/// Arguments or settings that do not make sense.
inline constexpr int exit_usage = 2;

/// Arguments or files of the user that do not make sense.
class usage_error : public error
{
public:
    using error::error;
};

/// Tells each fault on the error stream; the exit code for them.
int report_faults(const std::vector<settings_fault>& faults);

/// Runs a program's body; what it throws is told on the error stream and turned
/// into an exit code.
int run_program(const char* name, const std::function<int()>& body);

} // namespace cicadahub::settings
