#include "entry/requests/relay_codec.hpp"

#include "core/errors.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <array>

namespace cicadahub::entry
{

namespace
{

constexpr std::string_view prefix = "Cicadahub-Relay-";
constexpr std::string_view server_field = "Cicadahub-Relay-Server";
constexpr std::string_view incarnation_field = "Cicadahub-Relay-Incarnation";
constexpr std::string_view time_field = "Cicadahub-Relay-Time-Left";
constexpr std::string_view organisation_field = "Cicadahub-Relay-Organisation";
constexpr std::string_view after_event_field = "Cicadahub-Relay-After-Event";
constexpr std::string_view urgency_field = "Cicadahub-Relay-Urgency";
constexpr std::string_view fingerprint_field = "Cicadahub-Relay-Fingerprint";
constexpr std::string_view new_connection_field =
    "Cicadahub-Relay-New-Connection";
constexpr std::string_view books_place_field = "Cicadahub-Relay-Books-Place";
constexpr std::string_view limit_wait_field = "Cicadahub-Relay-Limit-Wait";
/// The caller's Connection field, whose names the server must not get.
constexpr std::string_view connection_field = "Cicadahub-Relay-Connection";
constexpr std::string_view end_field = "Cicadahub-Relay-End";
constexpr std::string_view reason_field = "Cicadahub-Relay-Reason";
/// Longer times are not those of a request.
constexpr std::chrono::hours longest_request{24};
constexpr std::int64_t least_urgent = 9;
constexpr std::string_view unavailable = "unavailable";

constexpr std::array all_ends{
    exchange_end::streamed,    exchange_end::answered,
    exchange_end::not_sent,    exchange_end::withheld,
    exchange_end::turned_away, exchange_end::not_here,
    exchange_end::failed,      exchange_end::out_of_time,
    exchange_end::caller_gone};

bool is_left_out(const http::request::value_type& it)
{
    switch (it.name())
    {
    case http::field::authorization:
    case http::field::connection:
    case http::field::content_length:
    case http::field::expect:
    case http::field::keep_alive:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
        return true;
    default:
        // Only a daemon may set these.
        return boost::algorithm::istarts_with(it.name_string(), prefix);
    }
}

void append_field(std::string& to, std::string_view name,
                  std::string_view value)
{
    to.append(name).append(": ").append(value).append("\r\n");
}

std::int64_t number_in(const http::request& message, std::string_view name)
{
    std::int64_t n = 0;
    if (!boost::conversion::try_lexical_convert(std::string_view(message[name]),
                                                n))
    {
        throw malformed_document(std::string(name) + " must be an integer");
    }
    return n;
}

std::optional<std::string> text_in(const http::request& message,
                                   std::string_view name)
{
    const auto it = message.find(name);
    return it == message.end() ? std::nullopt
                               : std::optional(std::string(it->value()));
}

} // namespace

std::string relayed_head(const http::request& message,
                         const relayed_request& it)
{
    constexpr std::size_t typical_head_bytes = 1024;
    std::string head;
    head.reserve(typical_head_bytes);
    head.append(message.method_string()).append(" ");
    head.append(message.target()).append(" HTTP/1.1\r\n");
    for (const auto& field : message)
    {
        if (!is_left_out(field))
        {
            append_field(head, field.name_string(), field.value());
        }
    }
    append_field(head, server_field, it.added.server.value());
    append_field(head, incarnation_field, std::to_string(it.incarnation));
    append_field(head, time_field, std::to_string(it.added.time_left.count()));
    append_field(head, fingerprint_field, it.fingerprint.value());
    if (it.added.organisation)
    {
        append_field(head, organisation_field, it.added.organisation->value());
    }
    if (it.added.after_event)
    {
        append_field(head, after_event_field, *it.added.after_event);
    }
    if (it.added.urgency)
    {
        append_field(head, urgency_field, std::to_string(*it.added.urgency));
    }
    if (it.use_new_connection)
    {
        append_field(head, new_connection_field, "1");
    }
    if (it.books_place)
    {
        append_field(head, books_place_field, "1");
    }
    if (message.count(http::field::connection) > 0)
    {
        append_field(head, connection_field, message[http::field::connection]);
    }
    append_field(head, "Content-Length", std::to_string(message.body().size()));
    head += "\r\n";
    return head;
}

bool is_relayed(const http::request& message)
{
    return message.count(server_field) > 0;
}

relayed_request unwrap_relayed(http::request& message)
{
    relayed_request it;
    it.added.server = server_id(std::string(message[server_field]));
    it.incarnation = number_in(message, incarnation_field);
    it.added.time_left = milliseconds(number_in(message, time_field));
    if (it.added.time_left < milliseconds(0) ||
        it.added.time_left > longest_request)
    {
        throw malformed_document("a relayed request has no valid deadline");
    }
    it.fingerprint =
        suspicion::fingerprint(std::string(message[fingerprint_field]));
    if (auto name = text_in(message, organisation_field))
    {
        it.added.organisation = organisation_id(std::move(*name));
    }
    it.added.after_event = text_in(message, after_event_field);
    if (message.count(urgency_field) > 0)
    {
        it.added.urgency = static_cast<int>(std::clamp<std::int64_t>(
            number_in(message, urgency_field), 0, least_urgent));
    }
    it.use_new_connection = message.count(new_connection_field) > 0;
    it.books_place = message.count(books_place_field) > 0;
    message.erase(http::field::connection);
    if (const auto names = text_in(message, connection_field))
    {
        message.set(http::field::connection, *names);
    }
    for (auto at = message.begin(); at != message.end();)
    {
        const auto field = at++;
        if (boost::algorithm::istarts_with(field->name_string(), prefix))
        {
            message.erase(field);
        }
    }
    return it;
}

http::response make_relay_end(const relay_end& it)
{
    http::response answer{http::status::bad_gateway, 11};
    answer.set(end_field, it.is_unavailable ? unavailable : name_of(it.end));
    if (!it.reason.empty())
    {
        answer.set(reason_field, it.reason);
    }
    if (it.limit_wait)
    {
        answer.set(limit_wait_field, std::to_string(it.limit_wait->count()));
    }
    answer.prepare_payload();
    return answer;
}

std::optional<relay_end>
read_relay_end(const http::beast_http::response_header<>& head)
{
    const auto field = head.find(end_field);
    if (field == head.end())
    {
        return std::nullopt;
    }
    relay_end it;
    it.reason = std::string(head[reason_field]);
    std::int64_t wait_ms = 0;
    if (boost::conversion::try_lexical_convert(
            std::string_view(head[limit_wait_field]), wait_ms) &&
        wait_ms >= 0 && milliseconds(wait_ms) <= longest_request)
    {
        it.limit_wait = milliseconds(wait_ms);
    }
    it.is_unavailable = field->value() == unavailable;
    if (it.is_unavailable)
    {
        it.end = exchange_end::not_sent;
        return it;
    }
    // An end that this version does not know says nothing of the request.
    const auto* known = std::find_if(
        all_ends.begin(), all_ends.end(),
        [&](exchange_end end) { return name_of(end) == field->value(); });
    it.end = known == all_ends.end() ? exchange_end::failed : *known;
    return it;
}

} // namespace cicadahub::entry
