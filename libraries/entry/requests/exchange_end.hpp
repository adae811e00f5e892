#pragma once

#include <string_view>

namespace cicadahub::entry
{

/// How an exchange with a backend server ended.
enum class exchange_end
{
    /// The complete stream has been forwarded to the caller.
    streamed,
    /// The result holds a complete response, to be sent to the caller.
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The same, because the server meanwhile leaves or asked for a pause, or
    /// because the deadline passed.
    withheld,
    /// The server reported that it has not executed the request: it is full or
    /// cannot meet the deadline.
    turned_away,
    /// The same, because another server now has the address, or the model is
    /// not loaded.
    not_here,
    /// Bytes of the request were sent, but no response that can be forwarded
    /// was received: the request may have been executed.
    failed,
    /// The deadline of the request has passed.
    out_of_time,
    caller_gone,
};

std::string_view name_of(exchange_end it);

} // namespace cicadahub::entry
