#pragma once

#include "daemon/deferred_work.hpp"

#include <boost/asio/execution.hpp>

namespace cicadahub::daemon
{

/// Executor of deferred work. Nothing that is given to it runs at once.
class deferred_executor
{
public:
    explicit deferred_executor(deferred_work& work) : m_work(&work) {}

    template<class Function>
    void execute(Function&& it) const
    {
        m_work->push(std::forward<Function>(it));
    }

    net::execution_context& query(net::execution::context_t) const noexcept
    {
        return m_work->context();
    }
    static constexpr net::execution::blocking_t
    query(net::execution::blocking_t) noexcept
    {
        return net::execution::blocking.never;
    }
    deferred_executor require(net::execution::blocking_t::never_t) const
    {
        return *this;
    }

    bool operator==(const deferred_executor&) const noexcept = default;

private:
    deferred_work* m_work;
};

} // namespace cicadahub::daemon
