#pragma once

#include <map>
#include <string_view>
#include <vector>

namespace cicadahub
{

/// Raw texts of the members of a JSON object, by name.
using json_members = std::map<std::string_view, std::string_view>;

/// Of two members with one name the last counts. The values are neither read
/// nor checked, so that one that cannot be read does not hide the others, and
/// nesting costs no memory. Throws `malformed_document` if the members cannot
/// be told apart. The text must outlive the result.
json_members members_of_json(std::string_view text);

/// Raw text of one member; throws `malformed_document` if it is missing.
std::string_view text_of_member(const json_members& members,
                                std::string_view name);

/// Raw texts of the elements of a JSON array, under the same conditions.
std::vector<std::string_view> elements_of_json(std::string_view text);

} // namespace cicadahub
