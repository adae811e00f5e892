#include "decision/outcome/backend_response.hpp"

#include "core/refusal.hpp"

namespace cicadahub::outcome
{

namespace
{

constexpr unsigned not_found = 404;

} // namespace

response_meaning meaning_of(const backend_response_facts& it)
{
    const bool is_first = it.earlier_exchanges == 0;
    const bool is_named =
        it.request == named_party::expected && (it.has_unique_id || is_first);
    if (it.request == named_party::other || (it.has_bytes_behind && !is_named))
    {
        return response_meaning::not_an_answer;
    }
    if (it.states_not_run && (is_named || is_first))
    {
        return it.status == not_found ? response_meaning::not_here
                                      : response_meaning::turned_away;
    }
    // On a connection that carried other requests the statement may be about
    // one of them.
    if (it.states_not_run || promises_not_run(it.status))
    {
        return response_meaning::unproven_promise;
    }
    return response_meaning::answer;
}

} // namespace cicadahub::outcome
