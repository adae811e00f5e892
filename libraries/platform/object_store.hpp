#pragma once

#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>

namespace cicadahub::platform
{

/// What the system requires of the platform's object API: versions, conditional
/// updates and watches.
template<class Store>
concept object_store = requires(Store& store, collection where,
                                const std::string& name,
                                const stored_object& previous,
                                const boost::json::object& spec,
                                object_version since, milliseconds wait)
{
    {
        store.list(where)
        } -> std::same_as<boost::asio::awaitable<listing>>;
    {
        store.read(where, name)
        } -> std::same_as<boost::asio::awaitable<std::optional<stored_object>>>;
    {
        store.write(where, previous, spec)
        } -> std::same_as<boost::asio::awaitable<write_result>>;
    {
        store.watch(where, since, wait)
        } -> std::same_as<boost::asio::awaitable<listing>>;
};

} // namespace cicadahub::platform
