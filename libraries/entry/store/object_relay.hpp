#pragma once

#include "http/reply_writer.hpp"
#include "platform/stored_object.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>

namespace cicadahub::entry
{

namespace net = boost::asio;

/// Objects that another daemon returned.
struct relayed_listing
{
    /// Objects that were removed are marked as deleted.
    platform::listing changes;
    /// The version since which these are all changes; 0 if they are the
    /// complete collection.
    object_version since;
};

/// Serves the latest configuration and servers known to this daemon to other
/// daemons whose requests the platform's store does not answer: what has
/// changed since the version that they know, or all. Models
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

    /// Asks for the changes since `known`, for all objects if it is 0.
    static http::request make_request(platform::collection where,
                                      object_version known);
    /// Throws `malformed_document`.
    static relayed_listing read_answer(const http::response& answer);

private:
    struct relayed_collection
    {
        std::map<std::string, platform::stored_object> objects;
        std::map<std::string, platform::stored_object> batch;
        object_version revision;
        /// Removed objects, with a version not below that of their removal.
        std::map<std::string, object_version> removed;
        /// All removals after this version are in `removed`.
        object_version removals_since;
    };

    static void remove(relayed_collection& from, const std::string& name,
                       object_version version);
    static std::string document_of(const relayed_collection& it,
                                   object_version known);

    std::map<platform::collection, relayed_collection> m_collections;
};

} // namespace cicadahub::entry
