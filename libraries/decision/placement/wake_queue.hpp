#pragma once

#include "decision/placement/types.hpp"

namespace cicadahub::placement
{

/// Requests that wait for a model, ordered by deadline.
class wake_queue
{
public:
    void add(wake it);

    /// Removes and returns all wakes for a model.
    std::vector<wake> take(const model_id& model);

    /// Removes and returns the wakes whose deadline has passed.
    std::vector<wake> take_expired(time_point now);

    /// Removes and returns the wake with this ticket, if it is queued.
    std::optional<wake> take_ticket(std::uint64_t ticket);

    /// Models with queued wakes, sorted by the earliest deadline among them.
    std::vector<model_id> models_by_deadline() const;

    bool has_wakes_for(const model_id& model) const
    {
        return m_counts.contains(model);
    }
    std::size_t size() const { return m_wakes.size(); }
    const std::vector<wake>& all() const { return m_wakes; }
    void clear();

private:
    template<class Predicate>
    std::vector<wake> take_if(Predicate predicate);

    std::vector<wake> m_wakes;
    std::map<model_id, std::size_t> m_counts;
};

} // namespace cicadahub::placement
