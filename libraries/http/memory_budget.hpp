#pragma once

#include <cstddef>
#include <memory>

namespace cicadahub::http
{

/// Memory that several responses share. Not thread-safe.
class memory_budget
{
public:
    explicit memory_budget(std::size_t limit) : m_limit(limit) {}

    bool take(std::size_t bytes);
    void give_back(std::size_t bytes) { m_used -= bytes; }
    std::size_t used() const { return m_used; }

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

/// The part of a budget that one response uses, given back by the destructor.
class memory_share
{
public:
    explicit memory_share(std::shared_ptr<memory_budget> budget);
    ~memory_share();
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    /// Changes the part to this size. Throws `boost::system::system_error` with
    /// `response_error::over_budget` if the budget is used up.
    void resize(std::size_t bytes);

private:
    std::shared_ptr<memory_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace cicadahub::http
