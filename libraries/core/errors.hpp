#pragma once

#include "core/refusal.hpp"

#include <stdexcept>

namespace cicadahub
{

/// Root of every exception that the project throws.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A request that ends in a refusal.
class refused_error : public error
{
public:
    explicit refused_error(const refusal& it)
        : error(std::string(name_of(it.kind))), m_refusal(it)
    {
    }

    const refusal& reason() const { return m_refusal; }

private:
    refusal m_refusal;
};

/// JSON from outside that does not have the published shape.
class malformed_document : public error
{
public:
    using error::error;
};

} // namespace cicadahub
