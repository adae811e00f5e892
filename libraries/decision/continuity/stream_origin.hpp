#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <string>

namespace cicadahub::continuity
{

/// What began a stream. What two software versions write does not fit together,
/// so that a stream goes on only at servers of the same origin.
struct stream_origin
{
    service_id service;
    software_version version;

    friend auto operator<=>(const stream_origin&,
                            const stream_origin&) = default;
    friend bool operator==(const stream_origin&,
                           const stream_origin&) = default;
};

/// What callers ask for, or the part of it that a route covers. Unlike the name
/// of the route it is the same before and after a change of the configuration.
struct request_path
{
    std::string host;
    /// Without the query. Of a route: its path prefix.
    std::string path;

    friend auto operator<=>(const request_path&, const request_path&) = default;
    friend bool operator==(const request_path&, const request_path&) = default;
};

/// Identifies a stream by a hash of the request that brought its first event,
/// that request's organisation and its path, so that nobody finds another's.
using stream_key = strong_type<struct stream_key_tag, std::string>;

/// Hexadecimal digits of a key.
inline constexpr std::size_t stream_key_digits = 16;

/// `organisation` is empty if the caller has none.
stream_key key_of(const request_id& request,
                  const organisation_id& organisation,
                  const request_path& path);

/// The key at hosts of a build that identifies streams by the name of their
/// route. `organisation` is empty if the route is public.
stream_key key_by_route(const request_id& request,
                        const organisation_id& organisation,
                        const route_id& route);

} // namespace cicadahub::continuity
