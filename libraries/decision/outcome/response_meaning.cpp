#include "decision/outcome/response_meaning.hpp"

#include "core/refusal.hpp"

#include <array>
#include <cstddef>

namespace cicadahub::outcome
{

namespace
{

constexpr unsigned misdirected_request = 421;

constexpr unsigned first_success = 200;
constexpr unsigned first_redirection = 300;
constexpr unsigned first_client_error = 400;

bool is_success(unsigned status)
{
    return status >= first_success && status < first_redirection;
}

} // namespace

std::string_view name_of(named_party it)
{
    constexpr std::array<std::string_view, 3> names{"missing", "expected",
                                                    "other"};
    return names.at(static_cast<std::size_t>(it));
}

response_meaning meaning_of(const response_facts& it)
{
    // A response to an earlier request may arrive where the next one is
    // expected. Only the id tells them apart, so that it comes before all that
    // the response says.
    if (it.request != named_party::expected)
    {
        return response_meaning::not_an_answer;
    }
    const bool is_from_another_server = it.server == named_party::other;
    if (it.status == misdirected_request &&
        (it.states_not_run || is_from_another_server))
    {
        return response_meaning::not_here;
    }
    if (is_from_another_server)
    {
        return response_meaning::not_an_answer;
    }
    if (it.states_not_run)
    {
        // A success contradicts the statement; neither can be relied on.
        return it.status < first_client_error ? response_meaning::not_an_answer
                                              : response_meaning::turned_away;
    }
    if (promises_not_run(it.status))
    {
        return response_meaning::unproven_promise;
    }
    if (is_success(it.status) && !it.has_proof_of_origin)
    {
        return response_meaning::not_an_answer;
    }
    return response_meaning::answer;
}

} // namespace cicadahub::outcome
