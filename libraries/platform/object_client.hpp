#pragma once

#include "http/client.hpp"
#include "platform/kubernetes_dialect.hpp"
#include "platform/object_store.hpp"

#include <functional>

namespace cicadahub::platform
{

namespace net = boost::asio;

struct client_timing
{
    milliseconds call_timeout{1'000};
    /// How long a write is retried after its response was lost.
    milliseconds write_retry_limit{3'000};
};

/// Client of the platform's object API, independent of its dialect: versions,
/// conditional updates, watches, and safe retries of writes whose responses
/// were lost.
class object_client
{
public:
    /// `on_restored` is called when the store tells a higher era than before.
    object_client(http::client_pool& pool, http::endpoint address,
                  client_timing timing,
                  const object_dialect& dialect = kubernetes_dialect,
                  std::function<void()> on_restored = {});

    /// Era that the store told last.
    store_era era() const { return m_era; }

    /// Lists a collection, page by page; throws `platform_error` if the
    /// platform does not answer, and `incomplete_list` if it does not lead
    /// beyond some page.
    net::awaitable<listing> list(collection where);

    net::awaitable<std::optional<stored_object>> read(collection where,
                                                      std::string name);

    /// Writes `spec` if the object still has the version of `previous`;
    /// revision 0 creates it. After a lost response the write is retried until
    /// its outcome is known; after `write_retry_limit` the outcome is
    /// `unknown`. The same write is never applied twice. It is `unknown` too if
    /// the store is restored meanwhile.
    net::awaitable<write_result> write(collection where, stored_object previous,
                                       boost::json::object spec);

    /// Waits up to `wait` for changes after a version and returns the changed
    /// objects; empty if there were none. Throws `watch_expired` if the caller
    /// must list the collection again.
    net::awaitable<listing> watch(collection where, object_version since,
                                  milliseconds wait);

    /// Removes an object regardless of its version; no error if it is missing.
    net::awaitable<void> remove(collection where, std::string name);

private:
    enum class attempt
    {
        applied,
        conflict,
        no_answer,
    };

    /// Throws `platform_error` if the answer is of an older era.
    void check_era(const http::response& answer);
    /// Adds the era to the bare revisions of a listing.
    void add_era(listing& it) const;
    net::awaitable<http::response> call(http::request message,
                                        milliseconds timeout);
    /// Reads the page with this number, from 1. Throws `incomplete_list` with
    /// what was read if a page behind the first is refused or malformed.
    list_page read_page(collection where, const http::response& answer,
                        std::size_t number, const listing& read) const;
    net::awaitable<attempt> try_write(const http::request& message,
                                      object_version& version);

    http::client_pool& m_pool;
    http::endpoint m_address;
    client_timing m_timing;
    const object_dialect& m_dialect;
    std::function<void()> m_on_restored;
    store_era m_era;
};

} // namespace cicadahub::platform
