#pragma once

#include "core/ids.hpp"
#include "core/refusal.hpp"

#include <array>
#include <map>
#include <mutex>

namespace cicadahub::caller
{

/// How one organisation fares in one class.
struct fare
{
    std::uint64_t served_in_target = 0;
    std::uint64_t served_late = 0;
    std::uint64_t failed = 0;
    std::uint64_t tokens = 0;
    std::array<std::uint64_t, refusal_kind_count> refused{};

    fare& operator+=(const fare& other);
};

using fare_key = std::pair<class_id, organisation_id>;
using fare_map = std::map<fare_key, fare>;

/// One thread's count of fares; read by others now and then.
class fare_table
{
public:
    void count_served(const fare_key& key, bool is_in_target,
                      std::int64_t tokens);
    void count_refused(const fare_key& key, refusal_kind kind);
    void count_failed(const fare_key& key);

    void add_to(fare_map& sum) const;

private:
    mutable std::mutex m_mutex;
    fare_map m_fares;
};

} // namespace cicadahub::caller
