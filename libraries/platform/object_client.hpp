#pragma once

#include "http/client.hpp"
#include "platform/kubernetes_dialect.hpp"
#include "platform/object_store.hpp"

namespace cicadahub::platform
{

namespace net = boost::asio;

struct client_timing
{
    milliseconds call_timeout{1'000};
    /// How long a write whose answer was lost is asked after.
    milliseconds write_retry_limit{3'000};
};

/// Client of the platform's object API, whatever its dialect: versions,
/// conditional updates, watches, and writes whose answers were lost.
class object_client
{
public:
    object_client(http::client_pool& pool, http::endpoint address,
                  client_timing timing,
                  const object_dialect& dialect = kubernetes_dialect);

    /// Throws `platform_error` if the platform does not answer.
    net::awaitable<listing> list(collection where);

    net::awaitable<std::optional<stored_object>> read(collection where,
                                                      std::string name);

    /// Writes `spec` if the object still has the version of `previous`; version
    /// 0 creates it. A lost answer is found out before this returns, or told
    /// as `unknown`; the same write is never applied twice.
    net::awaitable<write_result> write(collection where, stored_object previous,
                                       boost::json::object spec);

    /// The objects changed since a version; empty after `wait` without any.
    /// Throws `watch_expired` if a list is needed.
    net::awaitable<listing> watch(collection where, object_version since,
                                  milliseconds wait);

    /// Removes an object whatever its version.
    net::awaitable<void> remove(collection where, std::string name);

private:
    enum class attempt
    {
        applied,
        conflict,
        no_answer,
    };

    net::awaitable<http::response> call(http::request message,
                                        milliseconds timeout);
    net::awaitable<attempt> try_write(const http::request& message,
                                      object_version& version);

    http::client_pool& m_pool;
    http::endpoint m_address;
    client_timing m_timing;
    const object_dialect& m_dialect;
};

} // namespace cicadahub::platform
