#pragma once

#include "core/ids.hpp"
#include "core/refusal.hpp"

#include <array>
#include <map>
#include <mutex>

namespace cicadahub::caller
{

/// Requests of one organisation in one class of work, by outcome, and the
/// tokens of their answers.
struct request_counts
{
    std::uint64_t served_in_target = 0;
    std::uint64_t served_late = 0;
    std::uint64_t failed = 0;
    std::uint64_t tokens = 0;
    std::array<std::uint64_t, refusal_kind_count> refused{};

    request_counts& operator+=(const request_counts& other);
};

using request_counts_key = std::pair<class_id, organisation_id>;
using request_counts_map = std::map<request_counts_key, request_counts>;

/// Request counts of one worker thread; other threads may read them.
class request_counter
{
public:
    void count_served(const request_counts_key& key, bool is_in_target,
                      std::int64_t tokens);
    void count_refused(const request_counts_key& key, refusal_kind kind);
    void count_failed(const request_counts_key& key);

    void add_to(request_counts_map& sum) const;

private:
    mutable std::mutex m_mutex;
    request_counts_map m_counts;
};

} // namespace cicadahub::caller
