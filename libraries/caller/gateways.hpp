#pragma once

#include "caller/rate_limiter.hpp"
#include "caller/shared_suspect_table.hpp"
#include "core/refusal.hpp"
#include "core/units.hpp"
#include "decision/once/types.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <variant>

namespace cicadahub::caller
{

namespace net = boost::asio;

using wake_answer = std::variant<server_id, refusal>;

/// The daemon's control side, as the path of a request needs it. Its functions
/// may be called from any thread's coroutine.
template<class Control>
concept control_gateway = requires(
    Control& control, model_id model, organisation_id organisation,
    token_count tokens, once::intent_key key, once::fingerprint request,
    once::attempt_id attempt, std::optional<once::saved_answer> answer,
    suspicion::fingerprint suspect, time_point deadline)
{
    /// A server that has the model, or a refusal by the deadline.
    {
        control.wake(model, deadline)
        } -> std::same_as<net::awaitable<wake_answer>>;
    /// Spends of the organisation's rate, or tells why not.
    {
        control.spend(organisation, tokens, deadline)
        } -> std::same_as<net::awaitable<std::optional<refusal>>>;
    /// Leave to dispatch a request that must run at most once.
    {
        control.request_dispatch(key, request, attempt, deadline)
        } -> std::same_as<net::awaitable<once::dispatch_decision>>;
    /// Tells how such a request ended; does not wait.
    control.report_outcome(key, attempt, answer, true);
    /// Tells every daemon of a crash; crashes of the request so far.
    {
        control.report_crash(suspect)
        } -> std::same_as<net::awaitable<std::uint32_t>>;
    /// Tells every daemon that a suspect is cleared; does not wait.
    control.report_completed(suspect);
    {
        control.rates()
        } -> std::same_as<rate_limiter&>;
    {
        control.suspects()
        } -> std::same_as<shared_suspect_table&>;
};

} // namespace cicadahub::caller
