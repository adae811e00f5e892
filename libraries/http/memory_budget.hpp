#pragma once

#include "decision/admission/memory_account.hpp"

#include <cstddef>
#include <memory>

namespace cicadahub::http
{

/// Memory that several responses share. Not thread-safe.
class memory_budget
{
public:
    /// What is taken is also charged to `account`, unless that is null.
    explicit memory_budget(
        std::size_t limit,
        std::shared_ptr<admission::memory_account> account = {})
        : m_limit(limit), m_account(std::move(account))
    {
    }

    bool take(std::size_t bytes);
    void give_back(std::size_t bytes);
    std::size_t used() const { return m_used; }

private:
    std::size_t m_limit;
    std::shared_ptr<admission::memory_account> m_account;
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
