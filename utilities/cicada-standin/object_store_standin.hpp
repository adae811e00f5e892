#pragma once

#include "core/units.hpp"
#include "http/request_target.hpp"
#include "http/server.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace cicadahub::standin
{

namespace net = boost::asio;

/// Simulates the metadata store of the users' platform. It decodes the targets
/// of requests and answers malformed ones with 400. `PUT /faults` sets `outage`
/// (calls hang until it is reset), `lose_answers` (number of writes that take
/// effect without a response), `page_items` (objects on a page of a list),
/// `refused_cursor` (a name behind which no list is continued), `refused`
/// (`User-Agent` values whose calls get 503), `forget` (drops the change
/// history, so that older watches get 410), `lose_watches` (pending watches are
/// never answered), `keep_copy` (keeps a copy of all objects), `restore` (goes
/// back to that copy in a new era, in which revisions are given out again) and
/// `raw_servers` (entries of servers by name, whose specs are sent as this
/// text, whatever it is). `GET /stats` returns the numbers of calls and of
/// writes.
class object_store_standin
{
public:
    explicit object_store_standin(net::io_context& context);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

private:
    struct change
    {
        std::uint64_t revision = 0;
        bool is_deletion = false;
        boost::json::object object;
    };

    struct kind
    {
        std::map<std::string, boost::json::object> objects;
        std::deque<change> changes;
        std::uint64_t compacted_until = 0;
        std::int64_t calls = 0;
        std::shared_ptr<net::steady_timer> changed;
    };

    struct copy
    {
        std::uint64_t revision = 0;
        std::map<std::string, kind, std::less<>> kinds;
    };

    void add_raw_server(const std::string& name, const std::string& spec);
    /// Puts the raw specs in place of their markers.
    void insert_raw_specs(std::string& body) const;
    void restore();
    http::response answer_faults(const http::request& message);
    http::response answer_stats() const;
    net::awaitable<http::response> answer_objects(const http::request& message);
    http::response list(const kind& from,
                        const http::request_target& target) const;
    net::awaitable<http::response> watch(kind& from,
                                         const http::request_target& target);
    http::response create(kind& to, const http::request& message);
    http::response replace(kind& to, const std::string& name,
                           const http::request& message);
    http::response remove(kind& from, const std::string& name);
    http::response store(kind& to, boost::json::object object,
                         http::status code);
    void record(kind& to, bool is_deletion, boost::json::object object);

    net::io_context& m_context;
    std::map<std::string, kind, std::less<>> m_kinds;
    std::uint64_t m_revision = 1;
    std::uint32_t m_era = 1;
    copy m_copy;
    std::uint64_t m_lost_watches = 0;
    bool m_has_outage = false;
    std::int64_t m_lost_answers = 0;
    /// Smaller than the page of the real store, so that tests cover lists of
    /// several pages.
    std::size_t m_page_items = 20;
    std::string m_refused_cursor;
    std::set<std::string> m_refused_clients;
    std::map<std::string, std::string> m_raw_specs;
    std::int64_t m_calls = 0;
    std::int64_t m_writes = 0;
};

} // namespace cicadahub::standin
