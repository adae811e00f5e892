#pragma once

#include "core/errors.hpp"

namespace cicadahub
{

/// An invariant of the program does not hold. It is thrown, never handled: a
/// daemon stops on it rather than act on a state that must not exist.
class invariant_violation : public error
{
public:
    using error::error;
};

} // namespace cicadahub

/// Checks an invariant in every build.
#define CICADAHUB_INVARIANT(condition)                                         \
    do                                                                         \
    {                                                                          \
        if (!(condition))                                                      \
        {                                                                      \
            throw ::cicadahub::invariant_violation(                            \
                __FILE__ ": invariant does not hold: " #condition);            \
        }                                                                      \
    } while (false)
