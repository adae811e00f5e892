#pragma once

#include "http/types.hpp"
#include "platform/stored_object.hpp"

#include "core/store_version.hpp"
#include "core/units.hpp"

namespace cicadahub::platform
{

/// One page of a listing.
struct list_page
{
    listing content;
    /// Name after which the next page starts; unset on the last page.
    std::optional<std::string> next_after;
};

/// Requests and response formats of one kind of object API. The read functions
/// decode the body of a successful response and throw `malformed_document` if
/// it is malformed; a listing may omit a single object that cannot be read.
/// Versions are the store's bare revisions here.
struct object_dialect
{
    http::request (*list)(collection where, const std::string& after);
    list_page (*read_list)(collection where, const std::string& body);
    http::request (*read)(collection where, const std::string& name);
    stored_object (*read_object)(const std::string& body);
    http::request (*write)(collection where, const stored_object& it);
    http::request (*watch)(collection where, object_version since,
                           milliseconds wait);
    /// Throws `watch_expired` if the body reports that the version is too old.
    listing (*read_watch)(collection where, object_version since,
                          const std::string& body);
    http::request (*remove)(collection where, const std::string& name);
    /// Era of the store that sent the response, if it tells one.
    std::optional<store_era> (*read_era)(const http::response& answer);
};

} // namespace cicadahub::platform
