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

/// Interface of the control plane to the request path. Its functions may be
/// called from coroutines of any thread.
template<class Control>
concept control_gateway = requires(
    Control& control, model_id model, organisation_id organisation,
    token_count tokens, once::intent_key key, once::fingerprint request,
    once::attempt_id attempt, std::optional<once::saved_answer> answer,
    suspicion::fingerprint suspect, time_point deadline)
{
    /// Returns a server that has the model, or a refusal, by the deadline.
    {
        control.wake(model, deadline)
        } -> std::same_as<net::awaitable<wake_answer>>;
    /// Spends tokens of the organisation's rate; returns a refusal if it
    /// cannot.
    {
        control.spend(organisation, tokens, deadline)
        } -> std::same_as<net::awaitable<std::optional<refusal>>>;
    /// Requests permission to dispatch a request that must run at most once.
    {
        control.request_dispatch(key, request, attempt, deadline)
        } -> std::same_as<net::awaitable<once::dispatch_decision>>;
    /// Reports the outcome of such a request; does not wait.
    control.report_outcome(key, attempt, answer, true);
    /// Reports a crash to every daemon; returns the request's crashes so far.
    {
        control.report_crash(suspect)
        } -> std::same_as<net::awaitable<std::uint32_t>>;
    /// Reports to every daemon that a suspect ran to completion and is cleared;
    /// does not wait.
    control.report_completed(suspect);
    {
        control.rates()
        } -> std::same_as<rate_limiter&>;
    {
        control.suspects()
        } -> std::same_as<shared_suspect_table&>;
};

} // namespace cicadahub::caller
