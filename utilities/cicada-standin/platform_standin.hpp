#pragma once

#include "core/units.hpp"
#include "http/server.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>

namespace cicadahub::standin
{

namespace net = boost::asio;

/// Simulates the platform's object API; single-threaded. `PUT /faults` sets any
/// of `outage` (calls hang until it is reset), `delay_ms` (delay of each call),
/// `lose_answers` (number of writes that take effect without a response) and
/// `host_lag_ms` (delay before a change of a host is stored and visible).
/// `GET /stats` returns the numbers of calls and of write conflicts.
class platform_standin
{
public:
    explicit platform_standin(net::io_context& context);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    struct change
    {
        std::uint64_t version;
        std::string type;
        boost::json::object object;
    };

    struct collection
    {
        std::map<std::string, boost::json::object> objects;
        std::deque<change> changes;
        /// Cancelled when the collection changes.
        std::shared_ptr<net::steady_timer> changed;
        std::uint64_t oldest_kept = 0;
    };

    struct faults
    {
        bool has_outage = false;
        milliseconds delay{0};
        std::int64_t lost_answers = 0;
        milliseconds host_lag{0};
    };

    struct stats
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t conflicts = 0;
    };

    http::response answer_faults(const http::request& message);
    http::response answer_stats() const;
    net::awaitable<http::response> answer_api(const http::request& message,
                                              std::string_view rest);
    http::response list(collection& from) const;
    net::awaitable<http::response> watch(collection& from,
                                         const http::request& message);
    net::awaitable<http::response> write(collection& to,
                                         const std::string& collection_name,
                                         const http::request& message,
                                         std::string name);
    http::response remove(collection& from, const std::string& name);
    void record(collection& to, std::string type, boost::json::object object);
    net::awaitable<void> wait(milliseconds time);

    net::io_context& m_context;
    std::map<std::string, collection, std::less<>> m_collections;
    std::uint64_t m_version = 0;
    faults m_faults;
    stats m_stats;
};

} // namespace cicadahub::standin
