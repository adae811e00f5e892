#pragma once

#include "http/types.hpp"
#include "platform/stored_object.hpp"

#include "core/units.hpp"

namespace cicadahub::platform
{

/// One page of a list.
struct list_page
{
    listing content;
    /// Set if the list goes on after this name.
    std::optional<std::string> next_after;
};

/// How one object API spells its paths and documents. The functions decode a
/// body of a successful answer and throw `malformed_document` on any other
/// shape; a single object that cannot be read is left out of lists.
struct object_dialect
{
    http::request (*list)(collection where, const std::string& after);
    list_page (*read_list)(collection where, const std::string& body);
    http::request (*read)(collection where, const std::string& name);
    stored_object (*read_object)(const std::string& body);
    http::request (*write)(collection where, const stored_object& it);
    http::request (*watch)(collection where, object_version since,
                           milliseconds wait);
    /// Throws `watch_expired` if the body says so.
    listing (*read_watch)(collection where, object_version since,
                          const std::string& body);
    http::request (*remove)(collection where, const std::string& name);
};

} // namespace cicadahub::platform
