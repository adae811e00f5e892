#pragma once

#include "http/reply_writer.hpp"
#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// The configuration and the servers as this daemon last knew them, for
/// daemons that the platform's store turns away. Models
/// `http::request_handler` for their requests.
class object_relay
{
public:
    void on_object(platform::collection where,
                   const platform::stored_object& it);
    /// What was handed over since the last call is complete; if `is_full_list`,
    /// it is the whole collection as of `version`.
    void end_of_batch(platform::collection where, bool is_full_list,
                      object_version version);

    /// What is known here is complete up to it; 0 before the first list.
    object_version revision(platform::collection where) const;

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

    static http::request make_request(platform::collection where);
    /// Throws `malformed_document`.
    static platform::listing read_answer(const http::response& answer);

private:
    struct relayed_collection
    {
        std::map<std::string, platform::stored_object> objects;
        std::map<std::string, platform::stored_object> batch;
        object_version revision;
    };

    std::string document_of(const relayed_collection& it) const;

    std::map<platform::collection, relayed_collection> m_collections;
};

} // namespace cicadahub::entry
