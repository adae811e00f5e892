#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace cicadahub::ctl
{

/// Prints the objects of `items` as rows of a table, with a column for each of
/// `members`; a missing member is shown as "-".
void print_table(const boost::json::array& items,
                 const std::vector<std::string>& members);

} // namespace cicadahub::ctl
