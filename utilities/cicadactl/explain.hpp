#pragma once

#include <iosfwd>
#include <string>

namespace cicadahub::ctl
{

/// Prints the log lines of one request, sorted by time, together with the load
/// and unload orders for its model between the request's first and last line.
/// Reads structured log lines of any number of daemons and ignores a prefix
/// before the JSON text. Returns the number of lines of the request itself.
std::size_t explain(std::istream& lines, const std::string& request,
                    std::ostream& out);

} // namespace cicadahub::ctl
