#pragma once

#include "http/reply_writer.hpp"
#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// Serves the latest configuration and servers known to this daemon to other
/// daemons whose requests the platform's store does not answer. Models
/// `http::request_handler`.
class object_relay
{
public:
    void on_object(platform::collection where,
                   const platform::stored_object& it);
    /// Marks the objects passed in since the last call as complete up to
    /// `version`; if `is_full_list`, they are the complete collection.
    void end_of_batch(platform::collection where, bool is_full_list,
                      object_version version);

    /// Version up to which the known objects are complete; 0 before the first
    /// list.
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
