#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace cicadahub
{

/// Read-copy-update cell: a writer replaces the value with a new one; a reader
/// keeps the immutable copy that it obtained alive for as long as it uses it.
template<class Value>
class snapshot_cell
{
public:
    using pointer = std::shared_ptr<const Value>;

    explicit snapshot_cell(Value initial = {})
        : m_value(std::make_shared<const Value>(std::move(initial)))
    {
    }

    void publish(Value value)
    {
        auto next = std::make_shared<const Value>(std::move(value));
        std::lock_guard lock(m_mutex);
        m_value = std::move(next);
        m_version.fetch_add(1, std::memory_order_release);
    }

    pointer copy() const
    {
        std::lock_guard lock(m_mutex);
        return m_value;
    }

    std::uint64_t version() const
    {
        return m_version.load(std::memory_order_acquire);
    }

private:
    mutable std::mutex m_mutex;
    pointer m_value;
    std::atomic<std::uint64_t> m_version{1};
};

/// Caches the value of a cell for one thread. While the cell is unchanged, a
/// read costs one atomic load and writes no shared memory.
template<class Value>
class snapshot_reader
{
public:
    explicit snapshot_reader(const snapshot_cell<Value>& cell) : m_cell(cell) {}

    const std::shared_ptr<const Value>& current()
    {
        const std::uint64_t version = m_cell.version();
        if (version != m_seen)
        {
            m_value = m_cell.copy();
            m_seen = version;
        }
        return m_value;
    }

private:
    const snapshot_cell<Value>& m_cell;
    std::uint64_t m_seen = 0;
    std::shared_ptr<const Value> m_value;
};

} // namespace cicadahub
