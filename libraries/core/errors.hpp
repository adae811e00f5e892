#pragma once

#include "core/refusal.hpp"

#include <stdexcept>

namespace cicadahub
{

/// Base class of every exception that the project throws.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Ends the handling of a request: the caller gets `reason()` as the response.
/// It never makes an untrue promise, so that what is counted is what is sent.
class refused_error : public error
{
public:
    explicit refused_error(const refusal& it)
        : error(std::string(name_of(without_untrue_promise(it).kind))),
          m_refusal(without_untrue_promise(it))
    {
    }

    const refusal& reason() const { return m_refusal; }

private:
    refusal m_refusal;
};

/// Input from outside the process that cannot be parsed or that violates its
/// documented format.
class malformed_document : public error
{
public:
    using error::error;
};

} // namespace cicadahub
