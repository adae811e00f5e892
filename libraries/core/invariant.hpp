#pragma once

#include "core/errors.hpp"

namespace cicadahub
{

/// Thrown when an invariant of the program is violated. It is never handled: a
/// daemon stops rather than continue with corrupt state.
class invariant_violation : public error
{
public:
    using error::error;
};

} // namespace cicadahub

/// Throws `invariant_violation` if the condition is false. It is active in
/// every build type, unlike `assert`.
#define CICADAHUB_INVARIANT(condition)                                         \
    do                                                                         \
    {                                                                          \
        if (!(condition))                                                      \
        {                                                                      \
            throw ::cicadahub::invariant_violation(                            \
                __FILE__ ": invariant does not hold: " #condition);            \
        }                                                                      \
    } while (false)
