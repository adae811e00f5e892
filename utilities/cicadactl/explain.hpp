#pragma once

#include <iosfwd>
#include <string>

namespace cicadahub::ctl
{

/// Prints the log lines of one request, sorted by time. Between its arrival and
/// its end it adds the load and unload orders for its model, and from its own
/// daemons the leaves, pauses and suspensions of servers that it was sent to
/// and restores of the store. Reads structured log lines of any number of
/// daemons and ignores a prefix before the JSON text. Returns the number of
/// lines of the request itself.
std::size_t explain(std::istream& lines, const std::string& request,
                    std::ostream& out);

} // namespace cicadahub::ctl
