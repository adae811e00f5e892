#pragma once

#include <iosfwd>
#include <string>

namespace cicadahub::ctl
{

/// Reads structured log lines of any daemons, whatever stands before them on
/// the line, and tells the story of one request in the order of time: its own
/// lines, and the orders for its model while it waited. Returns how many lines
/// are its own.
std::size_t explain(std::istream& lines, const std::string& request,
                    std::ostream& out);

} // namespace cicadahub::ctl
