#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace cicadahub::ctl
{

/// Prints the objects of `items` as a table of the given members.
void print_table(const boost::json::array& items,
                 const std::vector<std::string>& members);

} // namespace cicadahub::ctl
